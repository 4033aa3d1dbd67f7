package gate

import (
	"math"
	"time"

	"bramblelift/pkg/exchange"
)

const (
	// limitBurst is how far calls may run ahead of a named rate, so that calls which arrive unevenly can use
	// all of it. It is at least one call.
	limitBurst = 250 * time.Millisecond
	// reportedChange is the smallest relative change of a limit that is reported.
	reportedChange = 0.2
	// urgentWindow is how long after a call the gate keeps a token for further calls of its priority.
	urgentWindow = 2 * time.Second
	// tokenError is the rounding error of the tokens.
	tokenError = 1e-6
)

// namedLimit limits the calls to the rate that the back end names in its responses, with a token bucket. It does no I/O
// and reads no clock. The zero value is no limit.
type namedLimit struct {
	// rate is in calls per second, if limited.
	rate    float64
	limited bool
	// heard is set once the back end has named a limit, or none, to this gate; until then the gate keeps to
	// what other nodes heard.
	heard bool
	// namedAt is when a response last named a limit.
	namedAt time.Duration
	// tokens are the calls that may be admitted at refilledAt. They are negative after calls that could not be delayed.
	tokens     float64
	refilledAt time.Duration
	// reported and reportedLimited are rate and limited as of the last reported change.
	reported        float64
	reportedLimited bool
	// invalid is the last value that could not be read, empty once one could.
	invalid string
}

// name applies the rate that a response names.
func (l *namedLimit) name(now time.Duration, rate float64) {
	l.setRate(now, rate)
	l.heard, l.namedAt = true, now
}

// omit applies a response without a limit to a call admitted at the given time. A call that was admitted before the
// limit was last named may have been answered before, too.
func (l *namedLimit) omit(admittedAt time.Duration) {
	l.heard = true
	if l.limited && admittedAt >= l.namedAt {
		l.rate, l.limited = 0, false
	}
}

// adopt applies a limit that the back end named to another node, unless this gate has heard the back end itself. Of
// several the lowest applies.
func (l *namedLimit) adopt(now time.Duration, rate float64) {
	if !l.heard && (!l.limited || rate < l.rate) {
		l.setRate(now, rate)
	}
}

// setRate changes the rate. A new limit begins with one token, so that frequent restarts of the gate add few calls.
func (l *namedLimit) setRate(now time.Duration, rate float64) {
	if l.limited {
		l.refill(now)
	} else {
		l.tokens, l.refilledAt = 1, now
	}
	l.rate, l.limited = rate, true
}

// enforcedRate is the rate at which tokens are added.
func (l *namedLimit) enforcedRate() float64 { return max(l.rate, exchange.MinLimit) }

// refill adds the tokens of the time since refilledAt.
func (l *namedLimit) refill(now time.Duration) {
	size := 1 + max(1, l.enforcedRate()*limitBurst.Seconds())
	l.tokens = min(size, l.tokens+l.enforcedRate()*(now-l.refilledAt).Seconds())
	l.refilledAt = now
}

// charge counts a call that is sent to the back end.
func (l *namedLimit) charge(now time.Duration) {
	if l.limited {
		l.refill(now)
		l.tokens--
	}
}

// refund reverts the charge for a call that was not sent.
func (l *namedLimit) refund() { l.tokens++ }

// wait returns how long a call waits for the limit with ahead calls before it, and reserved tokens left for others.
func (l *namedLimit) wait(now time.Duration, ahead, reserved int) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	missing := float64(1+ahead+reserved) - l.tokens
	if missing <= tokenError {
		return 0
	}
	return time.Duration(missing / l.enforcedRate() * float64(time.Second))
}

// urgentCalls is the highest priority of recent calls. While calls wait for a limit, one token is kept for it: calls that
// cannot wait are otherwise rejected whenever one of lower priority came first.
type urgentCalls struct {
	seen     bool
	priority int
	at       time.Duration
}

// record counts a call.
func (u *urgentCalls) record(now time.Duration, priority int) {
	if !u.seen || priority <= u.priority || now-u.at > urgentWindow {
		u.seen, u.priority, u.at = true, priority, now
	}
}

