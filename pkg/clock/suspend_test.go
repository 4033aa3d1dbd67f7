package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeMachine simulates the clocks of a machine. The monotonic clock stops during a suspension;
// the wall clock advances and may be set.
type fakeMachine struct {
	origin                              time.Time
	monotonic, suspendedFor, wallOffset time.Duration
	suspendedReads                      int
}

func (m *fakeMachine) read() reading {
	return reading{monotonic: m.monotonic, wall: m.origin.Add(m.monotonic + m.suspendedFor + m.wallOffset)}
}

func (m *fakeMachine) readSuspended() (time.Duration, error) {
	m.suspendedReads++
	return m.suspendedFor, nil
}

// The clock must include suspended time. Otherwise a leader's lease seems valid after a
// suspension, and the leader serves stale state.
func TestClockIncludesSuspendedTime(t *testing.T) {
	is := is.New(t)
	m := &fakeMachine{origin: time.Unix(1_800_000_000, 0), monotonic: time.Hour}
	c := newClock(m.read, m.readSuspended)
	m.monotonic += time.Second
	is.Equal(c.Elapsed(), time.Second)
	m.suspendedFor += 5 * time.Second
	is.Equal(c.Elapsed(), 6*time.Second)
	m.monotonic += time.Second
	is.Equal(c.Elapsed(), 7*time.Second)
	m.suspendedFor += 40 * time.Millisecond
	is.Equal(c.Millis(), int64(7040))
}

// Setting the wall clock, forward or back, must not change the elapsed time.
func TestClockIgnoresChangesOfWallClock(t *testing.T) {
	is := is.New(t)
	m := &fakeMachine{origin: time.Unix(1_800_000_000, 0)}
	c := newClock(m.read, m.readSuspended)
	for _, offset := range []time.Duration{2 * time.Second, -3 * time.Second, 0} {
		m.wallOffset = offset
		m.monotonic += time.Second
		before := c.Elapsed()
		is.True(c.Elapsed() == before)
	}
	is.Equal(c.Elapsed(), 3*time.Second)
	// A suspension must be detected even if the wall clock is set back by a part of it.
	m.suspendedFor, m.wallOffset = 5*time.Second, -4*time.Second
	is.Equal(c.Elapsed(), 8*time.Second)
}

func TestClockReadsSuspendedTimeOnlyAfterJump(t *testing.T) {
	is := is.New(t)
	m := &fakeMachine{origin: time.Unix(1_800_000_000, 0)}
	c := newClock(m.read, m.readSuspended)
	suspendedReads := m.suspendedReads
	for range 1000 {
		m.monotonic += time.Millisecond
		c.Elapsed()
	}
	is.Equal(m.suspendedReads, suspendedReads)
}

func TestSuspendedTimeIsNotNegative(t *testing.T) {
	is := is.New(t)
	suspended, err := suspendedTime()
	is.NoErr(err)
	is.True(suspended > -time.Second) // may be slightly negative, as the kernel's two clocks are not read at the same instant
}

// BenchmarkElapsed measures one reading of the clock.
func BenchmarkElapsed(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Elapsed()
	}
}
