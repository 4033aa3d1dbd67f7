// Package gate implements admission control in front of the back end beside a node. All calls pass
// the gate, which queues them and can state that a rejected call has not run. A back end is cold
// for a while after its start, when it sustains only a low rate of calls. The gate also rejects
// calls by operators' orders: evacuations of zones and rollouts of versions. They are part of the
// node's state, the configuration and endpoint data that the control plane distributes.
package gate

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/eligibility"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/limit"
	"bramblelift/pkg/link"
	"bramblelift/pkg/quarantine"
	"bramblelift/pkg/roundtrip"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/wire"
)

// Limits of connections and bodies.
const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 4 * time.Second
	// connBufferBytes is the size of each connection's read buffer and of its write buffer.
	connBufferBytes = 2 << 10
	// crashCheckTimeout bounds the check whether the back end still listens after an exchange
	// failed. The back end runs on the same machine, so a connection succeeds or fails at once.
	crashCheckTimeout = 50 * time.Millisecond
	// largeBodyBytes is the body size from which a body is received before the call gets a slot.
	largeBodyBytes = 16 << 10
	// exchangeGrace is how long after its deadline an exchange ends that its caller has not ended.
	exchangeGrace = 100 * time.Millisecond
	// receivedWaitDivisor divides the time until the deadline to get how long a call whose large
	// body was received may wait for a slot.
	receivedWaitDivisor = 3
)

// Config configures a Gate. All fields except Headers and Now are optional.
type Config struct {
	Headers settings.Headers
	// Now returns the time on the process's monotonic clock.
	Now func() time.Duration
	// OnCall is called with the result of each call.
	OnCall func(Call)
	// Dial, if set, opens the connections to the back end, in place of TCP.
	Dial link.DialFunc
	// Link measures the traffic on the machine's link and knows its capacity; nil means an
	// unlimited link.
	Link *link.Meter
	// ResponsePacer paces large responses.
	ResponsePacer *exchange.Pacer
	// ResponseBuffer limits the memory for buffered large responses.
	ResponseBuffer *exchange.ResponseBuffer
	// Quarantine matches requests that must not reach the back end; nil matches none.
	Quarantine *quarantine.Filter
	// OnCrash is called when the back end crashes during a call, OnSuspectResponse when it responds to a
	// watched request.
	OnCrash           func(quarantine.End)
	OnSuspectResponse func(quarantine.Answer)
	// RegionServes reports whether the back end's region may serve a call; nil allows all.
	RegionServes func(*http.Request) bool
	// OnSender is called with the load of the back end beside a call's sender, and with that back
	// end's service.
	OnSender func(service string, sender exchange.Sender)
	// ConfirmedAt returns the time up to which the node's state is known to be current, and false
	// if it was never confirmed. Without it, the gate admits no calls to the new version of a
	// rollout.
	ConfirmedAt func() (time.Duration, bool)
	// CallsEndBy returns when the calls of a stopping process must have ended, zero if it does not stop. Calls with a
	// later deadline are rejected.
	CallsEndBy func() time.Duration
	// OnClosing is called when orders close the gate, when its running calls have finished and when
	// it opens again. It is called with the gate locked and must not call the gate.
	OnClosing func(ClosingChange)
	// OnCold is called with the gate locked when the back end turns cold or warm, OnColdProbeFailed
	// when a probe of its health path failed.
	OnCold            func(ColdChange)
	OnColdProbeFailed func(backend string, err error)
	// OnLimit is called with the gate locked when the limit that the back end names changes.
	OnLimit func(LimitChange)
	// OnInvalidResponse is called when the back end sent bytes that are not a response to a call or a probe.
	OnInvalidResponse func(roundtrip.Verdict)
	// OnLeaving is called when the back end first states in a response that it accepts no new calls.
	OnLeaving func(id string, incarnation uint64)
}

