package distribution

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"bramblelift/pkg/deflate"
)

const (
	// packedItems is from how many routes, services, secrets and endpoints on an update is
	// packed: below it, it fits into one or two network packets as it is.
	packedItems = 32
	// maxUpdate bounds an unpacked update in bytes; it is as large as the largest frame.
	maxUpdate = 64 << 20
)

// PackedUpdate is a large Update, encoded and compressed once for all holders that it goes to:
// to do that for each of them would take a server longer than all else that it does for them.
type PackedUpdate struct {
	Data []byte
}

// items counts what an update brings.
func (u *Update) items() int {
	count := len(u.Endpoints)
	for _, b := range u.Bundles {
		count += b.Delta.Items()
	}
	return count
}

// Large reports whether the update should be sent packed.
func (u *Update) Large() bool { return u.items() >= packedItems }

// pack encodes an update.
func pack(update *Update) (*PackedUpdate, error) {
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(update); err != nil {
		return nil, fmt.Errorf("pack update to revision %d: %w", update.To, err)
	}
	data, err := deflate.Compress(encoded.Bytes())
	if err != nil {
		return nil, fmt.Errorf("pack update to revision %d: %w", update.To, err)
	}
	return &PackedUpdate{Data: data}, nil
}

// Unpack returns the update.
func (p *PackedUpdate) Unpack() (*Update, error) {
	encoded, err := deflate.Expand(p.Data, maxUpdate)
	if err != nil {
		return nil, fmt.Errorf("unpack update: %w", err)
	}
	var update Update
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&update); err != nil {
		return nil, fmt.Errorf("unpack update: %w", err)
	}
	return &update, nil
}

// Packed returns the packed form of an update that Plan returned. It is made once.
func (p *Planner) Packed(update *Update) (*PackedUpdate, error) {
	if packed, found := p.packed[update]; found {
		return packed, nil
	}
	packed, err := pack(update)
	if err != nil {
		return nil, err
	}
	p.packed[update] = packed
	return packed, nil
}
