package link

import (
	"sync"
	"time"

	"bramblelift/pkg/clock"
)

const (
	// crowdedQueueDelay is the queueing delay above which a path is Crowded: the target delay of a congestion
	// controller that yields to other traffic (LEDBAT, RFC 6817).
	crowdedQueueDelay = 100 * time.Millisecond
	// fullQueueDelay is the queueing delay above which a path is Full.
	fullQueueDelay = 3 * crowdedQueueDelay
	// delayHalfLife is the half-life of a measurement in the smoothed delay. delayMaxAge is the age above
	// which the smoothed delay is ignored, so that the path is used again.
	delayHalfLife = 300 * time.Millisecond
	delayMaxAge   = 2 * time.Second
	// baseWindow is the length of a window. The base delay is the minimum round-trip time of the current and the
	// previous window, so that it follows route changes.
	baseWindow = time.Minute
)

// Crowding is the congestion level of a path, derived from its queueing delay.
type Crowding uint8

const (
	// Clear means that the path may carry any message.
	Clear Crowding = iota
	// Crowded means that large messages should avoid the path.
	Crowded
	// Full means that every message that can take another path should do so.
	Full
)

// String returns the level in lower case.
func (c Crowding) String() string { return [...]string{"clear", "crowded", "full"}[c] }

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

// Note adds a measured round-trip time, without the processing time at the other end.
func (d *Delay) Note(now, roundTrip time.Duration) {
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
		d.smoothed += time.Duration((1 - clock.Kept(now-d.updatedAt, delayHalfLife)) * float64(roundTrip-d.smoothed))
	}
	d.updatedAt = now
}

// Rise returns the queueing delay, zero without a recent measurement.
func (d *Delay) Rise(now time.Duration) time.Duration {
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

// Crowding returns the path's congestion level.
func (d *Delay) Crowding(now time.Duration) Crowding {
	switch rise := d.Rise(now); {
	case rise > fullQueueDelay:
		return Full
	case rise > crowdedQueueDelay:
		return Crowded
	}
	return Clear
}