// Call describes a finished call for logs and metrics.
type Call struct {
	RequestID string
	// Priority is the call's priority; 0 is the highest.
	Priority int
	// Reason is why there is no response of the back end, empty if there is one.
	Reason exchange.Reason
	Err    error
	Status int
	// TransitDelay is how much longer the call took to arrive than the fastest recent call of its
	// sender.
	TransitDelay time.Duration
	Waited       time.Duration
	Service      time.Duration
	Report       exchange.Report
	Backend      string
	// Fingerprint identifies a quarantined request, or one whose back end crashed.
	Fingerprint quarantine.Fingerprint
	// Watched is set if the request was a known suspect when the call was admitted.
	Watched bool
}

// Gate admits calls and forwards them to the back end. It is safe for concurrent use, and
// implements http.Handler for the calls of other nodes.
type Gate struct {
	config    Config
	transport *roundtrip.Transport
	// probeTransport opens a connection for each probe of the health path, whose response names no request.
	probeTransport *roundtrip.Transport
	// inbound schedules large request bodies on the link, outbound large responses.
	inbound, outbound *linkScheduler
	// transit measures how long calls took to arrive.
	transit transitTracker

	mu      sync.Mutex
	backend Backend
	present bool
	// saidLeaving is set once the back end has stated that it accepts no new calls.
	saidLeaving bool
	// departedID is the ID of the last back end that was removed or replaced.
	departedID string
	// generation increases with each back end; slots of earlier generations no longer count.
	generation uint64
	stopping   bool
	// rules are the eligibility rules from the node's state, nil before it has any.
	rules   *eligibility.Rules
	closed  closedState
	running int
	// retries counts the running calls that another back end received before.
	retries int
	// receiving counts the calls whose bodies are being received before admission.
	receiving        int
	queue            waitQueue
	serviceTime      time.Duration
	slowdown         slowdown
	health           health
	unreachableUntil time.Duration
	rollout          rolloutState
	// rolloutActive is set while a rollout of the back end's service is running.
	rolloutActive atomic.Bool
	cold          coldState
	limit         limit.Limiter
	urgent        limit.Urgent
	// invalidLimit is the latest named limit if it could not be read, empty otherwise.
	invalidLimit string
	// reportedCold is the state that was last passed to OnCold.
	reportedCold bool
	// dispatchTimer calls dispatch at dispatchDue, nil if none is scheduled.
	dispatchTimer *time.Timer
	dispatchDue   time.Duration
}

// New returns a gate without a back end.
func New(config Config) *Gate {
	dial := config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, Control: wire.SetUserTimeout}).DialContext
	}
	capacity := config.Link.Capacity()
	return &Gate{config: config, inbound: newLinkScheduler(capacity, inboundShare, inboundUsableShare, config.Link.UnscheduledRate),
		outbound: newLinkScheduler(capacity, largeResponseShare, outboundUsableShare, config.Link.UnreservedRate), transport: roundtrip.New(&http.Transport{
			DialContext: dial, DisableCompression: true,
			MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout,
			ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes,
		}), probeTransport: roundtrip.New(&http.Transport{DialContext: dial, DisableCompression: true, DisableKeepAlives: true})}
}

const maxIdleConnections = 64

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.reportSender(r.Header)
	arrived := g.config.Now()
	response := g.serve(r)
	g.setHeldTime(r.Header, response.Header, arrived)
	g.paceResponse(r, response, g.config.Now()-arrived)
	defer response.Body.Close()
	exchange.Copy(w.Header(), response.Header)
	w.WriteHeader(response.StatusCode)
	if err := exchange.CopyBody(w, response); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// serve handles a call from another node.
