package forward

import (
	"time"

	"bramblelift/pkg/exchange"
)

// Parameters of Retry-After for calls that have not run.
const (
	// gateRetryDivisor divides the time left until the deadline to get Retry-After.
	gateRetryDivisor = 3
	minGateRetry     = 20 * time.Millisecond
	maxGateRetry     = 2 * time.Second
	// maxRandomFailureRate is the ratio of failed calls up to which a decline counts as random, so that a
	// retry will probably succeed.
	maxRandomFailureRate = 0.75
)

// retryAfter returns when the caller should retry. After a random decline by a back end with a free
// slot it returns minGateRetry. Otherwise it is a fraction of the time left, or the link wait that a gate
// reported, or the time until a named limit has room.
func (g *gatedCall) retryAfter(now time.Duration) time.Duration {
	if g.lastReason == exchange.ReasonDeclined && g.service.pool.MeanFailureRate(now) <= maxRandomFailureRate {
		return minGateRetry
	}
	left := g.deadline - now
	allowed := left / gateRetryDivisor
	switch {
	case g.lastReason == exchange.ReasonCold:
		allowed = g.retryAfterCold(left)
	case g.lastReason == exchange.ReasonLimit:
		return g.retryAfterLimit(left)
	case g.lastReason == exchange.ReasonLink && g.largeResponse() && g.linkWait > 0:
		allowed = min(allowed, g.linkWait)
	}
	return max(minGateRetry, min(maxGateRetry, allowed))
}
