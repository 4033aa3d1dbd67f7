package forward

import (
	"time"

	"bramblelift/pkg/exchange"
)

// When a caller whose call has not run is told to try again (Retry-After).
const (
	// gateRetryDivisor divides the time left: after that part of it a refused call should be tried again.
	gateRetryDivisor = 3
	minGateRetry     = 20 * time.Millisecond
	maxGateRetry     = 2 * time.Second
	// maxChanceFailing is up to which share of calls that back ends fail a decline is taken for
	// chance: another try will likely do.
	maxChanceFailing = 0.75
)

// retryAfter is in how long the caller should try again. A back end that had a free slot and declined all the
// same does so with some calls and not with others: the next try is as good now as later, and later
// is late. Where there is no room, it takes a while until there is; gates tell for how long their links
// are taken.
func (g *gatedCall) retryAfter(now time.Duration) time.Duration {
	if g.last == exchange.ReasonDeclined && g.service.pool.MeanFailing(now) <= maxChanceFailing {
		return minGateRetry
	}
	left := g.deadline - now
	allowed := left / gateRetryDivisor
	switch {
	case g.last == exchange.ReasonCold:
		allowed = g.retryAfterCold(left)
	case g.last == exchange.ReasonLink && g.largeAnswer() && g.linkWait > 0:
		allowed = min(allowed, g.linkWait)
	}
	return max(minGateRetry, min(maxGateRetry, allowed))
}
