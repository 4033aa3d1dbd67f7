// Package tally counts bytes of control traffic by kind of frame.
package tally

import (
	"sync/atomic"

	"bramblelift/pkg/protocol"
	"bramblelift/pkg/wire"
)

// Tally counts the bytes of frames, both ways. The zero value is ready; it is safe for
// concurrent use.
type Tally struct {
	bytes [256]atomic.Int64
}

// Observe counts a frame; it is a wire.Observer.
func (t *Tally) Observe(kind wire.Kind, _ wire.Direction, size int) {
	t.bytes[kind].Add(int64(size))
}

// Bytes maps the name of a kind of frame to a number of bytes.
type Bytes map[string]int64

// Read returns what was counted so far.
func (t *Tally) Read() Bytes {
	read := Bytes{}
	for kind := range t.bytes {
		if count := t.bytes[kind].Load(); count > 0 {
			read[protocol.KindName(wire.Kind(kind))] += count
		}
	}
	return read
}

// Total returns the sum over all kinds.
func (b Bytes) Total() int64 {
	var total int64
	for _, count := range b {
		total += count
	}
	return total
}

// Minus returns what was counted since an earlier reading.
func (b Bytes) Minus(earlier Bytes) Bytes {
	difference := Bytes{}
	for kind, count := range b {
		if added := count - earlier[kind]; added != 0 {
			difference[kind] = added
		}
	}
	return difference
}
