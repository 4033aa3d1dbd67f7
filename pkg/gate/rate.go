package gate

import (
	"math"
	"time"
)

const (
	// rateWindow is the second over which a rate is kept, and a little more: calls that left further
	// apart may arrive closer together.
	rateWindow = time.Second + 20*time.Millisecond
	// evenness is which share of the mean interval two calls are apart at least. Less would let in the
	// calls of a second at once and none after; the whole would lose the time in which none came.
	evenness = 0.5
	// maxWindowCalls bounds the memory of a window. No back end that bears more a second is in need of
	// a bound.
	maxWindowCalls = 4096
)

// slidingRate lets in no more than a number of calls within any window, wherever it begins. Calls that
// were let in without asking count, too. Its zero value has no bound.
type slidingRate struct {
	// starts is a ring of when the latest calls were let in, as many as a window may hold; next is the
	// oldest of them.
	starts []time.Duration
	next   int
	latest time.Duration
}

// never is long before the clock's start.
const never = -time.Hour

// setRate changes the rate, in calls a second; zero for no bound. Calls let in before still count.
func (r *slidingRate) setRate(perSecond float64) {
	limit := 0
	if perSecond > 0 {
		limit = int(math.Max(1, math.Min(maxWindowCalls, math.Floor(perSecond))))
	}
	if limit == len(r.starts) {
		return
	}
	grown := make([]time.Duration, 0, limit)
	if limit > 0 && len(r.starts) == 0 {
		r.latest = never
	}
	// What is no longer known of a longer window is taken for as late as it may have been.
	for len(grown)+len(r.starts) < limit {
		grown = append(grown, r.oldest())
	}
	held := append(append([]time.Duration{}, r.starts[r.next:]...), r.starts[:r.next]...)
	r.starts = append(grown, held[max(0, len(held)-limit):]...)
	r.next = 0
}

func (r *slidingRate) oldest() time.Duration {
	if len(r.starts) == 0 {
		return never
	}
	return r.starts[r.next]
}

// note takes in that a call was let in.
func (r *slidingRate) note(now time.Duration) {
	r.latest = now
	if len(r.starts) == 0 {
		return
	}
	r.starts[r.next] = now
	r.next = (r.next + 1) % len(r.starts)
}

// openAt is from when on the next call may be let in.
func (r *slidingRate) openAt() time.Duration {
	if len(r.starts) == 0 {
		return never
	}
	apart := time.Duration(evenness * float64(r.interval()))
	return max(r.oldest()+rateWindow, r.latest+apart)
}

func (r *slidingRate) bounded() bool { return len(r.starts) > 0 }

// interval is the mean time between calls, zero for no bound.
func (r *slidingRate) interval() time.Duration {
	if len(r.starts) == 0 {
		return 0
	}
	return rateWindow / time.Duration(len(r.starts))
}
