package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/quarantine"
)

// crashCheckTimeout bounds the check whether a back end without a gate still listens after a failed
// exchange. It allows for several round trips between regions 35 ms apart; a retry waits for the check.
const crashCheckTimeout = 250 * time.Millisecond

// quarantineRetry is the Retry-After of quarantined requests: short compared to a quarantine, long
// for a caller.
const quarantineRetry = 30 * time.Second

// matchQuarantine looks the call up in the watchlist, with the buffered part of its body.
func (c *call) matchQuarantine(body []byte) quarantine.Match {
	return c.handler.config.Quarantine.Lookup(c.request, body, c.callerAndService())
}

// callerAndService returns the pair for which responses to a suspect are tracked.
func (c *call) callerAndService() quarantine.Way {
	return quarantine.Way{Caller: c.handler.config.Service, Service: c.targetService}
}

// reportCrash reports a crash of a back end without a gate during the call. Restarts within one
// incarnation count once.
func (c *call) reportCrash(ctx context.Context, ticket *balancer.Ticket, cause error) {
	if c.handler.config.OnCrash == nil || !exchange.BackendCrashed(ctx, ticket.Address, cause, crashCheckTimeout) {
		return
	}
	c.handler.config.OnCrash(quarantine.End{
		Request: quarantine.FingerprintOf(c.request, c.body.data), Instance: quarantine.InstanceKey(ticket.ID, ticket.Incarnation), Way: c.callerAndService(),
		Watched: c.watched,
	})
}

// reportSurvival reports that a back end without a gate responded to a suspect request.
func (c *call) reportSurvival(status int) {
	if c.handler.config.OnSuspectResponse == nil || !exchange.ProvesCompletion(status) {
		return
	}
	if match := c.matchQuarantine(c.body.data); match.Standing != quarantine.Unsuspected && !match.Answered {
		c.handler.config.OnSuspectResponse(quarantine.Answer{Request: match.Request, Way: c.callerAndService()})
	}
}

// quarantineRefusal rejects a quarantined request.
func quarantineRefusal(match quarantine.Match) *Refusal {
	return &Refusal{
		Outcome: NotRun, Step: "quarantine", Reason: fmt.Sprintf("back ends ended while they had this request (fingerprint %s)", match.Request.Short()),
		Status: http.StatusServiceUnavailable, RetryAfter: quarantineRetry,
	}
}
