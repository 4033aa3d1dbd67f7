package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/link"
	"bramblelift/pkg/roundtrip"
	"bramblelift/pkg/wire"
)

// Parameters of the connections to gates.
const (
	gateDialTimeout = 300 * time.Millisecond
	gateIdleTimeout = 20 * time.Second
	// gateExpectTimeout is longer than any wait at a gate: a large body is sent only after the gate
	// has admitted the call.
	gateExpectTimeout = time.Minute
	gateConnections   = 256
	// gateBuffer is the size in bytes of the read and write buffers of each connection. It is small
	// because there are hundreds of connections.
	gateBuffer = 2 << 10
	// gateHeadBytes is how much a gate may add to the head of a back end's response.
	gateHeadBytes = 4 << 10
	// earlyDivisor divides the target latency to get the time within which a rejection leaves the
	// caller time to retry.
	earlyDivisor = 5
)

func newGateTransport(meter *link.Meter) *roundtrip.Transport {
	dialer := net.Dialer{
		Timeout: gateDialTimeout, Control: wire.SetUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return roundtrip.New(&http.Transport{
		DialContext: meter.Dialer(link.Nodes, dialer.DialContext), DisableCompression: true,
		MaxIdleConnsPerHost: gateConnections, IdleConnTimeout: gateIdleTimeout,
		ExpectContinueTimeout: gateExpectTimeout,
		ReadBufferSize:        gateBuffer, WriteBufferSize: gateBuffer,
		MaxResponseHeaderBytes: roundtrip.MaxHeadBytes + gateHeadBytes,
	})
}

// gateFailure describes an attempt that returned no response of the back end.
type gateFailure struct {
	reason  exchange.Reason
	outcome Outcome
	peer    string
	err     error
	// rejected is set if the gate itself responded, with its report.
	rejected bool
	report   exchange.Report
}

func (f *gateFailure) step() string {
	if f.reason.Reached() {
		return "exchange with back end"
	}
	return "gate"
}

func (f *gateFailure) text() string {
	if f.err != nil {
		return fmt.Sprintf("%s at %s: %v", f.reason, f.peer, f.err)
	}
	return fmt.Sprintf("%s at %s", f.reason, f.peer)
}

// sendToGate sends the call to a gate.
func (g *gatedCall) sendToGate(ctx context.Context, ticket *balancer.Ticket, wait time.Duration) (*http.Response, *gateFailure) {
	request := g.outgoingGateRequest(ticket, wait)
	if g.isOwnGate(ticket) && g.handler.config.Gate != nil {
		return g.readGateResponse(ticket, g.handler.config.Gate(request.WithContext(ctx), g.body), &roundtrip.Delivery{})
	}
	g.requestHeldTime(ticket, request)
	sent := g.now()
	var delivery roundtrip.Delivery
	if g.body.Size() <= largeBodyBytes { // larger ones are paced
		delivery.Rewind = g.body.Rewind()
	}
	response, err := g.handler.gates.Send(ctx, request, &delivery)
	switch {
	case err == nil:
		g.recordRegionDelay(ticket, sent, response.Header)
		return g.readGateResponse(ticket, response, &delivery)
	case delivery.MayHaveArrived():
		return nil, g.brokenExchange(ticket, err)
	case delivery.RejectedByRetired():
		return nil, &gateFailure{reason: exchange.ReasonRetired, outcome: NotRun, peer: ticket.Address, err: err}
	}
	return nil, &gateFailure{reason: exchange.ReasonUnreachable, outcome: NotRun, peer: ticket.Address, err: err}
}

// brokenExchange returns the failure of an attempt that may have run, and reports an invalid response.
func (g *gatedCall) brokenExchange(ticket *balancer.Ticket, err error) *gateFailure {
	g.reportInvalid(ticket, err)
	return &gateFailure{reason: exchange.ReasonBroken, outcome: Unknown, peer: ticket.Address, err: err}
}

// reportInvalid reports an invalid response of another node's gate, except one that the caller did not wait for. The own
// gate reports for itself.
func (g *gatedCall) reportInvalid(ticket *balancer.Ticket, err error) {
	if !g.isOwnGate(ticket) {
		g.call.reportInvalid(ticket, err)
	}
}

// reportInvalid reports an invalid response, except one that the caller did not wait for.
func (c *call) reportInvalid(ticket *balancer.Ticket, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	id := c.request.Header.Get(c.handler.config.Headers.RequestID)
	roundtrip.Verdict{Reader: roundtrip.ReaderNode, RequestID: id, Instance: ticket.ID}.Report(c.handler.config.OnInvalidResponse, err)
}

// readGateResponse distinguishes a back end's response from a gate's rejection, and checks that the
// response is complete and belongs to this call.
func (g *gatedCall) readGateResponse(ticket *balancer.Ticket, response *http.Response, delivery *roundtrip.Delivery) (*http.Response, *gateFailure) {
	report, reported := exchange.ReadReport(response.Header)
	if reported {
		ticket.UpdateGateReport(g.now(), report)
	}
	if response.Header.Get(exchange.HeaderOutcome) != "" {
		return nil, g.readGateRejection(ticket, response, report)
	}
	name := g.handler.config.Headers.RequestID
	if err := roundtrip.CheckID(response, name, g.request.Header.Get(name), delivery); err != nil {
		return nil, g.brokenExchange(ticket, err)
	}
	data, rest, release, err := g.handler.config.ResponseBuffer.ReadWhole(response)
	if err != nil {
		response.Body.Close()
		return nil, g.brokenExchange(ticket, err)
	}
	if response.StatusCode != http.StatusMisdirectedRequest {
		g.recordStatement(ticket, response.Header, reported && !report.Limit.Named)
	}
	if rest == nil && response.ContentLength < 0 {
		response.ContentLength = int64(len(data))
	}
	response.Body = newBufferedBody(data, rest, response.Body, release)
	return response, nil
}

// readGateRejection reads a gate's rejection. One that does not state that the call has not run counts as a broken exchange,
// whatever its reason: a gate of a later release may name one that this release does not know.
func (g *gatedCall) readGateRejection(ticket *balancer.Ticket, response *http.Response, report exchange.Report) *gateFailure {
	defer response.Body.Close()
	if _, err := roundtrip.ReadAll(response, maxDeclineBytes); err != nil {
		return g.brokenExchange(ticket, err)
	}
	failure := &gateFailure{
		reason: exchange.Reason(response.Header.Get(exchange.HeaderReason)), outcome: Outcome(response.Header.Get(exchange.HeaderOutcome)),
		peer: ticket.Address, rejected: true, report: report,
	}
	if failure.outcome != NotRun && !failure.reason.Reached() {
		failure.reason = exchange.ReasonBroken
	}
	return failure
}

// recordStatement records what the back end states about itself in a response; unlimited is set if its gate reports that it
// names no limit. The response to a misdirected call is that of another back end at the same address.
func (g *gatedCall) recordStatement(ticket *balancer.Ticket, header http.Header, unlimited bool) {
	if unlimited {
		ticket.RecordNoLimit()
	}
	if exchange.ReadStatement(header, nil, g.handler.config.Headers.Leaving).Leaving {
		ticket.MarkLeaving()
	}
}

// outgoingGateRequest builds the request for a gate.
func (g *gatedCall) outgoingGateRequest(ticket *balancer.Ticket, wait time.Duration) *http.Request {
	incoming := g.request
	headers := g.handler.config.Headers
	request := exchange.NewOutgoing(incoming, ticket.Address)
	id := incoming.Header[http.CanonicalHeaderKey(headers.RequestID)]
	if headers.RequestID != "" && id != nil {
		request.Header[http.CanonicalHeaderKey(headers.RequestID)] = id
	}
	exchange.SetMillis(request.Header, headers.Deadline, max(time.Millisecond, g.deadline-g.now()))
	request.Header.Set(headers.ExpectedInstance, ticket.ID)
	request.Header.Set(headers.Caller, g.handler.config.Service)
	g.setTenantHeader(request.Header)
	request.Header.Set(exchange.HeaderPriority, strconv.Itoa(g.rank()))
	exchange.SetMillis(request.Header, exchange.HeaderWait, wait)
	if !g.isOwnGate(ticket) {
		request.Header.Set(exchange.HeaderSent, exchange.Sent{Process: g.handler.clockID, At: g.now()}.String())
	}
	if known, named := ticket.KnownLimit(); named {
		request.Header.Set(exchange.HeaderKnownLimit, known.String())
	}
	if target := g.route.TargetLatency; target > 0 {
		exchange.SetMillis(request.Header, exchange.HeaderTarget, g.targetLeft(g.now()))
		exchange.SetMillis(request.Header, exchange.HeaderEarlyRefusal, target/earlyDivisor-(g.now()-g.firstAttemptAt))
	}
	request.Header.Set(exchange.HeaderExpectedWork, strconv.FormatInt(g.serviceTime.Microseconds(), 10))
	if g.largeResponse() {
		request.Header.Set(exchange.HeaderExpectedResponse, strconv.Itoa(g.responseBytes))
	}
	if g.attempts > 0 {
		request.Header.Set(exchange.HeaderRetry, "1")
	}
	if sender := g.senderReport(ticket); sender != "" {
		request.Header.Set(exchange.HeaderSender, sender)
	}
	g.setRolloutHeaders(request.Header, ticket)
	g.body.Attach(request, incoming.ContentLength)
	if g.body.Size() > largeBodyBytes {
		request.Header.Set("Expect", "100-continue")
		if !g.isOwnGate(ticket) {
			request.Body = g.handler.config.Pacer.Body(request.Body, g.body.Size(), g.bodyTransferTime())
		}
	}
	if g.body.Empty() && g.repeatable {
		request.Body, request.ContentLength = nil, 0
	}
	return request
}

// senderReport returns the load report of the back end beside the node that is sent with the call,
// empty for none. It is sent only while the link is busy.
func (g *gatedCall) senderReport(ticket *balancer.Ticket) string {
	if g.handler.config.SenderReport == nil || !g.linkBusy || g.isOwnGate(ticket) {
		return ""
	}
	return g.handler.config.SenderReport()
}
