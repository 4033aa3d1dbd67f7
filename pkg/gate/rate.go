package gate

import (
	"math"
	"time"
)

const (
	// rateWindow is one second plus a margin, since calls may arrive closer together than they were
	// sent.
	rateWindow = time.Second + 20*time.Millisecond
	// minSpacing is the minimum time between two calls as a share of the mean interval. Less would
	// admit the calls of a second as one burst; the full interval would lose unused time.
	minSpacing = 0.5
	// minRate is the lowest rate, in calls per second. It keeps every window shorter than an hour,
	// so that no window starts before the constant never.
	minRate = 0.001
	// maxWindowCalls bounds the memory of a window: higher rates are limited to this many calls per
	// window.
	maxWindowCalls = 4096
)

// slidingRate limits the number of calls in any sliding window. Calls recorded
// before nextAdmission allowed them count too. The zero value has no limit.
type slidingRate struct {
	// admissions is a ring with the times of the latest calls, as many as a window may hold; next
	// is the index of the oldest, last the time of the latest.
	admissions []time.Duration
	next       int
	last       time.Duration
	// window is the length of the sliding window: rateWindow, or longer for rates below one call
	// per second, so that it holds one call.
	window time.Duration
}

// never is a time before the start of the clock by more than any window.
const never = -time.Hour

// setRate sets the rate in calls per second, zero for no limit. Calls recorded earlier still count.
func (r *slidingRate) setRate(perSecond float64) {
	limit := 0
	r.window = rateWindow
	if perSecond > 0 {
		r.window = time.Duration(float64(rateWindow) / math.Min(1, math.Max(perSecond, minRate)))
		limit = int(math.Max(1, math.Min(maxWindowCalls, math.Floor(perSecond))))
	}
	if limit == len(r.admissions) {
		return
	}
	resized := make([]time.Duration, 0, limit)
	if limit > 0 && len(r.admissions) == 0 {
		r.last = never
	}
	// A larger ring has slots without a recorded call: they get the time of the oldest recorded one.
	for len(resized)+len(r.admissions) < limit {
		resized = append(resized, r.oldest())
	}
	known := append(append([]time.Duration{}, r.admissions[r.next:]...), r.admissions[:r.next]...)
	r.admissions = append(resized, known[max(0, len(known)-limit):]...)
	r.next = 0
}

func (r *slidingRate) oldest() time.Duration {
	if len(r.admissions) == 0 {
		return never
	}
	return r.admissions[r.next]
}

// record adds an admitted call.
func (r *slidingRate) record(now time.Duration) {
	r.last = now
	if len(r.admissions) == 0 {
		return
	}
	r.admissions[r.next] = now
	r.next = (r.next + 1) % len(r.admissions)
}

// nextAdmission returns the earliest time at which the next call may be admitted.
func (r *slidingRate) nextAdmission() time.Duration {
	if len(r.admissions) == 0 {
		return never
	}
	spacing := time.Duration(minSpacing * float64(r.interval()))
	return max(r.oldest()+r.window, r.last+spacing)
}

func (r *slidingRate) limited() bool { return len(r.admissions) > 0 }

// interval returns the mean time between calls, zero for no limit.
func (r *slidingRate) interval() time.Duration {
	if len(r.admissions) == 0 {
		return 0
	}
	return r.window / time.Duration(len(r.admissions))
}
