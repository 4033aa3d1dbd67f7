package gate

import (
	"time"

	"bramblelift/pkg/clock"
)

const (
	// healthHalfLife is after how long an ending counts half.
	healthHalfLife = 2 * time.Second
	// healthPrior is how many good endings are assumed, so that one failure of a few
	// calls is not taken for a faulty back end.
	healthPrior = 8
	// hangServices is after how many service times a call that got no answer in its time
	// counts as a failure of the back end, not of a late start.
	hangServices = 3
)

// health judges a back end by how its calls ended lately. It forgets, so that a back end
// that gets no calls for its failures is tried again.
type health struct {
	failed, total float64
	at            time.Duration
}

// note takes in one ending.
func (h *health) note(now time.Duration, failed bool) {
	h.forget(now)
	h.total++
	if failed {
		h.failed++
	}
}

// failing returns the share of calls that failed, from 0 to 1.
func (h *health) failing(now time.Duration) float64 {
	h.forget(now)
	return h.failed / (h.total + healthPrior)
}

func (h *health) forget(now time.Duration) {
	kept := clock.Kept(now-h.at, healthHalfLife)
	h.failed *= kept
	h.total *= kept
	h.at = now
}
