package forward

import (
	"net/http"
	"time"

	"bramblelift/pkg/exchange"
)

// paceAnswer spreads a large answer over time on its way to the caller: calls, refusals and what control
// is told go over the same link.
func (g *gatedCall) paceAnswer(response *http.Response, booked bool) {
	if response.ContentLength < exchange.LargeAnswer {
		return
	}
	response.Body = g.handler.config.Answers.Answer(response.Body, int(response.ContentLength), g.answerTime())
	response.Body = g.handler.config.Link.Answer(response.Body, booked)
}

// answerTime is how long a large answer may take on its way to the caller.
func (g *gatedCall) answerTime() time.Duration {
	now := g.now()
	return max(g.targetLeft(now), (g.deadline-now)/bodyShare)
}
