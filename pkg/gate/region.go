package gate

import (
	"net/http"
	"strconv"
	"time"

	"bramblelift/pkg/exchange"
)

// servedHere reports whether the back end's region may serve a call. Callers' nodes know it, too; the gate
// asks by its own configuration before a body comes, and once more after the call has waited.
func (g *Gate) servedHere(r *http.Request) bool {
	return g.config.ServedHere == nil || g.config.ServedHere(r)
}

// tellHeld says how long a call was held here, if its sender asks.
func (g *Gate) tellHeld(sent, answer http.Header, arrived time.Duration) {
	if sent.Get(exchange.HeaderTellHeld) == "" {
		return
	}
	answer.Set(exchange.HeaderHeld, strconv.FormatInt((g.config.Now()-arrived).Microseconds(), 10))
}
