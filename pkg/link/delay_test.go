package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The level must follow a sustained rise of the delay, and fall once the rise ends or no recent measurement exists.
func TestCongestionFollowsQueueingDelay(t *testing.T) {
	is := is.New(t)
	var d Delay
	is.Equal(d.Congestion(0), Clear) // no measurement
	now := time.Second
	note := func(roundTrip time.Duration, times int) {
		for range times {
			now += 100 * time.Millisecond
			d.Observe(now, roundTrip)
		}
	}
	note(62*time.Millisecond, 10)
	is.Equal(d.Congestion(now), Clear)
	note(250*time.Millisecond, 1)
	is.Equal(d.Congestion(now), Clear) // a single measurement has little weight
	note(250*time.Millisecond, 20)
	is.Equal(d.Congestion(now), Congested)
	note(600*time.Millisecond, 20)
	is.Equal(d.Congestion(now), Full)
	is.Equal(d.Congestion(now+delayMaxAge+1), Clear) // the measurement is too old
	note(62*time.Millisecond, 30)
	is.Equal(d.Congestion(now), Clear)
}

// A permanently longer path must not count as congested forever.
func TestBaseDelayFollowsAPermanentRise(t *testing.T) {
	is := is.New(t)
	var d Delay
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		d.Observe(now, 10*time.Millisecond)
	}
	for now := 10 * time.Second; now < 3*baseWindow; now += 100 * time.Millisecond {
		d.Observe(now, 300*time.Millisecond)
		if now == 20*time.Second {
			is.Equal(d.Congestion(now), Congested)
		}
	}
	is.Equal(d.Congestion(3*baseWindow), Clear)
}