// reserved returns the tokens that a call with the given priority must leave.
func (u *urgentCalls) reserved(now time.Duration, priority int) int {
	if u.seen && priority > u.priority && now-u.at <= urgentWindow {
		return 1
	}
	return 0
}

// changed reports whether the limit differs from the last reported one by enough to be reported, and marks
// it as reported.
func (l *namedLimit) changed() bool {
	sameKind := l.limited == l.reportedLimited
	if sameKind && math.Abs(l.rate-l.reported) <= reportedChange*l.reported {
		return false
	}
	l.reported, l.reportedLimited = l.rate, l.limited
	return true
}

// adoptKnownLimit applies the limit that the back end named to the sender of a call. g.mu must be held.
func (g *Gate) adoptKnownLimit(now time.Duration, req request) {
	if !req.knowsLimit || req.instance != g.backend.ID || req.knownLimit.Incarnation != g.backend.Incarnation {
		return
	}
	g.limit.adopt(now, req.knownLimit.Rate)
	g.reportLimit(g.limit.invalid)
}

// chargeResends counts the requests that the transport sent to the back end beyond the first one.
func (g *Gate) chargeResends(adm admission, resends int) {
	if resends == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for range resends {
		if adm.generation == g.generation {
			g.limit.charge(g.config.Now())
		}
	}
}

// refundLimit reverts the charge for a call that was not sent.
func (g *Gate) refundLimit(adm admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if adm.generation == g.generation {
		g.limit.refund()
	}
}

// nextAdmission returns the earliest time at which the cold rate and the named limit admit a call with the given priority.
// g.mu must be held.
func (g *Gate) nextAdmission(now time.Duration, priority int) time.Duration {
	return max(g.cold.nextAdmission(now), now+g.limitWait(now, 0, priority))
}

// limitWait estimates how long a call waits for the named limit with ahead calls before it. g.mu must be held.
func (g *Gate) limitWait(now time.Duration, ahead, priority int) time.Duration {
	return g.limit.wait(now, ahead, g.urgent.reserved(now, priority))
}

// rateWait estimates how long a call waits for the cold rate and the named limit with ahead calls before it. g.mu must
// be held.
func (g *Gate) rateWait(now time.Duration, ahead, priority int) time.Duration {
	return max(g.cold.wait(now, ahead), g.limitWait(now, ahead, priority))
}

// rateReason returns the reason to reject a call that would wait too long for the cold rate or the named limit. g.mu must
// be held.
func (g *Gate) rateReason(now time.Duration) exchange.Reason {
	queued := len(g.queue)
	if g.limit.limited && g.limit.wait(now, queued, 0) >= g.cold.wait(now, queued) {
		return exchange.ReasonLimit
	}
	return exchange.ReasonCold
}

// dropDisplaced rejects queued calls that can no longer be admitted within their wait, because the named limit has
// fallen or calls of higher priority have arrived. g.mu must be held.
func (g *Gate) dropDisplaced(now time.Duration) {
	if !g.limit.limited {
		return
	}
	kept := 0
	for _, w := range g.queue.inOrder() {
		if now+g.limitWait(now, kept, w.priority) <= w.waitsUntil {
			kept++
			continue
		}
		g.queue.remove(w)
		w.reason = exchange.ReasonLimit
		close(w.dropped)
	}
}

// limitReport returns the named limit for the load report to a call with the given priority. g.mu must be held.
func (g *Gate) limitReport(now time.Duration, priority int) exchange.Limit {
	if !g.limit.limited {
		return exchange.Limit{}
	}
	ahead := g.queue.ahead(&waiter{priority: priority, deadline: maxDeadline}) + g.receiving
	return exchange.Limit{Named: true, Rate: g.limit.rate, AdmissionDelay: g.limitWait(now, ahead, priority), UrgentDelay: g.limit.wait(now, 0, 0)}
}

// maxDeadline is after every deadline.
const maxDeadline = time.Duration(math.MaxInt64)
