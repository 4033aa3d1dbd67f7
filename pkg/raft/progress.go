package raft

import (
	"slices"
	"time"
)

// progress is what a leader knows of one other replica.
type progress struct {
	// match is the highest index known to be durable on the replica.
	match uint64
	// next is the next index to send.
	next uint64
	// snapshotSentAt is when a snapshot was last sent, until it is answered.
	snapshotSentAt time.Duration
	snapshotIndex  uint64
	// ackedAt is the newest send time on the leader's clock that the replica has
	// echoed in this term.
	ackedAt time.Duration
	// addressedAt is when the leader first sent the replica anything; zero for not yet.
	addressedAt time.Duration
	// peerClock is the replica's last clock reading, of the process peerSession,
	// to be echoed.
	peerClock   time.Duration
	peerSession uint64
}

// accepted takes in that the replica holds the log up to index.
func (p *progress) accepted(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	if p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
}

// rejected moves back to where the logs may still agree. A stale rejection below
// what is known to match changes nothing.
func (p *progress) rejected(hint uint64) {
	p.next = max(p.match+1, min(p.next-1, hint+1))
}

// nthHighest returns the n-th highest value, counted from one.
func nthHighest[T uint64 | time.Duration](values []T, n int) T {
	if n < 1 || n > len(values) {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[len(values)-n]
}
