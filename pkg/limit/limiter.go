// Package limit enforces the rates of calls that back ends name in their responses. It does no I/O and reads no
// clock.
package limit

import (
	"math"
	"time"
)

const (
	// MinRate is the lowest rate, in calls per second, that is enforced. A back end that names a lower one, or zero, still
	// gets a call now and then: only its answer can end the limit.
	MinRate = 0.25
	// burst is how far calls may run ahead of a named rate, so that calls which arrive unevenly can use
	// all of it. It is at least one call.
	burst = 250 * time.Millisecond
	// reportedChange is the smallest relative change of a limit that is reported.
	reportedChange = 0.2
	// tokenError is the rounding error of the tokens.
	tokenError = 1e-6
)

// Limiter limits the calls to the rate that the back end names in its responses, with a token bucket. The zero value is
// no limit.
type Limiter struct {
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
}

// Name applies the rate that a response names.
func (l *Limiter) Name(now time.Duration, rate float64) {
	l.setRate(now, rate)
	l.heard, l.namedAt = true, now
}

// Omit applies a response without a limit to a call admitted at the given time. A call that was admitted before the
// limit was last named may have been answered before, too.
func (l *Limiter) Omit(admittedAt time.Duration) {
	l.heard = true
	if l.limited && admittedAt >= l.namedAt {
		l.rate, l.limited = 0, false
	}
}

// Adopt applies a limit that the back end named to another node, unless this gate has heard the back end itself. Of
// several the lowest applies.
func (l *Limiter) Adopt(now time.Duration, rate float64) {
	if !l.heard && (!l.limited || rate < l.rate) {
		l.setRate(now, rate)
	}
}

// setRate changes the rate. A new limit begins with one token, so that frequent restarts of the gate add few calls.
func (l *Limiter) setRate(now time.Duration, rate float64) {
	if l.limited {
		l.refill(now)
	} else {
		l.tokens, l.refilledAt = 1, now
	}
	l.rate, l.limited = rate, true
}

// enforcedRate is the rate at which tokens are added.
func (l *Limiter) enforcedRate() float64 { return max(l.rate, MinRate) }

// refill adds the tokens of the time since refilledAt.
func (l *Limiter) refill(now time.Duration) {
	size := 1 + max(1, l.enforcedRate()*burst.Seconds())
	l.tokens = min(size, l.tokens+l.enforcedRate()*(now-l.refilledAt).Seconds())
	l.refilledAt = now
}

// Charge counts a call that is sent to the back end.
func (l *Limiter) Charge(now time.Duration) {
	if l.limited {
		l.refill(now)
		l.tokens--
	}
}

// Refund reverts the charge for a call that was not sent.
func (l *Limiter) Refund() { l.tokens++ }

// Wait returns how long a call waits for the limit with ahead calls before it, and reserved tokens left for others.
func (l *Limiter) Wait(now time.Duration, ahead, reserved int) time.Duration {
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

// Changed reports whether the limit differs from the last reported one by enough to be reported, and marks
// it as reported.
func (l *Limiter) Changed() bool {
	sameKind := l.limited == l.reportedLimited
	if sameKind && math.Abs(l.rate-l.reported) <= reportedChange*l.reported {
		return false
	}
	l.reported, l.reportedLimited = l.rate, l.limited
	return true
}

// Limited reports whether the back end names a limit.
func (l *Limiter) Limited() bool { return l.limited }

// Rate returns the limit in calls per second, zero if none is named.
func (l *Limiter) Rate() float64 { return l.rate }

// Heard reports whether the back end has named a limit, or none, since the limiter was made.
func (l *Limiter) Heard() bool { return l.heard }
