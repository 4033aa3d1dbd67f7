package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// machineTime is what a machine's clocks show. The steady clock stands still while the machine is
// suspended; the time of day goes on, and may be set.
type machineTime struct {
	origin                time.Time
	steady, asleep, setBy time.Duration
	looks                 int
}

func (m *machineTime) read() reading {
	return reading{steady: m.steady, wall: m.origin.Add(m.steady + m.asleep + m.setBy)}
}

func (m *machineTime) suspended() (time.Duration, error) {
	m.looks++
	return m.asleep, nil
}

// A leader that slept through its lease served an old state as the newest: the steady clock had not
// counted the sleep, so the lease still seemed to hold when the machine woke.
func TestClockCountsSuspension(t *testing.T) {
	is := is.New(t)
	m := &machineTime{origin: time.Unix(1_800_000_000, 0), steady: time.Hour}
	c := newClock(m.read, m.suspended)
	m.steady += time.Second
	is.Equal(c.Elapsed(), time.Second)
	m.asleep += 5 * time.Second
	is.Equal(c.Elapsed(), 6*time.Second)
	m.steady += time.Second
	is.Equal(c.Elapsed(), 7*time.Second)
	m.asleep += 40 * time.Millisecond
	is.Equal(c.Millis(), int64(7040))
}

// The time of day only tells when to look: it may jump either way.
func TestClockIgnoresTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	m := &machineTime{origin: time.Unix(1_800_000_000, 0)}
	c := newClock(m.read, m.suspended)
	for _, set := range []time.Duration{2 * time.Second, -3 * time.Second, 0} {
		m.setBy = set
		m.steady += time.Second
		before := c.Elapsed()
		is.True(c.Elapsed() == before)
	}
	is.Equal(c.Elapsed(), 3*time.Second)
	// A suspension that a setting of the time of day hides in part is found all the same.
	m.asleep, m.setBy = 5*time.Second, -4*time.Second
	is.Equal(c.Elapsed(), 8*time.Second)
}

func TestClockLooksOnlyWhenTheTimeOfDayJumps(t *testing.T) {
	is := is.New(t)
	m := &machineTime{origin: time.Unix(1_800_000_000, 0)}
	c := newClock(m.read, m.suspended)
	looks := m.looks
	for range 1000 {
		m.steady += time.Millisecond
		c.Elapsed()
	}
	is.Equal(m.looks, looks)
}

func TestClockOfThisMachineWasNotSuspendedBackwards(t *testing.T) {
	is := is.New(t)
	asleep, err := suspendedTime()
	is.NoErr(err)
	is.True(asleep > -time.Second) // the kernel's two clocks are read one after the other
}

// BenchmarkElapsed is what each look at the clock costs: 42 ns before suspension was counted, 76 with it.
func BenchmarkElapsed(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Elapsed()
	}
}
