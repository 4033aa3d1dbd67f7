package gate

import (
	"time"

	"bramblelift/pkg/clock"
)

const (
	// healthHalfLife is the time after which a result counts half.
	healthHalfLife = 2 * time.Second
	// healthPrior is the number of assumed successes, so that one failure among few calls does not
	// mark a back end as faulty.
	healthPrior = 8
	// hangServiceTimes is how many service times a call must spend at the back end for a missing
	// response to count as a failure of the back end rather than a late start.
	hangServiceTimes = 3
)

// health tracks the recent share of failed calls. Results decay, so that a back end that gets no
// calls because of its failures is tried again.
type health struct {
	failed, total float64
	at            time.Duration
}

// record adds the result of a call.
func (h *health) record(now time.Duration, failed bool) {
	h.decay(now)
	h.total++
	if failed {
		h.failed++
	}
}

// failing estimates the share of recent calls that failed, from 0 to 1; it is low after few calls.
func (h *health) failing(now time.Duration) float64 {
	h.decay(now)
	return h.failed / (h.total + healthPrior)
}

func (h *health) decay(now time.Duration) {
	factor := clock.DecayFactor(now-h.at, healthHalfLife)
	h.failed *= factor
	h.total *= factor
	h.at = now
}
