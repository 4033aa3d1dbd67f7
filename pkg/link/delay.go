package link

import (
	"sync"
	"time"

	"bramblelift/pkg/clock"
)

const (
	// crowdedDelay is how much longer than at best a message takes over a path on which packets queue. A
	// controller that yields to others aims at no more than that (LEDBAT, RFC 6817: 100 ms).
	crowdedDelay = 100 * time.Millisecond
	// fullDelay is from which delay on even small messages that could stay are kept away: the queue is
	// three times what a crowded path has.
	fullDelay = 3 * crowdedDelay
	// delayHalfLife is after how long a delay counts half, delayMemory after how long without any the path
	// must be tried again.
	delayHalfLife = 300 * time.Millisecond
	delayMemory   = 2 * time.Second
	// baseMemory is for how long the least delay is remembered: paths change.
	baseMemory = time.Minute
)

// Crowding is how much a path's delay says of the messages that queue on it.
type Crowding uint8

const (
	// Clear paths take everything.
	Clear Crowding = iota
	// Crowded paths should be spared what is large.
	Crowded
	// Full paths should be spared whatever can go elsewhere.
	Full
)

// String returns the lower-case name of the crowding.
func (c Crowding) String() string { return [...]string{"clear", "crowded", "full"}[c] }

// Delay knows how long messages take over a path that others use, too, whose capacity nobody tells: the rise
// over the least delay is what waits on it. The zero value knows nothing; it is safe for concurrent use.
type Delay struct {
	mu sync.Mutex
	// base and lastBase are the least delays of this span of baseMemory and of the one before it.
	base, lastBase time.Duration
	spanEnds       time.Duration
	smoothed       time.Duration
	at             time.Duration
}

// Note takes in how long a message took there and back, without the time that it was held at the other end.
func (d *Delay) Note(now, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now >= d.spanEnds {
		d.lastBase, d.base = d.base, 0
		d.spanEnds = now + baseMemory
	}
	if d.base == 0 || took < d.base {
		d.base = took
	}
	if d.smoothed == 0 || now-d.at > delayMemory {
		d.smoothed = took
	} else {
		d.smoothed += time.Duration((1 - clock.Kept(now-d.at, delayHalfLife)) * float64(took-d.smoothed))
	}
	d.at = now
}

// Rise returns by how much the delay is above the least, zero if it was not seen lately.
func (d *Delay) Rise(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.smoothed == 0 || now-d.at > delayMemory {
		return 0
	}
	least := d.base
	if d.lastBase > 0 {
		least = min(least, d.lastBase)
	}
	return max(0, d.smoothed-least)
}

// Crowding returns how much the path should be spared.
func (d *Delay) Crowding(now time.Duration) Crowding {
	switch rise := d.Rise(now); {
	case rise > fullDelay:
		return Full
	case rise > crowdedDelay:
		return Crowded
	}
	return Clear
}
