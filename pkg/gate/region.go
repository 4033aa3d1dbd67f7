package gate

import (
	"net/http"
	"strconv"
	"time"

	"bramblelift/pkg/exchange"
)

// regionServes reports whether the back end's region may serve a call. Callers' nodes check too; the
// gate checks its own configuration before it receives a body, and again after the call has waited.
func (g *Gate) regionServes(r *http.Request) bool {
	return g.config.RegionServes == nil || g.config.RegionServes(r)
}

// setHeldTime adds the time that a call spent at the gate to the response, if the sender asks for
// it.
func (g *Gate) setHeldTime(sent, response http.Header, arrived time.Duration) {
	if sent.Get(exchange.HeaderRequestHeld) == "" {
		return
	}
	response.Set(exchange.HeaderHeld, strconv.FormatInt((g.config.Now()-arrived).Microseconds(), 10))
}
