package gate

import (
	"math"
	"net/http"

	"bramblelift/pkg/exchange"
)

// SenderReport returns the load of the back end beside the node for outgoing calls to carry, empty while
// the back end has no free slot, is cold or names a limit.
func (g *Gate) SenderReport() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	free := g.present && !g.stopping && g.closed.reason == "" && g.running < g.backend.Capacity && len(g.queue) == 0 &&
		g.cold.remaining(now) == 0 && !g.limit.Limited() && g.versionRejectReason(now) == ""
	if !free {
		return ""
	}
	return exchange.Sender{ID: g.backend.ID, Report: g.report(math.MaxInt)}.String()
}

// reportSender passes the load of the back end beside a call's sender to OnSender.
func (g *Gate) reportSender(header http.Header) {
	if g.config.OnSender == nil {
		return
	}
	if sender, ok := exchange.ParseSender(header.Get(exchange.HeaderSender)); ok {
		g.config.OnSender(header.Get(g.config.Headers.Caller), sender)
	}
}
