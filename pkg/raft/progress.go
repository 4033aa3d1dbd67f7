package raft

import (
	"slices"
	"time"
)

// progress is a leader's replication state for one other replica.
type progress struct {
	// match is the highest index known to be durable on the replica.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// snapshotSentAt and snapshotIndex describe the snapshot in flight; snapshotIndex is zero
	// if there is none.
	snapshotSentAt time.Duration
	snapshotIndex  uint64
	// ackedSentAt is the newest send time on the leader's clock that the replica has echoed in this
	// term; zero if none.
	ackedSentAt time.Duration
	// firstSentAt is when the leader first sent the replica a message; zero if it has not.
	firstSentAt time.Duration
	// peerClock is the last clock reading received from the replica, and peerSession the
	// session it belongs to. Both are echoed.
	peerClock   time.Duration
	peerSession uint64
}

// updateMatch records that the replica holds the log durably up to index.
func (p *progress) updateMatch(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
}

// decreaseNext moves next back to where the logs may still agree, but never below match+1.
func (p *progress) decreaseNext(hint uint64) {
	p.next = max(p.match+1, min(p.next-1, hint+1))
}

// nthHighest returns the n-th highest value, counted from one, or zero if there is none. It
// sorts values in place.
func nthHighest[T uint64 | time.Duration](values []T, n int) T {
	if n < 1 || n > len(values) {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[len(values)-n]
}
