// Package clock reads a steady clock that starts with the process.
package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// jumpLimit is by how much the time of day may drift from the steady clock before the machine is
// asked whether it was suspended. A time service that corrects a clock by 500 parts in a million
// takes 20 s for it, and no lease is so short that this much would matter.
const jumpLimit = 10 * time.Millisecond

// Clock is a steady clock that counts whole milliseconds from when it was made. It goes on while
// the process is stopped and while the machine is suspended, so a lease does not outlive either.
// Its zero value does not work.
//
// The kernel's steady clock stands still while the machine is suspended. The one that does not is
// read by a system call, which takes too long for each look. The time of day goes on, too, and comes
// with the steady clock for 34 ns (BenchmarkElapsed), but may be set: a jump of it only says when to ask.
type Clock struct {
	read      func() reading
	suspended func() (time.Duration, error)
	start     reading

	mu   sync.Mutex
	held atomic.Pointer[correction]
}

// reading is one look at the machine's clocks.
type reading struct {
	// steady stands still while the machine is suspended.
	steady time.Duration
	wall   time.Time
}

// correction is what the steady clock has missed.
type correction struct {
	// gap is by how much the time of day was ahead when the machine was asked.
	gap time.Duration
	// missed is how long the machine has been suspended since the clock was made, asleep since it
	// was started.
	missed, asleep time.Duration
}

// New returns a clock that starts now.
func New() *Clock {
	origin := time.Now()
	return newClock(func() reading {
		now := time.Now()
		return reading{steady: now.Sub(origin), wall: now.Round(0)}
	}, suspendedTime)
}

func newClock(read func() reading, suspended func() (time.Duration, error)) *Clock {
	c := &Clock{read: read, suspended: suspended, start: read()}
	first := &correction{}
	// A machine that cannot tell was never suspended as far as the clock knows.
	if asleep, err := suspended(); err == nil {
		first.asleep = asleep
	}
	c.held.Store(first)
	return c
}

// Millis returns the milliseconds since the clock was made.
func (c *Clock) Millis() int64 { return c.Elapsed().Milliseconds() }

// Now returns the same as a duration.
func (c *Clock) Now() time.Duration { return time.Duration(c.Millis()) * time.Millisecond }

// Elapsed is Now in full, for what takes less than a millisecond, such as the service times of the
// data plane.
func (c *Clock) Elapsed() time.Duration {
	now := c.read()
	elapsed := now.steady - c.start.steady
	held := c.held.Load()
	if jump := now.gap(c.start) - held.gap; jump > jumpLimit || jump < -jumpLimit {
		held = c.ask()
	}
	return elapsed + held.missed
}

// gap is by how much the time of day has run ahead of the steady clock since an earlier reading.
func (r reading) gap(start reading) time.Duration {
	return r.wall.Sub(start.wall) - (r.steady - start.steady)
}

// ask asks the machine how long it was suspended.
func (c *Clock) ask() *correction {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held.Load()
	next := &correction{gap: c.read().gap(c.start), missed: held.missed, asleep: held.asleep}
	asleep, err := c.suspended()
	// The kernel's clocks are read one after the other: less than a millisecond is no sleep.
	if err == nil && asleep-held.asleep >= time.Millisecond {
		next.missed += asleep - held.asleep
		next.asleep = asleep
	}
	c.held.Store(next)
	return next
}
