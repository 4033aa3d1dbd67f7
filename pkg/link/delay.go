package link

import (
	"sync"
	"time"

	"bramblelift/pkg/clock"
)

const (
	// congestedQueueDelay is the queueing delay above which a path is Congested: the target delay of a congestion
	// controller that yields to other traffic (LEDBAT, RFC 6817: 100 ms).
	congestedQueueDelay = 100 * time.Millisecond
	// fullQueueDelay is the queueing delay above which a path is Full, where even small messages that could be
	// handled here are kept off it: its queue is three times that of a congested path.
	fullQueueDelay = 3 * congestedQueueDelay
	// delayHalfLife is the half-life of a measurement in the smoothed delay. delayMaxAge is the age above
	// which the smoothed delay is ignored, so that the path is used again.
	delayHalfLife = 300 * time.Millisecond
	delayMaxAge   = 2 * time.Second
	// baseWindow is the length of a window. The base delay is the minimum round-trip time of the current and the
	// previous window, so that it follows route changes.
	baseWindow = time.Minute
)

// Congestion is the congestion level of a path, derived from its queueing delay.
type Congestion uint8

const (
	// Clear means that the path may carry any message.
	Clear Congestion = iota
	// Congested means that large messages should avoid the path.
	Congested
	// Full means that every message that can take another path should do so.
	Full
)

// String returns the level in lower case, "crowded" for Congested.
func (c Congestion) String() string { return [...]string{"clear", "crowded", "full"}[c] }

// Delay measures the queueing delay of a shared path of unknown capacity: the rise of the smoothed round-trip
// time above its recent minimum. The zero value has no measurement. It is safe for concurrent use.
type Delay struct {
	mu sync.Mutex
	// base and previousBase are the minimum round-trip times of the current and of the previous window.
	base, previousBase time.Duration
	windowEnd          time.Duration
	smoothed           time.Duration
	updatedAt          time.Duration
}

// Observe adds a measured round-trip time, without the processing time at the other end.
func (d *Delay) Observe(now, roundTrip time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now >= d.windowEnd {
		d.previousBase, d.base = d.base, 0
		d.windowEnd = now + baseWindow
	}
	if d.base == 0 || roundTrip < d.base {
		d.base = roundTrip
	}
	if d.smoothed == 0 || now-d.updatedAt > delayMaxAge {
		d.smoothed = roundTrip
	} else {
		d.smoothed += time.Duration((1 - clock.DecayFactor(now-d.updatedAt, delayHalfLife)) * float64(roundTrip-d.smoothed))
	}
	d.updatedAt = now
}

// QueueingDelay returns the queueing delay, zero without a recent measurement.
func (d *Delay) QueueingDelay(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.smoothed == 0 || now-d.updatedAt > delayMaxAge {
		return 0
	}
	minDelay := d.base
	if d.previousBase > 0 {
		minDelay = min(minDelay, d.previousBase)
	}
	return max(0, d.smoothed-minDelay)
}

// Congestion returns the path's congestion level.
func (d *Delay) Congestion(now time.Duration) Congestion {
	switch rise := d.QueueingDelay(now); {
	case rise > fullQueueDelay:
		return Full
	case rise > congestedQueueDelay:
		return Congested
	}
	return Clear
}
