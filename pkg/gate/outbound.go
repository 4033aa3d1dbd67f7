package gate

import (
	"net/http"
	"time"

	"bramblelift/pkg/exchange"
)

const (
	// outboundShare of the link's rate is at most for large answers. Refusals, calls, small answers
	// and what control is told leave over the same link and must not wait behind them.
	outboundShare = 0.85
	// outboundUsable of the link's rate is for all that leaves. It is more than of what comes in, since
	// the node paces what it sends.
	outboundUsable = 0.95
	// toldLinkWait is from which wait for the link on reports tell of it: about as long as one large
	// answer takes.
	toldLinkWait = 50 * time.Millisecond
	// answerTimeShare of the time that the caller leaves is what a large answer may take on its way if its
	// target latency leaves less.
	answerTimeShare = 3
)

// bookAnswer gives a call's answer its time on the link if it is expected to be large, false if that
// would be too late.
func (g *Gate) bookAnswer(r request) bool {
	if r.answer == 0 {
		return true
	}
	_, inTime := g.outbound.reserve(g.config.Now(), r.answer, g.answerPatience(r))
	return inTime
}

// answerPatience is for how long a large answer may wait for the link: the caller must still have it
// in time. One that is late already only takes what nobody else wants.
func (g *Gate) answerPatience(r request) time.Duration {
	if g.outbound == nil || r.late {
		return inboundSlack
	}
	now := g.config.Now()
	left := (r.deadline - now) / 2
	if r.targeted {
		left = r.targetLeft
	}
	work := time.Duration(inboundMargin * float64(max(r.work, g.expectedWork())))
	return max(inboundSlack, left-work-g.outbound.takes(now, r.answer))
}

// settleAnswer puts right what was booked for an answer once it is known, or known that there is none.
func (g *Gate) settleAnswer(method string, r request, response *http.Response) {
	now := g.config.Now()
	switch {
	case method == http.MethodHead || response.Header.Get(exchange.HeaderOutcome) != "":
		g.outbound.amend(now, -r.answer)
	case response.ContentLength >= 0 && (r.answer > 0 || response.ContentLength >= exchange.LargeAnswer):
		g.outbound.amend(now, response.ContentLength-r.answer)
	}
}

// toldLinkWait is what reports say of the wait for the link, zero if it is short.
func (g *Gate) toldLinkWait() time.Duration {
	if wait := g.outbound.wait(g.config.Now()); wait >= toldLinkWait {
		return wait
	}
	return 0
}

// paceAnswer spreads a large answer over time on its way to another node.
func (g *Gate) paceAnswer(r *http.Request, response *http.Response) {
	if response.ContentLength < exchange.LargeAnswer {
		return
	}
	wanted := g.read(r.Header, 0)
	within := max(wanted.targetLeft, wanted.deadline/answerTimeShare)
	response.Body = g.config.Link.Answer(g.config.Answers.Answer(response.Body, int(response.ContentLength), within), true)
}
