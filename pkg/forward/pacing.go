package forward

import (
	"net/http"
	"time"

	"bramblelift/pkg/exchange"
)

// paceResponse spreads a large response over time, since it shares the link with calls, rejections
// and control traffic.
func (g *gatedCall) paceResponse(response *http.Response, reserved bool) {
	if response.ContentLength < exchange.LargeResponse {
		return
	}
	response.Body = g.handler.config.ResponsePacer.WrapResponse(response.Body, int(response.ContentLength), g.responseTransferTime())
	response.Body = g.handler.config.Link.WrapResponse(response.Body, reserved)
}

// responseTransferTime returns how long the transfer of a large response to the caller may take.
func (g *gatedCall) responseTransferTime() time.Duration {
	now := g.now()
	return max(g.targetLeft(now), (g.deadline-now)/bodyTimeDivisor)
}