func (g *Gate) serve(r *http.Request) *http.Response {
	if !g.regionServes(r) {
		call := Call{RequestID: r.Header.Get(g.config.Headers.RequestID), Reason: exchange.ReasonRegion}
		return g.reject(&call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	if r.ContentLength >= largeBodyBytes {
		return g.receiveBodyFirst(r)
	}
	return g.do(r, func(request *http.Request) (*exchange.Body, error) {
		body, err := exchange.ReadBody(r)
		if err == nil {
			body.Attach(request, r.ContentLength)
		}
		return body, err
	})
}

// receiveBodyFirst receives a large body before the call gets a slot, so that the slot is not idle
// during the transfer. A sender that uses Expect: 100-continue does not send the body of a rejected
// call.
func (g *Gate) receiveBodyFirst(r *http.Request) *http.Response {
	arrived := g.config.Now()
	req := g.readArrival(r.Header, arrived)
	call := Call{RequestID: r.Header.Get(g.config.Headers.RequestID), Priority: req.priority, TransitDelay: req.transitDelay, Reason: g.startReceiving(req)}
	if call.Reason != "" {
		return g.reject(&call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	due, inTime := g.inbound.reserve(arrived, r.ContentLength, g.maxBodyLinkWait(req, r.ContentLength))
	if !inTime {
		g.finishReceiving()
		call.Reason = exchange.ReasonLink
		return g.reject(&call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	g.awaitLink(r.Context(), due)
	body, err := exchange.ReadBody(r)
	g.finishReceiving()
	if err != nil {
		call.Reason, call.Err = exchange.ReasonBroken, err
		return g.reject(&call, http.StatusBadGateway, exchange.NotRun)
	}
	g.config.Link.ScheduledBodyReceived(r.ContentLength)
	// The body is already here: waiting for a slot is cheaper than sending it to another back end.
	req.wait = max(req.wait, (req.deadline-g.config.Now())/receivedWaitDivisor)
	req.earlyWait = max(req.earlyWait, req.wait)
	return g.admitAndSend(r, req, func(request *http.Request) (*exchange.Body, error) {
		body.Attach(request, r.ContentLength)
		return body, nil
	})
}

// awaitLink waits until a body may be transferred. If the caller disconnects, reading the body
// returns the error.
func (g *Gate) awaitLink(ctx context.Context, due time.Duration) {
	wait := due - g.config.Now()
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Do forwards a call of the node itself, with r.Body as its body, to the back end. It returns the
// back end's response, or a rejection by the gate, which is marked by HeaderOutcome.
func (g *Gate) Do(r *http.Request, body *exchange.Body) *http.Response {
	return g.do(r, func(request *http.Request) (*exchange.Body, error) {
		request.Body, request.ContentLength = r.Body, r.ContentLength
		return body, nil
	})
}

// attachBody sets the body of the request to the back end and returns its buffered part.
type attachBody func(*http.Request) (*exchange.Body, error)

// do implements Do with a function that provides the body.
func (g *Gate) do(r *http.Request, attach attachBody) *http.Response {
	return g.admitAndSend(r, g.readArrival(r.Header, g.config.Now()), attach)
}

// admitAndSend waits for a slot and forwards the call, or returns a rejection. It rejects the call
// if its large response could not be sent in time.
func (g *Gate) admitAndSend(r *http.Request, req request, attach attachBody) *http.Response {
	call := Call{RequestID: r.Header.Get(g.config.Headers.RequestID), Priority: req.priority, TransitDelay: req.transitDelay}
	reserved, inTime := g.reserveResponse(req)
	if !inTime {
		call.Reason = exchange.ReasonLink
		return g.reject(&call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	response := g.sendReserved(r, req, attach, &call)
	g.settleResponse(r.Method, req, reserved, response)
	return response
}

// sendReserved waits for a slot and forwards a call whose response has its link reservation, if any.
func (g *Gate) sendReserved(r *http.Request, req request, attach attachBody, call *Call) *http.Response {
	arrived := g.config.Now()
	adm, reason := g.admit(r.Context(), req)
	call.Reason, call.Waited = reason, g.config.Now()-arrived
	if reason != "" {
		return g.reject(call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	call.Backend = adm.backend.ID
	return g.send(r, attach, adm, req, call)
}

// readRequest reads a call's properties from its headers, which give times relative to now.
func (g *Gate) readRequest(header http.Header, now time.Duration) request {
	req := request{instance: header.Get(g.config.Headers.ExpectedInstance), deadline: now + time.Hour}
	if left, set := exchange.ReadMillis(header, g.config.Headers.Deadline); set {
		req.deadline = now + left
	}
	req.wait, _ = exchange.ReadMillis(header, exchange.HeaderWait)
	req.earlyWait = req.wait
	if early, set := exchange.ReadMillis(header, exchange.HeaderEarlyRefusal); set {
		req.earlyWait = early
	}
	req.work, _ = exchange.ReadMicros(header, exchange.HeaderExpectedWork)
	req.targetLeft, req.targeted = exchange.ReadMillis(header, exchange.HeaderTarget)
	if size, err := strconv.ParseInt(header.Get(exchange.HeaderExpectedResponse), 10, 64); err == nil && size > 0 {
		req.expectedResponse = size
	}
	req.knownLimit, req.knowsLimit = exchange.ParseKnownLimit(header.Get(exchange.HeaderKnownLimit))
	req.hint.target = header.Get(exchange.HeaderRollout)
	req.hint.retry = header.Get(exchange.HeaderRetry) != ""
	if g.rolloutActive.Load() {
		req.hint.route = header.Get(exchange.HeaderRoute)
	}
	req.setLateness(now, g.adjustedWork(req.work))
	req.priority, _ = strconv.Atoi(header.Get(exchange.HeaderPriority))
	return req
}

// send exchanges the call with the back end and releases the slot.
func (g *Gate) send(r *http.Request, attach attachBody, adm admission, req request, call *Call) *http.Response {
	var delivery roundtrip.Delivery
	ctx, cancel := g.exchangeContext(r.Context(), req)
	outgoing := g.outgoing(r, adm, req)
	body, err := attach(outgoing)
	if err != nil {
		// The caller's body is at fault, not the back end.
		cancel()
		g.releaseUnsent(adm)
		call.Reason, call.Err = exchange.ReasonBroken, err
		return g.reject(call, http.StatusBadGateway, exchange.NotRun)
	}
	if !g.regionServes(r) {
		cancel()
		g.releaseUnsent(adm)
		call.Reason = exchange.ReasonRegion
		return g.reject(call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	if g.quarantined(r, body, adm, call) {
		cancel()
		g.releaseUnsent(adm)
		return g.reject(call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	if outgoing.ContentLength == int64(body.Size()) {
		delivery.Rewind = body.Rewind()
	}
	response, err := g.transport.Send(ctx, outgoing, &delivery)
	g.chargeResends(adm, delivery.Resends())
	if err != nil && delivery.RejectedByRetired() {
		cancel()
		g.releaseUnsent(adm)
		call.Reason, call.Err = exchange.ReasonRetired, err
		return g.reject(call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	outcome := exchange.Unknown
	if err == nil {
		outcome, err = g.checkResponse(r.Header, response, &delivery)
	}
	if err == nil {
		err = g.bufferResponse(response)
	}
	if err == nil {
		g.recordStatement(adm, response)
	}
	if err == nil && g.declined(response) {
		response.Body.Close()
		delivery.CloseRetired()
		cancel()
		// The gate stays within the back end's capacity, so declining counts as a failure.
		g.release(adm, callResult{failed: true})
		call.Reason, call.Status = exchange.ReasonDeclined, response.StatusCode
		if outcome != exchange.NotRun {
			return g.reject(call, http.StatusBadGateway, outcome)
		}
		return g.reject(call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	call.Service = g.config.Now() - adm.admittedAt
	if err != nil {
		ended := ctx.Err() != nil
		cancel()
		g.reportInvalid(call, req, err)
		if delivery.MayHaveArrived() && !ended && exchange.BackendCrashed(r.Context(), adm.backend.Address, err, crashCheckTimeout) {
			g.reportCrash(r, body, adm, call)
		}
		return g.failed(call, adm, delivery.MayHaveArrived(), ended, req.deadline, err)
	}
	g.reportResponse(r, body, adm, response.StatusCode)
	return g.respond(ctx, response, adm, req, call, cancel)
}

// respond returns the back end's response to the caller. A streamed response keeps its slot until
// its body is closed or the context of its exchange ends: its caller may not read it.
func (g *Gate) respond(ctx context.Context, response *http.Response, adm admission, req request, call *Call, cancel context.CancelFunc) *http.Response {
	call.Status = response.StatusCode
	var broken atomic.Bool
	finish := sync.OnceFunc(func() {
		cancel()
		if exchange.ServerFailed(call.Status) || broken.Load() {
			// The duration of a failed call is not representative of the service time.
			g.release(adm, callResult{failed: true})
			return
		}
		g.release(adm, callResult{serviceTime: call.Service})
	})
	exchange.RemoveHop(response.Header)
	exchange.RemoveInternal(response.Header)
	if _, buffered := response.Body.(bufferedBody); buffered {
		finish()
	} else {
		stop := context.AfterFunc(ctx, finish)
		response.Body = &notifyingBody{ReadCloser: response.Body, onClose: func() {
			stop()
			finish()
		}, onError: func(err error) {
			g.reportInvalid(call, req, err)
			broken.Store(roundtrip.FaultOf(err) == roundtrip.FaultBody)
		}}
	}
	call.Report = g.reportFor(call.Priority)
	call.Report.Set(response.Header)
	response.Header.Set(exchange.HeaderWork, strconv.FormatInt(call.Service.Microseconds(), 10))
	g.notifyCall(call)
	return response
}

// failed classifies an error; ended is set if the call ended first. The back end certainly has not run the call only if
// nothing was sent.
func (g *Gate) failed(call *Call, adm admission, sent, ended bool, deadline time.Duration, err error) *http.Response {
	call.Err = err
	if !sent {
		g.releaseUnsent(adm)
		call.Reason = exchange.ReasonUnreachable
		if !ended {
			g.markUnreachable(adm)
		}
		return g.reject(call, http.StatusServiceUnavailable, exchange.NotRun)
	}
	backendAtFault := !ended || g.hung(adm, deadline)
	g.release(adm, callResult{failed: backendAtFault})
	if backendAtFault {
		g.assumeColdAfterFailure(adm)
	}
	if call.Reason == "" {
		call.Reason = exchange.ReasonBroken
	}
	return g.reject(call, http.StatusBadGateway, exchange.Unknown)
}

// exchangeContext returns the context of an exchange with the back end. It ends shortly after the call's deadline, also
// if the caller's connection stays open, so that a back end that falls silent doesn't keep its slot.
func (g *Gate) exchangeContext(ctx context.Context, req request) (context.Context, context.CancelFunc) {
	left := req.deadline + req.transitDelay - g.config.Now()
	return context.WithTimeout(ctx, max(0, left)+exchangeGrace)
}

// outgoing returns the request to the back end, with the time left until the deadline.
func (g *Gate) outgoing(r *http.Request, adm admission, req request) *http.Request {
	request := exchange.NewOutgoing(r, adm.backend.Address)
	left := max(time.Millisecond, req.deadline-g.config.Now())
	exchange.SetMillis(request.Header, g.config.Headers.Deadline, left)
	return request
}

// reject returns a response of the gate itself.
func (g *Gate) reject(call *Call, status int, outcome exchange.Outcome) *http.Response {
	call.Report = g.reportFor(call.Priority)
	header := http.Header{}
	header.Set(exchange.HeaderOutcome, string(outcome))
	header.Set(exchange.HeaderReason, string(call.Reason))
	call.Report.Set(header)
	header.Set("Content-Length", "0")
	g.notifyCall(call)
	return &http.Response{StatusCode: status, Header: header, Body: http.NoBody, ContentLength: 0}
}

func (g *Gate) notifyCall(call *Call) {
	if g.config.OnCall != nil {
		g.config.OnCall(*call)
	}
}
