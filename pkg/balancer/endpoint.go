package balancer

import (
	"slices"
	"time"

	"bramblelift/pkg/routing"
)

// Tuning of the balancer.
const (
	// DefaultConcurrency is the limit of a back end for which the bundle sets none.
	DefaultConcurrency = 64
	minLimit           = 1.0
	// refusalFactor shrinks the limit at a refusal, and growth by 1/limit an answer
	// restores it: additive increase, multiplicative decrease.
	refusalFactor = 0.7
	// failuresToEject in a row leave a back end out for ejectionBase, doubling.
	failuresToEject = 3
	ejectionBase    = 500 * time.Millisecond
	maxEjection     = 15 * time.Second
	// panicThreshold: if fewer than this share would remain, nobody is left out.
	panicThreshold = 0.5
	// rampTime is how long a new back end takes to get a full share, from
	// rampStart of one.
	rampTime  = 5 * time.Second
	rampStart = 0.2
	// remoteCost is added to the score of back ends in other zones, in calls.
	remoteCost = 0.5
	// reportedWeight is how much a fully loaded report adds to the score.
	reportedWeight = 0.5
)

// endpoint is what the pool knows of one back end.
type endpoint struct {
	target    routing.Endpoint
	joinedAt  time.Duration
	ramped    bool
	inFlight  int
	limit     float64
	maxLimit  float64
	failures  int
	ejections int
	ejectedTo time.Duration
	reported  float64
	// leaving is set by the first signal of whatever kind and never unset.
	leaving bool
	// gate is what the back end's gate said last.
	gate gateView
	link linkView
	// remote back ends are of another zone, far ones of another region.
	remote, far bool
}

// eligible reports whether the back end may take a call at all that only some regions may serve.
func (e *endpoint) eligible(regions []string) bool {
	if e.leaving || e.target.Refused != "" {
		return false
	}
	return len(regions) == 0 || slices.Contains(regions, e.target.Region)
}

func (e *endpoint) usable(now time.Duration) bool {
	return !e.leaving && now >= e.ejectedTo
}

func (e *endpoint) free() bool {
	return float64(e.inFlight)+1 <= e.limit
}

// weight is the share of calls the back end should get while it warms up.
func (e *endpoint) weight(now time.Duration) float64 {
	age := now - e.joinedAt
	if e.ramped || age >= rampTime {
		e.ramped = true
		return 1
	}
	return rampStart + (1-rampStart)*float64(age)/float64(rampTime)
}

// score is the load by which back ends are compared; less is better.
func (e *endpoint) score(now time.Duration) float64 {
	load := float64(e.inFlight) + 1 + e.reported*reportedWeight
	if e.remote {
		load += remoteCost
	}
	if e.far {
		load += farCost
	}
	return load / e.weight(now)
}

func (e *endpoint) answered() {
	e.failures = 0
	e.ejections = 0
	e.limit = min(e.maxLimit, e.limit+1/e.limit)
}

func (e *endpoint) refused() {
	e.limit = max(minLimit, e.limit*refusalFactor)
}

func (e *endpoint) failed(now time.Duration) {
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	e.failures = 0
	pause := min(maxEjection, ejectionBase<<min(e.ejections, 10))
	e.ejections++
	e.ejectedTo = now + pause
}
