// Package clock provides a monotonic clock that includes the time while the machine is
// suspended, and the exponential decay of observations.
package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// suspendCheckThreshold is the jump of the wall clock against the monotonic clock at which the
// clock checks for a suspension. It is short compared with a lease, and a time service that
// slews the wall clock by 500 ppm takes 20 s to reach it.
const suspendCheckThreshold = 10 * time.Millisecond

// Clock is a monotonic clock that starts at zero when it is created and includes suspensions of
// the machine, so that leases expire during them. Reading the suspended time takes a system
// call, so it is read only when the wall clock jumps, as it does after a suspension or when it
// is set. Clock is safe for concurrent use; its zero value is not usable.
type Clock struct {
	read          func() reading
	readSuspended func() (time.Duration, error)
	start         reading

	mu         sync.Mutex
	correction atomic.Pointer[correction]
}

// reading is one reading of the machine's clocks.
type reading struct {
	// monotonic stops while the machine is suspended.
	monotonic time.Duration
	wall      time.Time
}

// correction is the suspended time that the monotonic clock does not include, as last read.
type correction struct {
	// gap is how far the wall clock was ahead of the monotonic clock, relative to the start of
	// the Clock, when the suspended time was last read.
	gap time.Duration
	// suspendedSinceStart is the time that the machine has been suspended since the clock was created,
	// suspendedSinceBoot since the machine was booted.
	suspendedSinceStart, suspendedSinceBoot time.Duration
}

// New returns a clock that starts now. If the kernel cannot report the suspended time, the
// clock does not include it.
func New() *Clock {
	origin := time.Now()
	return newClock(func() reading {
		now := time.Now()
		return reading{monotonic: now.Sub(origin), wall: now.Round(0)}
	}, suspendedTime)
}

func newClock(read func() reading, readSuspended func() (time.Duration, error)) *Clock {
	c := &Clock{read: read, readSuspended: readSuspended, start: read()}
	initial := &correction{}
	// If the suspended time cannot be read, the machine is assumed to have never been
	// suspended.
	if suspended, err := readSuspended(); err == nil {
		initial.suspendedSinceBoot = suspended
	}
	c.correction.Store(initial)
	return c
}

// Millis returns the whole milliseconds since the clock was created.
func (c *Clock) Millis() int64 { return c.Elapsed().Milliseconds() }

// Now returns the same time as Elapsed, truncated to milliseconds.
func (c *Clock) Now() time.Duration { return time.Duration(c.Millis()) * time.Millisecond }

// Elapsed returns the time since the clock was created at full resolution, for measurements
// below a millisecond such as service times.
func (c *Clock) Elapsed() time.Duration {
	now := c.read()
	elapsed := now.monotonic - c.start.monotonic
	current := c.correction.Load()
	if jump := now.gap(c.start) - current.gap; jump > suspendCheckThreshold || jump < -suspendCheckThreshold {
		current = c.updateCorrection()
	}
	return elapsed + current.suspendedSinceStart
}

// gap returns how much more the wall clock than the monotonic clock has advanced since start.
func (r reading) gap(start reading) time.Duration {
	return r.wall.Sub(start.wall) - (r.monotonic - start.monotonic)
}

// updateCorrection reads the machine's suspended time, and stores and returns the new correction.
func (c *Clock) updateCorrection() *correction {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.correction.Load()
	next := &correction{gap: c.read().gap(c.start), suspendedSinceStart: current.suspendedSinceStart, suspendedSinceBoot: current.suspendedSinceBoot}
	suspended, err := c.readSuspended()
	// The kernel's clocks are not read at the same instant, so differences below a millisecond
	// are ignored.
	if err == nil && suspended-current.suspendedSinceBoot >= time.Millisecond {
		next.suspendedSinceStart += suspended - current.suspendedSinceBoot
		next.suspendedSinceBoot = suspended
	}
	c.correction.Store(next)
	return next
}
