package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/wire"
)

// Bounds of calls through gates.
const (
	// freeTries is how many gates are asked for a free slot before the call waits at one.
	freeTries = 3
	// maxGateTries bounds all gates that one call is sent to.
	maxGateTries    = 8
	gateDialTimeout = 300 * time.Millisecond
	gateIdleTimeout = 20 * time.Second
	// gateExpectTimeout is longer than any wait at a gate: a large body is sent only once
	// the gate has admitted the call.
	gateExpectTimeout = time.Minute
	gateConnections   = 256
	// minServiceLeft is kept of a call's time for its work when it waits at a gate.
	minServiceLeft = 5 * time.Millisecond
	// A call waits in its own zone if it is expected to be answered within its target
	// latency all the same: localServices are the service times reserved for the work, the
	// share is the part of the rest that may be waited. It grows with what the call moves
	// beyond freeKilobytes.
	localServices         = 1.8
	minLocalShare         = 0.5
	maxLocalShare         = 0.9
	localSharePerKilobyte = 0.1
	freeKilobytes         = 2
	// A large body may wait for a share of the time that the caller leaves.
	largeBody          = 16 << 10
	localServicesLarge = 1.5
	localShareLarge    = 0.8
	// Under overload a call waits no longer than it can and still be answered within its
	// target latency: what waits longer is late, and makes those behind it late, too.
	patienceServices = 1.4
	minPatienceShare = 10
	// Calls that take less than this share of the mean at their back ends may wait longer:
	// the slots are held by longer ones, and they themselves delay hardly anybody.
	shortWorkShare = 3
	// ownWorkShare of the time in which a call should be answered may be the service time of
	// the back end beside the node for it to be preferred.
	ownWorkShare = 2
	// bodyShare of the time left is what a large body may take on its way.
	bodyShare = 3
	// Pauses for which a gate is left out.
	unreachablePause = 700 * time.Millisecond
	stoppingPause    = 1500 * time.Millisecond
	absentPause      = 400 * time.Millisecond
	downPause        = 250 * time.Millisecond
	// earlyShare of the target latency is within how much a refusal leaves the caller the
	// time to try again.
	earlyShare = 5
	// gateRetryShare of the time left is when to come back after a refusal.
	gateRetryShare = 10
	minGateRetry   = 20 * time.Millisecond
	maxGateRetry   = time.Second
)

func newGateTransport() *http.Transport {
	dialer := net.Dialer{
		Timeout: gateDialTimeout, Control: wire.SetUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: gateConnections, IdleConnTimeout: gateIdleTimeout,
		ExpectContinueTimeout: gateExpectTimeout,
	}
}

// gatedCall is a call on its way through gates.
type gatedCall struct {
	*call
	body *exchange.Body
	// done are back ends that must not get the call again, full those without a free slot.
	done  []string
	full  []string
	tries int
	// last is why the latest gate refused.
	last exchange.Reason
	// lastChance is set once the call was let wait at a gate after others were full.
	lastChance bool
	// held is a back end's failure that another attempt may yet make good, nil for none.
	held *http.Response
}

// serveThroughGates answers a call of a service whose back ends stand behind gates.
func (c *call) serveThroughGates(timeout time.Duration) *Refusal {
	body, err := exchange.ReadBody(c.request)
	if err != nil {
		return &Refusal{Outcome: NotRun, Step: "request body", Reason: err.Error(), Status: bodyStatus(err)}
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), timeout-(c.now()-c.started))
	defer cancel()
	c.service.budget.Attempt(c.started)
	g := &gatedCall{call: c, body: body}
	for {
		refusal, again := g.tryOne(ctx)
		if !again {
			return refusal
		}
	}
}

// bodyStatus is the status of a call whose body could not be read.
func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func (c *call) now() time.Duration { return c.handler.config.Now() }

