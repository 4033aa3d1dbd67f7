package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRiseOfTheDelayTellsACrowdedPath(t *testing.T) {
	is := is.New(t)
	var d Delay
	is.Equal(d.Crowding(0), Clear) // nothing known
	now := time.Second
	note := func(took time.Duration, times int) {
		for range times {
			now += 100 * time.Millisecond
			d.Note(now, took)
		}
	}
	note(62*time.Millisecond, 10)
	is.Equal(d.Crowding(now), Clear)
	note(250*time.Millisecond, 1)
	is.Equal(d.Crowding(now), Clear) // one says little
	note(250*time.Millisecond, 20)
	is.Equal(d.Crowding(now), Crowded)
	note(600*time.Millisecond, 20)
	is.Equal(d.Crowding(now), Full)
	is.Equal(d.Crowding(now+delayMemory+1), Clear) // try again
	note(62*time.Millisecond, 30)
	is.Equal(d.Crowding(now), Clear)
}

// A path that has become longer for good is not crowded for ever.
func TestLeastDelayIsForgotten(t *testing.T) {
	is := is.New(t)
	var d Delay
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		d.Note(now, 10*time.Millisecond)
	}
	for now := 10 * time.Second; now < 3*baseMemory; now += 100 * time.Millisecond {
		d.Note(now, 300*time.Millisecond)
		if now == 20*time.Second {
			is.Equal(d.Crowding(now), Crowded)
		}
	}
	is.Equal(d.Crowding(3*baseMemory), Clear)
}
