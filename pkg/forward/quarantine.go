package forward

import (
	"fmt"
	"net/http"
	"time"

	"bramblelift/pkg/quarantine"
)

// quarantineRetry is when to come back with a request that is kept from back ends: a short time
// beside the minutes that this lasts, and a long one for a caller who waits.
const quarantineRetry = 30 * time.Second

// look returns what is known of the call with what is held of its body.
func (c *call) look(body []byte) quarantine.Match {
	return c.handler.config.Quarantine.Look(c.request, body, quarantine.Way{Caller: c.handler.config.Service, Service: c.target})
}

// quarantineRefusal refuses a request that no back end is to get.
func quarantineRefusal(match quarantine.Match) *Refusal {
	return &Refusal{
		Outcome: NotRun, Step: "quarantine", Reason: fmt.Sprintf("back ends ended while they had this request (fingerprint %s)", match.Request.Short()),
		Status: http.StatusServiceUnavailable, RetryAfter: quarantineRetry,
	}
}