// tryOne sends the call to one gate. It returns again if another should be tried, or else
// the refusal, nil if the call was answered.
func (g *gatedCall) tryOne(ctx context.Context) (refusal *Refusal, again bool) {
	now := g.now()
	if ctx.Err() != nil {
		return g.giveUp("deadline", "the time is up"), false
	}
	ticket, wait, err := g.choose(now)
	if err != nil {
		return g.giveUp("choose back end", fmt.Sprintf("service %s: %v (%s)", g.target, err, g.last)), false
	}
	g.tries++
	response, failure := g.exchange(ctx, ticket, wait)
	if failure == nil {
		g.attempts++
		if exchange.ServerFailed(response.StatusCode) && g.mayMakeGood(ctx, ticket, response) {
			g.tellAttempt(ticket, &gateFailure{reason: exchange.ReasonServerError, peer: ticket.Address}, wait, now, true)
			return nil, true
		}
		g.answer(ticket, response)
		return nil, false
	}
	g.last = failure.reason
	g.learn(ticket, failure)
	if failure.reason.Reached() {
		g.attempts++
		g.record.Note(failure.outcome)
	}
	again = g.mayGoOn(ctx, failure)
	g.tellAttempt(ticket, failure, wait, now, again)
	if again {
		return nil, true
	}
	return g.giveUp(failure.step(), failure.text()), false
}

// choose picks the next gate and how long the call may wait there: not at all while
// another may have a free slot.
func (g *gatedCall) choose(now time.Duration) (*balancer.Ticket, time.Duration, error) {
	request := balancer.GateRequest{LeftOut: g.done, Patience: g.patience(now), Repeatable: g.safe}
	if g.tries == 0 {
		request.OwnWork = g.ownWork(now)
	}
	if len(g.full) == 0 || (g.tries < maxGateTries && len(g.full) < freeTries) {
		request.LeftOut = append(append([]string(nil), g.done...), g.full...)
		request.LocalWait = g.localWait(now)
		request.AskLocal = g.body.Size() > largeBody
		ticket, wait, err := g.service.pool.AcquireGate(now, request)
		if err == nil || len(g.full) == 0 {
			return ticket, wait, err
		}
		request.LeftOut, request.LocalWait, request.AskLocal = g.done, 0, false
	}
	ticket, _, err := g.service.pool.AcquireGate(now, request)
	g.lastChance = true
	return ticket, request.Patience, err
}

// localWait is how long the call may wait in its own zone while another zone might take it
// at once: the more bytes it moves, the longer. One with a large body may become late for
// it; any other must still be answered within its target latency.
func (g *gatedCall) localWait(now time.Duration) time.Duration {
	work, answer := g.handler.work.of(g.route.Name)
	if g.body.Size() > largeBody {
		left := g.deadline - now - time.Duration(localServicesLarge*float64(work))
		return max(0, time.Duration(localShareLarge*float64(left)))
	}
	target := g.route.TargetLatency
	if target == 0 {
		return 0
	}
	kilobytes := float64(g.body.Size()+answer) / 1024
	share := min(maxLocalShare, max(minLocalShare, minLocalShare+localSharePerKilobyte*(kilobytes-freeKilobytes)))
	reserved := time.Duration(localServices * float64(work))
	return max(0, time.Duration(share*float64(target-(now-g.started)-reserved)))
}

// ownWork is up to which service time the back end beside the node may take the call: it must
// be answered within its target latency with some certainty.
func (g *gatedCall) ownWork(now time.Duration) time.Duration {
	left := g.deadline - now
	if target := g.route.TargetLatency; target > 0 {
		left = min(left, target-(now-g.started))
	}
	return left / ownWorkShare
}

// patience is how long the call may wait at a gate.
func (g *gatedCall) patience(now time.Duration) time.Duration {
	left := g.deadline - now
	allowed := left / 2
	work, _ := g.handler.work.of(g.route.Name)
	if target := g.route.TargetLatency; target > 0 && work*shortWorkShare > g.service.pool.MeanService() {
		reserved := time.Duration(patienceServices * float64(work))
		allowed = min(allowed, max(target-(now-g.started)-reserved, target/minPatienceShare))
	}
	return max(0, min(allowed, left-minServiceLeft))
}

