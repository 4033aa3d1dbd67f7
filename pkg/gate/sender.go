package gate

import (
	"net/http"

	"bramblelift/pkg/exchange"
)

// Sender returns what calls that leave the node say of the back end beside it, empty while that
// has no free slot or is cold: nodes hear of such back ends often enough, by asking them.
func (g *Gate) Sender() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	free := g.present && !g.stopping && g.closing.reason == "" && g.running < g.backend.Capacity && len(g.queue) == 0 &&
		g.cold.remaining(now) == 0 && g.refusesVersion(now) == ""
	if !free {
		return ""
	}
	return exchange.Sender{ID: g.backend.ID, Report: g.report()}.String()
}

// hearSender takes in what a call says of the back end beside its sender.
func (g *Gate) hearSender(header http.Header) {
	if g.config.OnSender == nil {
		return
	}
	if sender, ok := exchange.ParseSender(header.Get(exchange.HeaderSender)); ok {
		g.config.OnSender(header.Get(g.config.Headers.Caller), sender)
	}
}
