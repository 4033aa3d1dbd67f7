package forward

import (
	"time"

	"bramblelift/pkg/exchange"
)

// When a caller whose call has not run is told to come back.
const (
	// gateRetryShare of the time left is when to come back after a refusal.
	gateRetryShare = 3
	minGateRetry   = 20 * time.Millisecond
	maxGateRetry   = 2 * time.Second
	// maxChanceFailing is up to which share of calls that back ends fail a decline is taken for
	// chance: another try will likely do.
	maxChanceFailing = 0.75
)

// comeBack is when the caller should try again. A back end that had a free slot and declined all the
// same does so with some calls and not with others: the next try is as good now as later, and later
// is late. Where there is no room, it takes a while until there is; gates tell for how long their links
// are taken.
func (g *gatedCall) comeBack(now time.Duration) time.Duration {
	if g.last == exchange.ReasonDeclined && g.service.pool.MeanFailing(now) <= maxChanceFailing {
		return minGateRetry
	}
	left := g.deadline - now
	allowed := left / gateRetryShare
	switch {
	case g.last == exchange.ReasonCold:
		allowed = g.comeBackWarm(left)
	case g.last == exchange.ReasonLink && g.largeAnswer() && g.linkWait > 0:
		allowed = min(allowed, g.linkWait)
	}
	return max(minGateRetry, min(maxGateRetry, allowed))
}
