package gate

import (
	"io"
	"net/http"
	"sync"
	"time"

	"bramblelift/pkg/exchange"
)

const (
	// largeResponseShare is the maximum share of the link's rate for large responses, so that other
	// outbound traffic such as rejections, calls, small responses and reports to the control plane
	// is not delayed.
	largeResponseShare = 0.85
	// outboundUsableShare is the share of the link's rate that all outbound traffic may use. It exceeds
	// inboundUsableShare, since the node paces what it sends.
	outboundUsableShare = 0.95
	// minReportedLinkWait is the shortest link wait that load reports mention, about the transfer
	// time of one large response.
	minReportedLinkWait = 50 * time.Millisecond
	// transferTimeDivisor divides the time until the deadline to get the minimum time allowed for
	// the transfer of a large response, also if its target latency leaves less.
	transferTimeDivisor = 3
)

// reserveResponse reserves link time for a call whose response is expected to be large. It returns
// false if the transfer could not start in time.
func (g *Gate) reserveResponse(req request) (reserved time.Duration, inTime bool) {
	if req.expectedResponse == 0 || g.outbound == nil {
		return 0, true
	}
	now := g.config.Now()
	reserved = g.outbound.duration(now, req.expectedResponse)
	_, inTime = g.outbound.reserveFor(now, reserved, g.maxResponseLinkWait(req))
	return reserved, inTime
}

// maxResponseLinkWait returns how long a large response may wait for the link and still reach the
// caller in time. Late calls only get a link that is nearly free.
func (g *Gate) maxResponseLinkWait(req request) time.Duration {
	if g.outbound == nil || req.late {
		return linkSlack
	}
	now := g.config.Now()
	left := (req.deadline - now) / 2
	if req.targeted {
		left = req.targetLeft
	}
	work := time.Duration(workMargin * float64(max(req.work, g.expectedWork())))
	return max(linkSlack, left-work-g.outbound.duration(now, req.expectedResponse))
}

// settleResponse adjusts the reservation to the actual size of the response, or cancels it if there
// is none.
func (g *Gate) settleResponse(method string, req request, reserved time.Duration, response *http.Response) {
	if g.outbound == nil {
		return
	}
	now := g.config.Now()
	size := response.ContentLength
	switch {
	case method == http.MethodHead || response.Header.Get(exchange.HeaderOutcome) != "":
		g.outbound.adjust(now, -reserved)
	case size >= exchange.LargeResponse:
		// The transfer ends at the call's deadline at the latest.
		duration := min(g.outbound.duration(now, size), max(0, req.deadline-now))
		until := g.outbound.adjust(now, duration-reserved)
		response.Body = &reservedBody{ReadCloser: response.Body, gate: g, left: size, size: size, duration: duration, until: until}
	case size >= 0 && reserved > 0:
		g.outbound.adjust(now, g.outbound.duration(now, size)-reserved)
	}
}

// reservedBody is a large response with a link reservation. Close returns the reserved time of the
// part that was not read.
type reservedBody struct {
	io.ReadCloser
	gate       *Gate
	left, size int64
	// duration is the length of the reservation, until its end.
	duration, until time.Duration
	closeOnce       sync.Once
}

// Read implements io.Reader.
func (b *reservedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *reservedBody) Close() error {
	b.closeOnce.Do(b.returnUnused)
	return b.ReadCloser.Close()
}

func (b *reservedBody) returnUnused() {
	now := b.gate.config.Now()
	unused := time.Duration(float64(b.duration) * float64(b.left) / float64(b.size))
	if unused = min(unused, b.until-now); unused > 0 {
		b.gate.outbound.adjust(now, -unused)
	}
}

// reportedLinkWait returns the link wait for load reports, zero if it is short.
func (g *Gate) reportedLinkWait() time.Duration {
	if wait := g.outbound.wait(g.config.Now()); wait >= minReportedLinkWait {
		return wait
	}
	return 0
}

// paceResponse paces a large response to another node; held is how long the call has been at the
// gate.
func (g *Gate) paceResponse(r *http.Request, response *http.Response, held time.Duration) {
	if response.ContentLength < exchange.LargeResponse {
		return
	}
	paced := g.config.ResponsePacer.WrapResponse(response.Body, int(response.ContentLength), g.maxTransferTime(r, held))
	response.Body = g.config.Link.WrapResponse(paced, true)
}

// maxTransferTime returns how long the transfer of a large response to another node may take.
func (g *Gate) maxTransferTime(r *http.Request, held time.Duration) time.Duration {
	// With now as 0, the deadline is the time that was left when the call arrived.
	req := g.readRequest(r.Header, 0)
	return max(0, req.targetLeft-held, (req.deadline-held)/transferTimeDivisor)
}
