package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The level must follow a sustained rise of the delay, and fall once the rise ends or is old.
func TestCrowdingFollowsTheRiseOfTheDelay(t *testing.T) {
	is := is.New(t)
	var d Delay
	is.Equal(d.Crowding(0), Clear) // no measurement
	now := time.Second
	note := func(roundTrip time.Duration, times int) {
		for range times {
			now += 100 * time.Millisecond
			d.Note(now, roundTrip)
		}
	}
	note(62*time.Millisecond, 10)
	is.Equal(d.Crowding(now), Clear)
	note(250*time.Millisecond, 1)
	is.Equal(d.Crowding(now), Clear) // a single measurement has little weight
	note(250*time.Millisecond, 20)
	is.Equal(d.Crowding(now), Crowded)
	note(600*time.Millisecond, 20)
	is.Equal(d.Crowding(now), Full)
	is.Equal(d.Crowding(now+delayMaxAge+1), Clear) // the measurement is too old
	note(62*time.Millisecond, 30)
	is.Equal(d.Crowding(now), Clear)
}

// A permanently longer path must not count as crowded forever.
func TestBaseDelayFollowsAPermanentRise(t *testing.T) {
	is := is.New(t)
	var d Delay
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		d.Note(now, 10*time.Millisecond)
	}
	for now := 10 * time.Second; now < 3*baseWindow; now += 100 * time.Millisecond {
		d.Note(now, 300*time.Millisecond)
		if now == 20*time.Second {
			is.Equal(d.Crowding(now), Crowded)
		}
	}
	is.Equal(d.Crowding(3*baseWindow), Clear)
}
