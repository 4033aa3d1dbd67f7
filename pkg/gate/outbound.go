package gate

import (
	"io"
	"net/http"
	"sync"
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
	// minReportedLinkWait is the shortest wait for the link that reports mention: about as long as one
	// large answer takes.
	minReportedLinkWait = 50 * time.Millisecond
	// answerTimeDivisor divides the time until the caller's deadline: a large answer may take that long on
	// its way if the target latency leaves less.
	answerTimeDivisor = 3
)

// bookAnswer gives a call's answer its time on the link if it is expected to be large, false if that
// would be too late.
func (g *Gate) bookAnswer(r request) (booked time.Duration, inTime bool) {
	if r.answer == 0 || g.outbound == nil {
		return 0, true
	}
	now := g.config.Now()
	booked = g.outbound.takes(now, r.answer)
	_, inTime = g.outbound.book(now, booked, g.answerPatience(r))
	return booked, inTime
}

// answerPatience is for how long a large answer may wait for the link: the caller must still have it
// in time. One that is late already only takes what nobody else wants.
func (g *Gate) answerPatience(r request) time.Duration {
	if g.outbound == nil || r.late {
		return bodySlack
	}
	now := g.config.Now()
	left := (r.deadline - now) / 2
	if r.targeted {
		left = r.targetLeft
	}
	work := time.Duration(workMargin * float64(max(r.work, g.expectedWork())))
	return max(bodySlack, left-work-g.outbound.takes(now, r.answer))
}

// settleAnswer puts right what was booked for an answer once it is known, or known that there is none.
func (g *Gate) settleAnswer(method string, r request, booked time.Duration, response *http.Response) {
	if g.outbound == nil {
		return
	}
	now := g.config.Now()
	size := response.ContentLength
	switch {
	case method == http.MethodHead || response.Header.Get(exchange.HeaderOutcome) != "":
		g.outbound.amend(now, -booked)
	case size >= exchange.LargeAnswer:
		// Its caller waits for it no longer than the call has time.
		takes := min(g.outbound.takes(now, size), max(0, r.deadline-now))
		ends := g.outbound.amend(now, takes-booked)
		response.Body = &bookedBody{ReadCloser: response.Body, gate: g, left: size, size: size, takes: takes, ends: ends}
	case size >= 0 && booked > 0:
		g.outbound.amend(now, g.outbound.takes(now, size)-booked)
	}
}

// bookedBody is a large answer that has its time on the link. What of it is not read by its end leaves
// what remains of its time to others.
type bookedBody struct {
	io.ReadCloser
	gate       *Gate
	left, size int64
	// takes is how long it was booked for, ends when that is over.
	takes, ends time.Duration
	closed      sync.Once
}

// Read implements io.Reader.
func (b *bookedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *bookedBody) Close() error {
	b.closed.Do(b.giveBack)
	return b.ReadCloser.Close()
}

func (b *bookedBody) giveBack() {
	now := b.gate.config.Now()
	unused := time.Duration(float64(b.takes) * float64(b.left) / float64(b.size))
	if unused = min(unused, b.ends-now); unused > 0 {
		b.gate.outbound.amend(now, -unused)
	}
}

// reportedLinkWait is what reports say of the wait for the link, zero if it is short.
func (g *Gate) reportedLinkWait() time.Duration {
	if wait := g.outbound.wait(g.config.Now()); wait >= minReportedLinkWait {
		return wait
	}
	return 0
}

// paceAnswer spreads a large answer over time on its way to another node; held is for how long its call
// has been here.
func (g *Gate) paceAnswer(r *http.Request, response *http.Response, held time.Duration) {
	if response.ContentLength < exchange.LargeAnswer {
		return
	}
	paced := g.config.Answers.Answer(response.Body, int(response.ContentLength), g.answerTime(r, held))
	response.Body = g.config.Link.Answer(paced, true)
}

// answerTime is how long a large answer may take on its way to another node.
func (g *Gate) answerTime(r *http.Request, held time.Duration) time.Duration {
	// At 0 the deadline is read as the time that was left when the call came.
	wanted := g.read(r.Header, 0)
	return max(0, wanted.targetLeft-held, (wanted.deadline-held)/answerTimeDivisor)
}
