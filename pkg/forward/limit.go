package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
)

const (
	// maxLimitRejections is how many gates may reject a call because of the limits that their back ends name before
	// the node rejects it while its link is busy: if a whole service is in need, all its gates respond alike.
	maxLimitRejections = 3
	// limitRetryJitter is the fraction of the time until there is room over which retries of rejected calls are spread.
	limitRetryJitter = 0.3
	// maxLimitRetry bounds Retry-After for calls that named limits rejected: limits may rise or end before.
	maxLimitRetry = 10 * time.Second
)

// recordAllLimited records that no back end could be chosen because of the limits that they name.
func (g *gatedCall) recordAllLimited(err error) {
	if limited := (*balancer.LimitError)(nil); errors.As(err, &limited) {
		g.lastReason = exchange.ReasonLimit
		g.untilRoom = limited.RoomIn
	}
}

// recordLimitRejection records a rejection by the gate of a back end that names a limit.
func (g *gatedCall) recordLimitRejection(report exchange.Report) {
	g.limitRejections++
	if delay := report.Limit.AdmissionDelay; g.limitRejections == 1 || delay < g.untilRoom {
		g.untilRoom = delay
	}
}

// namedLimitsReached reports whether the call must not attempt another gate after this rejection.
func (g *gatedCall) namedLimitsReached(failure *gateFailure) bool {
	return g.linkBusy && failure.reason == exchange.ReasonLimit && g.limitRejections >= maxLimitRejections
}

// retryAfterLimit returns when the caller should retry if named limits were the reason: not before the first back end can
// be sent a call, even if that is after the call's deadline.
func (g *gatedCall) retryAfterLimit(left time.Duration) time.Duration {
	room := time.Duration((1 + limitRetryJitter*rand.Float64()) * float64(g.untilRoom))
	return max(minGateRetry, min(maxLimitRetry, max(room, left/gateRetryDivisor)))
}
