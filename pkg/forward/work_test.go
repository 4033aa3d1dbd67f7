package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The first answer after a restart may be of a cold or slow back end; it must not decide for seconds
// whether a route's calls count as short ones, which may wait for a slot where others are refused.
func TestFirstAnswerDoesNotDecideARoutesWork(t *testing.T) {
	is := is.New(t)
	w := newWorkTimes()
	const usual, slow = 24 * time.Millisecond, 240 * time.Millisecond
	w.note("check", slow, 1000)
	work, answer := w.of("check")
	is.Equal(work, slow)
	is.Equal(answer, 1000)
	for range 9 {
		w.note("check", usual, 1000)
	}
	work, answer = w.of("check")
	is.True(work < 50*time.Millisecond) // the mean of ten, 46 ms
	is.Equal(answer, 1000)
	for range 500 {
		w.note("check", usual, 1000)
	}
	for range 30 {
		w.note("check", slow, 1000)
	}
	work, _ = w.of("check")
	is.True(work > slow/2) // and a change is noticed later as well
}
