package retry

import (
	"sync"
	"time"

	"bramblelift/pkg/clock"
)

const (
	// throttleMultiple is how many times as much may be asked for as was lately granted. With 3
	// at least a third of what is asked is granted, and a server that has room again is found
	// within about throttleHalfLife.
	throttleMultiple = 3.0
	// throttleFree is how many more may be asked for: a few refusals are no overload.
	throttleFree = 4.0
	// throttleHalfLife is after how long what was asked and granted counts half.
	throttleHalfLife = time.Second
)

// Throttle keeps a client from asking for what is refused anyway: it drops calls in proportion to
// the share that servers refused lately ("Site Reliability Engineering", Beyer and others, 2016,
// chapter 21, client-side throttling). Asking costs time and bytes, of which there are least when
// servers are full. It is safe for concurrent use; the zero value lets everything through.
type Throttle struct {
	mu             sync.Mutex
	asked, granted float64
	at             time.Duration
}

// Allow reports whether to ask, for a number drawn from [0, 1), and notes that it was asked.
func (t *Throttle) Allow(now time.Duration, random float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	refused := max(0, (t.asked-throttleMultiple*t.granted-throttleFree)/(t.asked+1))
	if random < refused {
		return false
	}
	t.asked++
	return true
}

// Granted notes that what was asked for was granted.
func (t *Throttle) Granted(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	t.granted++
}

// Withdrawn takes back that something was asked: the answer says nothing of the servers' room.
func (t *Throttle) Withdrawn(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	t.asked = max(t.granted, t.asked-1)
}

// NotGranted returns which share of what was asked lately was not granted, from 0 to 1: it was
// refused, or the answer is still to come.
func (t *Throttle) NotGranted(now time.Duration) float64 {
	asked, granted := t.Counts(now)
	return max(0, (asked-granted)/(asked+throttleFree))
}

// Counts returns how much was asked and granted lately, as the throttle weighs it.
func (t *Throttle) Counts(now time.Duration) (asked, granted float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	return t.asked, t.granted
}

func (t *Throttle) forget(now time.Duration) {
	kept := clock.Kept(max(0, now-t.at), throttleHalfLife)
	t.asked *= kept
	t.granted *= kept
	t.at = now
}
