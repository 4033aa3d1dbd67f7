package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a first response, possibly of a cold back end, that dominates a route's service time.
func TestFirstResponseDoesNotDominateTheServiceTime(t *testing.T) {
	is := is.New(t)
	w := newServiceTimes()
	const usual, slow = 24 * time.Millisecond, 240 * time.Millisecond
	w.record("check", slow, 1000)
	work, responseBytes := w.get("check")
	is.Equal(work, slow)
	is.Equal(responseBytes, 1000)
	for range 9 {
		w.record("check", usual, 1000)
	}
	work, responseBytes = w.get("check")
	is.True(work < 50*time.Millisecond) // the mean of ten, 46 ms
	is.Equal(responseBytes, 1000)
	for range 500 {
		w.record("check", usual, 1000)
	}
	for range 30 {
		w.record("check", slow, 1000)
	}
	work, _ = w.get("check")
	is.True(work > slow/2) // a change still shows quickly
}
