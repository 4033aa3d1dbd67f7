package distribution

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sync"

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

// Packing is the packed form of an update, which is made once when it is first needed. It is safe for concurrent use.
type Packing struct {
	update *Update
	once   sync.Once
	packed *PackedUpdate
	err    error
}

// Packed returns the packed form.
func (p *Packing) Packed() (*PackedUpdate, error) {
	p.once.Do(func() { p.packed, p.err = pack(p.update) })
	return p.packed, p.err
}

// Packing returns the packing of an update that Plan returned. It is cached until SetState.
func (p *Planner) Packing(update *Update) *Packing {
	packing, found := p.packings[update]
	if !found {
		packing = &Packing{update: update}
		p.packings[update] = packing
	}
	return packing
}
