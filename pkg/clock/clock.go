// Package clock reads a monotonic clock that starts with the process.
package clock

import "time"

// Clock is a steady clock that counts whole milliseconds from when it was made. It goes on while
// the process is stopped, so a lease does not outlive a freeze. Its zero value does not work.
type Clock struct {
	start time.Time
}

// New returns a clock that starts now.
func New() *Clock { return &Clock{start: time.Now()} }

// Millis returns the milliseconds since the clock was made.
func (c *Clock) Millis() int64 { return c.Elapsed().Milliseconds() }

// Now returns the same as a duration.
func (c *Clock) Now() time.Duration { return time.Duration(c.Millis()) * time.Millisecond }

// Elapsed is Now in full, for what takes less than a millisecond, such as the service times of the
// data plane.
func (c *Clock) Elapsed() time.Duration { return time.Since(c.start) }
