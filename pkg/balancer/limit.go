package balancer

import (
	"slices"
	"time"
)

// LimitError reports that no candidate back end can admit the call within its patience, at least one of them
// because of the limit that it names. No gate has seen the call.
type LimitError struct {
	// RoomIn is the time until the first of them can admit a call.
	RoomIn time.Duration
}

// Error implements error.
func (e *LimitError) Error() string {
	return "all back ends have as many calls as the limits that they name allow"
}

// rateLimited reports whether the back end's gate admits calls at a limited rate, because the back end is cold or
// names a limit.
func (e *endpoint) rateLimited(now time.Duration) bool {
	return e.coldRemaining(now) > 0 || e.gate.report.Limit.Named
}

// limitWait estimates how long the limit that the back end names delays a call, from the gate's last report and the calls
// that this node has sent since. If the report responded to a call of lower priority, only the gate knows what is queued
// before the call.
func (e *endpoint) limitWait(now time.Duration, priority int) time.Duration {
	limit := e.gate.report.Limit
	if !limit.Named {
		return 0
	}
	if priority < e.gate.priority {
		return max(0, e.gate.at+limit.UrgentDelay-now)
	}
	admittedIn := e.gate.at + limit.AdmissionDelay - now
	if limit.Rate > 0 {
		admittedIn += time.Duration(float64(e.gate.sent) / limit.Rate * float64(time.Second))
	}
	return max(0, admittedIn)
}

// rateWait estimates how long the rate limits of the back end's gate delay a call.
func (e *endpoint) rateWait(now time.Duration, priority int) time.Duration {
	return max(e.coldWait(now), e.limitWait(now, priority))
}

// excludeSaturated removes, in place, the back ends whose gates cannot admit a call within its patience because the
// back ends are cold or name a limit. If none remains it returns a LimitError, or a ColdError if no limit is the reason.
func excludeSaturated(candidates []*endpoint, now time.Duration, r GateRequest) ([]*endpoint, error) {
	var warmIn, roomIn time.Duration
	limited := false
	for i, e := range candidates {
		if remaining := e.coldRemaining(now); i == 0 || remaining < warmIn {
			warmIn = remaining
		}
		if wait := e.rateWait(now, r.Priority); i == 0 || wait < roomIn {
			roomIn = wait
		}
		limited = limited || e.limitWait(now, r.Priority) > r.Patience
	}
	available := slices.DeleteFunc(candidates, func(e *endpoint) bool { return e.rateWait(now, r.Priority) > r.Patience })
	switch {
	case len(available) > 0:
		return available, nil
	case limited:
		return nil, &LimitError{RoomIn: roomIn}
	}
	return nil, &ColdError{WarmIn: warmIn}
}
