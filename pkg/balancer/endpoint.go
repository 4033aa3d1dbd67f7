package balancer

import (
	"slices"
	"time"

	"bramblelift/pkg/routing"
)

// Parameters of the choice among back ends without gates.
const (
	// DefaultConcurrency is the limit on calls in flight to a back end if the bundle sets none.
	DefaultConcurrency = 64
	minLimit           = 1.0
	// refusalFactor reduces the limit at each refusal; each response adds 1/limit (additive increase,
	// multiplicative decrease).
	refusalFactor = 0.7
	// failuresToEject consecutive failures eject a back end for ejectionBase, which doubles at each
	// further ejection up to maxEjection.
	failuresToEject = 3
	ejectionBase    = 500 * time.Millisecond
	maxEjection     = 15 * time.Second
	// panicThreshold is the fraction of usable back ends below which ejections are ignored.
	panicThreshold = 0.5
	// rampTime is the time in which the weight of a new back end grows from rampStart to 1.
	rampTime  = 5 * time.Second
	rampStart = 0.2
	// otherZoneLoad is added to the load of back ends in other zones, in calls.
	otherZoneLoad = 0.5
	// reportedLoadWeight is the number of calls that a reported load of 1 adds to the load.
	reportedLoadWeight = 0.5
)

// endpoint is the pool's state for one back end.
type endpoint struct {
	target       routing.Endpoint
	addedAt      time.Duration
	ramped       bool
	inFlight     int
	limit        float64
	maxLimit     float64
	failures     int
	ejections    int
	ejectedUntil time.Duration
	// reportedLoad is the load that the back end reported itself, from 0 to 1.
	reportedLoad float64
	// leaving is set by the first signal that the back end leaves and never reset.
	leaving bool
	// gate and link are the last states that the back end's gate reported.
	gate gateState
	link linkState
	// inOtherZone and inOtherRegion say that the back end's zone or region differs from the node's.
	inOtherZone, inOtherRegion bool
}

// eligible reports whether the back end may take a call restricted to the given regions (empty means all).
func (e *endpoint) eligible(regions []string) bool {
	if e.leaving || e.target.RejectReason != "" {
		return false
	}
	return len(regions) == 0 || slices.Contains(regions, e.target.Region)
}

// usable reports whether the back end is neither leaving nor ejected.
func (e *endpoint) usable(now time.Duration) bool {
	return !e.leaving && now >= e.ejectedUntil
}

// hasFreeSlot reports whether one more call stays within the concurrency limit.
func (e *endpoint) hasFreeSlot() bool {
	return float64(e.inFlight)+1 <= e.limit
}

// weight returns the back end's relative share of calls: below 1 while a new back end ramps up.
func (e *endpoint) weight(now time.Duration) float64 {
	age := now - e.addedAt
	if e.ramped || age >= rampTime {
		e.ramped = true
		return 1
	}
	return rampStart + (1-rampStart)*float64(age)/float64(rampTime)
}

// score returns the weighted load by which back ends are compared; lower is better.
func (e *endpoint) score(now time.Duration) float64 {
	load := float64(e.inFlight) + 1 + e.reportedLoad*reportedLoadWeight
	if e.inOtherZone {
		load += otherZoneLoad
	}
	if e.inOtherRegion {
		load += otherRegionLoad
	}
	return load / e.weight(now)
}

// recordResponse resets the failure counts and raises the limit.
func (e *endpoint) recordResponse() {
	e.failures = 0
	e.ejections = 0
	e.limit = min(e.maxLimit, e.limit+1/e.limit)
}

// recordRefusal lowers the limit.
func (e *endpoint) recordRefusal() {
	e.limit = max(minLimit, e.limit*refusalFactor)
}

// recordFailure counts a failure and ejects the back end after failuresToEject consecutive ones.
func (e *endpoint) recordFailure(now time.Duration) {
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	e.failures = 0
	pause := min(maxEjection, ejectionBase<<min(e.ejections, 10))
	e.ejections++
	e.ejectedUntil = now + pause
}
