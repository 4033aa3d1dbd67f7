package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// send offers 100 requests a second for a number of seconds and returns how many the throttle allowed.
func send(t *Throttle, from time.Duration, seconds int, granted func(n int) bool) (sent int) {
	for n := range 100 * seconds {
		now := from + time.Duration(n)*10*time.Millisecond
		// Multiples of the golden ratio are evenly distributed.
		random := float64(n) * 0.6180339887
		if !t.Allow(now, random-float64(int(random))) {
			continue
		}
		sent++
		if granted(n) {
			t.Granted(now)
		}
	}
	return sent
}

func TestThrottleFollowsGrantedShare(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	always := func(int) bool { return true }
	is.Equal(send(&throttle, 0, 5, always), 500)
	is.Equal(send(&throttle, 5*time.Second, 5, func(n int) bool { return n%4 != 0 }), 500) // a quarter rejected is below the tolerated two thirds
	count := 0
	sent := send(&throttle, 10*time.Second, 10, func(int) bool { count++; return count%10 == 0 })
	is.True(sent < 600) // a tenth is granted, so most requests are dropped
	sent = send(&throttle, 20*time.Second, 10, func(int) bool { return false })
	is.True(sent > 3 && sent < 300)                           // it keeps probing
	is.True(send(&throttle, 30*time.Second, 4, always) > 300) // free capacity is detected
}

// Guards against a share that ignores pending requests or is high after only a few of them.
func TestNotGrantedCountsRejectedAndPendingRequests(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	is.Equal(throttle.NotGranted(0), 0.0)
	for range 10 {
		is.True(throttle.Allow(0, 0.99))
		throttle.Granted(0)
	}
	is.Equal(throttle.NotGranted(0), 0.0)
	for range 6 {
		is.True(throttle.Allow(0, 0.99))
	}
	is.Equal(throttle.NotGranted(0), 6/(16+freeRequests))
}

// Responses that say nothing about the servers' capacity must not cause throttling.
func TestCancelledRequestsDoNotCount(t *testing.T) {
	is := is.New(t)
	var throttle Throttle
	for range 100 {
		is.True(throttle.Allow(0, 0.01))
		throttle.Cancelled(0)
	}
}
