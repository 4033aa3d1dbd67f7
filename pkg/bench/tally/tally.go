// Package tally counts bytes of control traffic by frame kind.
package tally

import (
	"sync/atomic"

	"bramblelift/pkg/protocol"
	"bramblelift/pkg/wire"
)

// Tally counts the bytes of sent and received frames. The zero value is ready to use. It is
// safe for concurrent use.
type Tally struct {
	bytes [256]atomic.Int64
}

// Observe counts one frame. It has the signature of wire.Observer.
func (t *Tally) Observe(kind wire.Kind, _ wire.Direction, size int) {
	t.bytes[kind].Add(int64(size))
}

// Bytes maps the name of a frame kind to a number of bytes.
type Bytes map[string]int64

// Read returns the bytes counted so far, without kinds that were not seen.
func (t *Tally) Read() Bytes {
	counts := Bytes{}
	for kind := range t.bytes {
		if count := t.bytes[kind].Load(); count > 0 {
			counts[protocol.KindName(wire.Kind(kind))] += count
		}
	}
	return counts
}

// Total returns the sum over all frame kinds.
func (b Bytes) Total() int64 {
	var total int64
	for _, count := range b {
		total += count
	}
	return total
}

// Minus returns the bytes counted since an earlier reading, without unchanged kinds.
func (b Bytes) Minus(earlier Bytes) Bytes {
	difference := Bytes{}
	for kind, count := range b {
		if added := count - earlier[kind]; added != 0 {
			difference[kind] = added
		}
	}
	return difference
}
