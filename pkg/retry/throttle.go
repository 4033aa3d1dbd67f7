package retry

import (
	"sync"
	"time"

	"bramblelift/pkg/clock"
)

const (
	// Requests are dropped once those sent exceed requestMultiple times those granted, plus freeRequests.
	// With a multiple of 3, up to two thirds may be rejected, and free capacity is detected within about
	// halfLife. A few rejections are no overload.
	requestMultiple = 3.0
	freeRequests    = 4.0
	// halfLife is the time after which requests and grants count half.
	halfLife = time.Second
)

// Throttle implements client-side throttling ("Site Reliability Engineering", Beyer and others, 2016,
// chapter 21): it drops requests once servers recently rejected more than a tolerated share, the more the larger
// the excess, so that requests likely to be rejected do not add to an overload. It is safe for concurrent use;
// the zero value allows everything.
type Throttle struct {
	mu            sync.Mutex
	sent, granted float64
	updatedAt     time.Duration
}

// Allow reports whether to send a request, for a random number in [0, 1), and counts the request if so.
func (t *Throttle) Allow(now time.Duration, random float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	rejectProbability := max(0, (t.sent-requestMultiple*t.granted-freeRequests)/(t.sent+1))
	if random < rejectProbability {
		return false
	}
	t.sent++
	return true
}

// Granted records that a server accepted a sent request.
func (t *Throttle) Granted(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.granted++
}

// Cancelled cancels a counted request whose response says nothing about the servers' capacity.
func (t *Throttle) Cancelled(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.sent = max(t.granted, t.sent-1)
}

// NotGranted returns the share of recent requests that were rejected or are pending, from 0 to 1.
func (t *Throttle) NotGranted(now time.Duration) float64 {
	sent, granted := t.Counts(now)
	return max(0, (sent-granted)/(sent+freeRequests))
}

// Counts returns the numbers of recent requests and grants, weighted by age.
func (t *Throttle) Counts(now time.Duration) (sent, granted float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	return t.sent, t.granted
}

func (t *Throttle) decay(now time.Duration) {
	factor := clock.DecayFactor(max(0, now-t.updatedAt), halfLife)
	t.sent *= factor
	t.granted *= factor
	t.updatedAt = now
}
