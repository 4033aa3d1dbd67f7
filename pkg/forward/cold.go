package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
)

const (
	// maxColdRejections is how many gates may reject a call because of a cold back end before the node
	// rejects it: if a whole zone is cold, all its gates respond alike.
	maxColdRejections = 3
	// coldRetryDivisor divides the time left to limit Retry-After for calls that cold back ends
	// rejected, which leaves time for the call's work.
	coldRetryDivisor = 2
	// coldRetryJitter is the fraction of the time until the first back end is warm over which retries
	// of rejected calls are spread.
	coldRetryJitter = 0.3
)

// recordAllCold records that no back end could be chosen because all are cold.
func (g *gatedCall) recordAllCold(err error) {
	if cold := (*balancer.ColdError)(nil); errors.As(err, &cold) {
		g.lastReason = exchange.ReasonCold
		g.untilWarm = cold.WarmIn
	}
}

// recordColdRejection records a rejection by the gate of a cold back end.
func (g *gatedCall) recordColdRejection(report exchange.Report) {
	g.coldRejections++
	if remaining := report.Cold.Remaining; g.untilWarm == 0 || remaining < g.untilWarm {
		g.untilWarm = remaining
	}
}

// coldLimitReached reports whether the call must not attempt another gate after this cold rejection.
func (g *gatedCall) coldLimitReached(failure *gateFailure) bool {
	return failure.reason == exchange.ReasonCold && g.coldRejections >= maxColdRejections
}

// retryAfterCold returns when the caller should retry if cold back ends were the reason. That
// is not before the first of them is warm, unless the call's deadline requires it.
func (g *gatedCall) retryAfterCold(left time.Duration) time.Duration {
	pause := left / gateRetryDivisor
	warm := time.Duration((1 + coldRetryJitter*rand.Float64()) * float64(g.untilWarm))
	return max(pause, min(warm, left/coldRetryDivisor))
}
