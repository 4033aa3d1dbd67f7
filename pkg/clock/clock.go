// Package clock reads a monotonic clock that starts with the process.
package clock

import "time"

// Monotonic counts from when it was made. It goes on while the process is stopped, so
// a lease does not outlive a freeze.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a clock that starts now.
func NewMonotonic() *Monotonic {
	return &Monotonic{start: time.Now()}
}

// Now returns the time since the clock was made.
func (m *Monotonic) Now() time.Duration { return time.Since(m.start) }