// gateFailure is an attempt that brought no answer of the back end.
type gateFailure struct {
	reason  exchange.Reason
	outcome Outcome
	peer    string
	err     error
	// refused is set if the gate itself said so, with its report.
	refused bool
	report  exchange.Report
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

// exchange sends the call to a gate.
func (g *gatedCall) exchange(ctx context.Context, ticket *balancer.Ticket, wait time.Duration) (*http.Response, *gateFailure) {
	request := g.outgoingGate(ticket, wait)
	if ticket.Address == g.handler.config.GateAddress && g.handler.config.Gate != nil {
		return g.readGate(ticket, g.handler.config.Gate(request.WithContext(ctx)))
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := g.handler.gates.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		failure := &gateFailure{reason: exchange.ReasonUnreachable, outcome: NotRun, peer: ticket.Address, err: err}
		if connected.Load() {
			failure.reason, failure.outcome = exchange.ReasonBroken, Unknown
		}
		return nil, failure
	}
	return g.readGate(ticket, response)
}

// readGate tells a back end's answer from a gate's refusal, and makes sure that it is whole
// and the right one.
func (g *gatedCall) readGate(ticket *balancer.Ticket, response *http.Response) (*http.Response, *gateFailure) {
	report, reported := exchange.ReadReport(response.Header)
	if reported {
		ticket.ReportGate(g.now(), report)
	}
	if outcome := response.Header.Get(exchange.HeaderOutcome); outcome != "" {
		response.Body.Close()
		return nil, &gateFailure{
			reason: exchange.Reason(response.Header.Get(exchange.HeaderReason)), outcome: Outcome(outcome),
			peer: ticket.Address, refused: true, report: report,
		}
	}
	name := g.handler.config.Headers.RequestID
	if name != "" && response.Header.Get(name) != g.request.Header.Get(name) {
		response.Body.Close()
		return nil, &gateFailure{reason: exchange.ReasonBroken, outcome: Unknown, peer: ticket.Address, err: errWrongAnswer}
	}
	data, rest, err := exchange.ReadWhole(response.Body, response.ContentLength)
	if err != nil {
		response.Body.Close()
		return nil, &gateFailure{reason: exchange.ReasonBroken, outcome: Unknown, peer: ticket.Address, err: err}
	}
	response.Body = newWholeBody(data, rest, response.Body)
	return response, nil
}

var errWrongAnswer = errors.New("the answer is to another call")

// outgoingGate builds the request for a gate.
func (g *gatedCall) outgoingGate(ticket *balancer.Ticket, wait time.Duration) *http.Request {
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
	request.Header.Set(exchange.HeaderPriority, strconv.Itoa(g.route.Priority))
	exchange.SetMillis(request.Header, exchange.HeaderWait, wait)
	if target := g.route.TargetLatency; target > 0 {
		exchange.SetMillis(request.Header, exchange.HeaderEarly, target/earlyShare-(g.now()-g.started))
	}
	work, _ := g.handler.work.of(g.route.Name)
	request.Header.Set(exchange.HeaderExpectedWork, strconv.FormatInt(work.Microseconds(), 10))
	g.body.Attach(request, incoming.ContentLength)
	if g.body.Size() > largeBody {
		request.Header.Set("Expect", "100-continue")
		if ticket.Address != g.handler.config.GateAddress {
			request.Body = g.handler.config.Pacer.Body(request.Body, g.body.Size(), g.bodyTime())
		}
	}
	if g.body.Empty() && g.safe {
		request.Body, request.ContentLength = nil, 0
	}
	return request
}

// bodyTime is how long a large body may take on its way: a share of the time until the call
// should be answered.
func (g *gatedCall) bodyTime() time.Duration {
	now := g.now()
	left := g.deadline - now
	if target := g.route.TargetLatency; target > 0 {
		left = min(left, max(target-(now-g.started), left/bodyShare))
	}
	return left / bodyShare
}

// learn keeps what a failure says of the gate.
func (g *gatedCall) learn(ticket *balancer.Ticket, failure *gateFailure) {
	now := g.now()
	learned := balancer.Canceled
	switch failure.reason {
	case exchange.ReasonFull:
		// The gate beside the node was asked for a free slot only, at no cost: the call
		// may still wait there.
		if g.tries > 1 || ticket.Address != g.handler.config.GateAddress {
			g.full = ticket.LeftOut(g.full)
		}
	case exchange.ReasonUnreachable:
		pause := unreachablePause
		if failure.refused {
			pause = downPause
		}
		ticket.Avoid(now, pause)
	case exchange.ReasonStopping:
		ticket.Avoid(now, stoppingPause)
	case exchange.ReasonLeft:
		ticket.Leave()
	case exchange.ReasonAbsent:
		ticket.Avoid(now, absentPause)
	case exchange.ReasonBroken:
		if g.request.Context().Err() == nil && now < g.deadline {
			learned = balancer.Failed
		}
	}
	if failure.reason != exchange.ReasonFull {
		g.done = ticket.LeftOut(g.done)
	}
	ticket.Done(now, learned)
}

// mayGoOn decides on another gate. Only what reached a back end draws on the budget.
func (g *gatedCall) mayGoOn(ctx context.Context, failure *gateFailure) bool {
	if ctx.Err() != nil || g.tries >= maxGateTries || !g.body.Repeatable() {
		return false
	}
	if !failure.reason.Reached() {
		waited := failure.reason == exchange.ReasonFull && g.lastChance
		return !waited && failure.reason != exchange.ReasonDeadline
	}
	if failure.outcome != NotRun && !g.safe {
		return false
	}
	return g.payRepeat()
}

// answer passes the back end's answer to the caller.
func (g *gatedCall) answer(ticket *balancer.Ticket, response *http.Response) {
	g.dropHeld()
	work, _ := exchange.ReadMicros(response.Header, exchange.HeaderWork)
	if err := g.pass(response); err != nil {
		ticket.Done(g.now(), balancer.Canceled)
		g.abort()
	}
	ticket.Done(g.now(), balancer.Answered)
	if !exchange.ServerFailed(response.StatusCode) {
		g.handler.work.note(g.route.Name, work, max(0, int(response.ContentLength)))
	}
}

// pass writes an answer to the caller.
func (g *gatedCall) pass(response *http.Response) error {
	defer response.Body.Close()
	g.status = response.StatusCode
	exchange.RemoveHop(response.Header)
	exchange.RemoveInternal(response.Header)
	exchange.Copy(g.writer.Header(), response.Header)
	g.writer.WriteHeader(response.StatusCode)
	return exchange.CopyBody(g.writer, response)
}

// abort ends the caller's connection: its answer could not be passed on whole.
func (g *gatedCall) abort() {
	g.handler.tell(g.call, nil)
	panic(http.ErrAbortHandler)
}

// mayMakeGood decides whether another back end is asked after one that answered with a
// failure, and keeps that answer in case none does better.
func (g *gatedCall) mayMakeGood(ctx context.Context, ticket *balancer.Ticket, response *http.Response) bool {
	body, _ := response.Body.(wholeBody)
	if !body.whole || !g.safe || g.tries >= maxGateTries || !g.body.Repeatable() || ctx.Err() != nil || !g.payRepeat() {
		return false
	}
	g.dropHeld()
	g.record.Note(Unknown)
	g.held = response
	g.done = ticket.LeftOut(g.done)
	ticket.Done(g.now(), balancer.Answered)
	return true
}

// payRepeat draws one more arrival at a back end from the route's attempts and the budget.
func (g *gatedCall) payRepeat() bool {
	limit := g.route.MaxAttempts
	if limit == 0 {
		limit = maxAttempts
	}
	return g.attempts < limit && g.service.budget.Withdraw(g.now())
}

func (g *gatedCall) dropHeld() {
	if g.held != nil {
		g.held.Body.Close()
	}
	g.held = nil
}

// giveUp makes the final answer: a back end's failure that was held, if there is one. It
// says that the call has not run only if that is known of every attempt, and then when to
// come back.
func (g *gatedCall) giveUp(step, reason string) *Refusal {
	if g.held != nil {
		if err := g.pass(g.held); err != nil {
			g.abort()
		}
		return nil
	}
	refusal := &Refusal{Outcome: g.record.Refusal(), Step: step, Reason: reason, Status: http.StatusServiceUnavailable, Fractions: true}
	left := g.deadline - g.now()
	if refusal.Outcome != NotRun {
		refusal.Status = http.StatusBadGateway
		if left <= 0 {
			refusal.Status = http.StatusGatewayTimeout
		}
		return refusal
	}
	refusal.RetryAfter = max(minGateRetry, min(maxGateRetry, left/gateRetryShare))
	return refusal
}

func (g *gatedCall) tellAttempt(ticket *balancer.Ticket, failure *gateFailure, wait, began time.Duration, again bool) {
	if g.handler.config.OnAttempt == nil {
		return
	}
	now := g.now()
	g.handler.config.OnAttempt(Attempt{
		RequestID: g.request.Header.Get(g.handler.config.Headers.RequestID), Route: g.route.Name, Service: g.target,
		Instance: ticket.ID, Number: g.tries, Reason: failure.reason, Err: failure.err, Report: failure.report,
		Wait: wait, Elapsed: now - began, Left: g.deadline - now, Retried: again,
	})
}
