package distribution

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"bramblelift/pkg/deflate"
)

const (
	// minPackedItems is the number of changed items from which an update is packed. Smaller updates
	// fit into one or two network packets without compression.
	minPackedItems = 32
	// maxUpdateBytes is the maximum size of an unpacked update in bytes. It equals the maximum frame size.
	maxUpdateBytes = 64 << 20
)

// PackedUpdate is a large Update that was encoded and compressed once for all its receivers, because
// doing so for each one would dominate the load of a server.
type PackedUpdate struct {
	Data []byte
}

// items returns the number of endpoints and bundle items in the update.
func (u *Update) items() int {
	count := len(u.Endpoints)
	for _, b := range u.Bundles {
		count += b.Delta.Items()
	}
	return count
}

// Large reports whether the update is large enough to be sent as a PackedUpdate.
func (u *Update) Large() bool { return u.items() >= minPackedItems }

// pack encodes and compresses an update.
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

// Unpack decodes the update.
func (p *PackedUpdate) Unpack() (*Update, error) {
	encoded, err := deflate.Expand(p.Data, maxUpdateBytes)
	if err != nil {
		return nil, fmt.Errorf("unpack update: %w", err)
	}
	var update Update
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&update); err != nil {
		return nil, fmt.Errorf("unpack update: %w", err)
	}
	return &update, nil
}

// Packed returns the packed form of an update that Plan returned. It is cached until SetState.
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
