package balancer

import (
	"slices"
	"time"

	"bramblelift/pkg/clock"
	"bramblelift/pkg/limit"
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

// delayed reports whether the back end is cold, or names a limit that delays a call.
func (e *endpoint) delayed(now time.Duration, priority int) bool {
	return e.coldRemaining(now) > 0 || e.limitWait(now, priority) > 0
}

// limitDelay estimates how long the limit that the back end names delays a call, from the gate's last report and the calls
// that this node has sent since. If the report responded to a call of lower priority, only the gate knows what is queued
// before the call.
func (e *endpoint) limitDelay(now time.Duration, priority int) time.Duration {
	named := e.gate.report.Limit
	if !named.Named {
		return 0
	}
	if priority < e.gate.priority {
		return max(0, e.gate.at+named.UrgentDelay-now)
	}
	admittedIn := e.gate.at + named.AdmissionDelay - now
	admittedIn += time.Duration(float64(e.gate.sent) / max(named.Rate, limit.MinRate) * float64(time.Second))
	return max(0, admittedIn)
}

// limitedServiceTimeHalfLife is the half-life of the excess of a service time over the fastest one's, for back ends that name a
// limit. Only calls can show that such a back end is no longer slow, or that its limit has ended.
const limitedServiceTimeHalfLife = time.Second

// agedServiceTime returns the reported service time in nanoseconds. If the back end names a limit, the excess over the fastest
// one's decays from one measured call to the next.
func (e *endpoint) agedServiceTime(now, fastest time.Duration) float64 {
	service := e.gate.report.ServiceTime
	if !e.gate.report.Limit.Named || service <= fastest {
		return float64(service)
	}
	return float64(fastest) + float64(service-fastest)*clock.DecayFactor(now-e.gate.serviceTimeAt, limitedServiceTimeHalfLife)
}

// limitWait returns how long this node sends the back end no call of a priority because of its limit: limitDelay, or the
// rest of the pause after a rejection of a call that was no less urgent.
func (e *endpoint) limitWait(now time.Duration, priority int) time.Duration {
	wait := e.limitDelay(now, priority)
	if !e.gate.report.Limit.Named {
		return wait
	}
	for rejected, pause := range e.gate.limitPauses {
		if rejected <= priority {
			wait = max(wait, pause.until-now)
		}
	}
	return wait
}

// limitPause is a pause after rejections by a named limit.
type limitPause struct {
	until time.Duration
	// rejections counts the rejections since the last call of this priority, or a less urgent one, was admitted.
	rejections int
}

const (
	// maxLimitPauseExponent and maxLimitPause bound the growth of the pauses.
	maxLimitPauseExponent = 4
	maxLimitPause         = 2 * time.Second
	// maxLimitPauses bounds the priorities with a pause; tenants may have many.
	maxLimitPauses = 32
)

// RecordLimitRejection records that the limit which the back end names rejected the call. Other nodes learn at the same time
// when the gate admits the next call; after a random, exponential pause fewer of them ask for it at once.
func (t *Ticket) RecordLimitRejection(now time.Duration) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	gate := &t.endpoint.gate
	if gate.limitPauses == nil || len(gate.limitPauses) >= maxLimitPauses {
		gate.limitPauses = map[int]limitPause{}
	}
	pause := gate.limitPauses[t.priority]
	interval := float64(time.Second) / max(gate.report.Limit.Rate, limit.MinRate)
	share := float64(t.pool.config.Random(1000)) / 1000
	spread := time.Duration(share * interval * float64(int(1)<<min(pause.rejections, maxLimitPauseExponent)))
	pause.rejections++
	pause.until = now + gate.report.Limit.AdmissionDelay + min(spread, maxLimitPause)
	gate.limitPauses[t.priority] = pause
}

// recordLimitAdmission ends the pauses of calls that are no less urgent than an admitted one.
func (e *endpoint) recordLimitAdmission(priority int) {
	for rejected := range e.gate.limitPauses {
		if rejected <= priority {
			delete(e.gate.limitPauses, rejected)
		}
	}
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
		if wait := max(e.coldWait(now), e.limitDelay(now, r.Priority)); i == 0 || wait < roomIn {
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
