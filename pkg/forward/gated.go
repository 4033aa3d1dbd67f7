package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/quarantine"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/roundtrip"
)

// Limits and pauses of calls through gates.
const (
	// maxGateAttempts limits the gates that one call is sent to.
	maxGateAttempts = 8
	// Pauses during which a gate is not chosen again.
	unreachablePause = 700 * time.Millisecond
	stoppingPause    = 1500 * time.Millisecond
	absentPause      = 400 * time.Millisecond
	// evacuatedPause applies to a gate whose zone is evacuated though the node's table does not show
	// it; it covers the distribution delay of an evacuation.
	evacuatedPause = 400 * time.Millisecond
	downPause      = 250 * time.Millisecond
)

// gatedCall is a call to a service whose back ends have gates.
type gatedCall struct {
	*call
	body *exchange.Body
	// excluded are back ends that must not receive the call again, full those without a free slot.
	excluded []string
	full     []string
	// countedAttempts counts the gates that the call was sent to, without those that rejected it because
	// the node's configuration is out of date; gateAttempts counts all.
	countedAttempts int
	gateAttempts    int
	// serviceTime is the mean service time of the route's calls, responseBytes the mean size of their
	// responses; zero if unknown.
	serviceTime   time.Duration
	responseBytes int
	// finalWait is set once the call was allowed to wait at a gate after others were full.
	finalWait bool
	// linkBusy is set if the link's load exceeded busyLinkLoad at the latest choice of a gate. throttle then
	// limits the attempts of the route's calls to the service, and is not used otherwise.
	linkBusy bool
	throttle *retry.Throttle
	// lastReason is the latest gate's reason, linkWait the shortest link wait that a gate reported.
	lastReason exchange.Reason
	linkWait   time.Duration
	draw       rolloutDraw
	// heldResponse is a back end's server error, returned if no later attempt succeeds; nil for none.
	heldResponse *http.Response
	// coldRejections counts rejections by gates of cold back ends; untilWarm is the time until the first
	// of these back ends is warm.
	coldRejections int
	untilWarm      time.Duration
	// limitRejections counts rejections because of the limits that back ends name; untilRoom is the shortest time until
	// one of these back ends can be sent a call.
	limitRejections int
	untilRoom       time.Duration
	// limited are the back ends whose limits rejected the call. It goes to them again only if there are no others.
	limited []string
}

// serveThroughGates serves a call to a service whose back ends have gates.
func (c *call) serveThroughGates(timeout time.Duration) *Refusal {
	body, err := exchange.ReadBody(c.request)
	if err != nil {
		return &Refusal{Outcome: NotRun, Step: "request body", Reason: err.Error(), Status: exchange.BodyStatus(err)}
	}
	if match := c.matchQuarantine(body.Data()); match.Standing == quarantine.Quarantined {
		return quarantineRefusal(match)
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), timeout-(c.now()-c.arrivedAt))
	defer cancel()
	c.service.budget.Attempt(c.arrivedAt)
	if share := c.retryShare(); share > 0 {
		c.service.budget.Charge(c.arrivedAt, share)
	}
	g := &gatedCall{call: c, body: body}
	g.drawRollout(c.arrivedAt)
	for {
		refusal, again := g.attemptGate(ctx)
		if !again {
			return refusal
		}
	}
}

func (c *call) now() time.Duration { return c.handler.config.Now() }

// attemptGate sends the call to one gate. It returns again if another one should be attempted,
// otherwise the refusal, nil if the caller received a response.
func (g *gatedCall) attemptGate(ctx context.Context) (refusal *Refusal, again bool) {
	now := g.now()
	if ctx.Err() != nil {
		return g.giveUp("deadline", "the time is up"), false
	}
	if g.gateAttempts > 0 && g.keyRevoked() {
		return g.giveUpRevoked(), false
	}
	g.serviceTime, g.responseBytes = g.handler.serviceTime.get(g.route.Name)
	ticket, wait, err := g.chooseGate(now)
	if err != nil {
		g.recordAllCold(err)
		g.recordAllLimited(err)
		return g.giveUp("choose back end", fmt.Sprintf("service %s: %v (%s)", g.targetService, err, g.lastReason)), false
	}
	if !g.throttleAllows(ticket, now) {
		ticket.Done(now, balancer.Canceled)
		return g.giveUp("throttle", g.throttleReason(now)), false
	}
	g.countedAttempts++
	g.gateAttempts++
	response, failure := g.sendToGate(ctx, ticket, wait)
	g.updateThrottle(ticket, failure)
	if failure == nil {
		g.attempts++
		g.recordVersionResult(ticket, exchange.ServerFailed(response.StatusCode))
		if exchange.ServerFailed(response.StatusCode) && g.mayRetryServerError(ctx, ticket, response) {
			g.reportAttempt(ticket, &gateFailure{reason: exchange.ReasonServerError, peer: ticket.Address}, wait, now, true)
			return nil, true
		}
		g.respond(ctx, ticket, response)
		return nil, false
	}
	g.lastReason = failure.reason
	g.recordFailure(ticket, failure)
	if failure.reason.Reached() {
		g.attempts++
		g.noteOutcome(failure)
	}
	again = g.mayAttemptNext(ctx, failure)
	g.reportAttempt(ticket, failure, wait, now, again)
	if again {
		return nil, true
	}
	return g.giveUp(failure.step(), failure.text()), false
}

// noteOutcome records the outcome of an attempt that reached a back end. A rejection whose outcome is not certain counts as
// one for a call that may run more than once: running it after all does no harm.
func (g *gatedCall) noteOutcome(failure *gateFailure) {
	if failure.reason == exchange.ReasonDeclined && g.repeatable {
		return
	}
	g.outcomes.Note(failure.outcome)
}

// throttleAllows reports whether to attempt a gate: while most gates are full, attempts only add load
// to the link. The node's own gate costs no message and is always attempted.
func (g *gatedCall) throttleAllows(ticket *balancer.Ticket, now time.Duration) bool {
	return !g.linkBusy || g.isOwnGate(ticket) || g.throttle.Allow(now, rand.Float64())
}

// throttleReason returns the reason for a call that the throttle rejected.
func (g *gatedCall) throttleReason(now time.Duration) string {
	attempts, granted := g.throttle.Counts(now)
	return fmt.Sprintf("service %s: gates refuse most calls of the route (asked=%.1f granted=%.1f link_load=%.2f last=%s)",
		g.targetService, attempts, granted, g.handler.config.Link.Load(now), g.lastReason)
}

// updateThrottle records whether the gate granted the attempt.
func (g *gatedCall) updateThrottle(ticket *balancer.Ticket, failure *gateFailure) {
	switch {
	case !g.linkBusy || g.isOwnGate(ticket):
	case failure == nil || failure.reason.Reached():
		g.throttle.Granted(g.now())
	case !failure.reason.Busy():
		g.throttle.Cancelled(g.now())
	}
}

// isOwnGate reports whether a ticket is for the node's own gate.
func (g *gatedCall) isOwnGate(ticket *balancer.Ticket) bool {
	return ticket.Address == g.handler.config.GateAddress
}

// recordFailure updates the choice of gates after a failed attempt.
func (g *gatedCall) recordFailure(ticket *balancer.Ticket, failure *gateFailure) {
	now := g.now()
	outcome := balancer.Canceled
	switch failure.reason {
	case exchange.ReasonFull, exchange.ReasonLink, exchange.ReasonCold, exchange.ReasonLimit:
		g.recordBusy(ticket, failure)
	case exchange.ReasonUnreachable:
		pause := unreachablePause
		if failure.rejected {
			pause = downPause
		}
		ticket.Eject(now, pause)
	case exchange.ReasonStopping:
		ticket.Eject(now, stoppingPause)
	case exchange.ReasonRemoved:
		ticket.MarkLeaving()
	case exchange.ReasonNoBackend:
		ticket.Eject(now, absentPause)
	case exchange.ReasonVersion:
		ticket.Eject(now, versionPause)
	case exchange.ReasonEvacuated:
		ticket.Eject(now, evacuatedPause)
		// Not counted as an attempt: the node is out of date, and all gates of the zone may respond alike.
		g.countedAttempts--
	case exchange.ReasonRegion:
		// Not counted as an attempt either, but the gate may serve other calls.
		g.countedAttempts--
	case exchange.ReasonBroken, exchange.ReasonCrashed:
		if g.request.Context().Err() == nil && now < g.deadline {
			g.recordVersionResult(ticket, true)
			outcome = balancer.Failed
		}
	}
	if !failure.reason.Busy() {
		g.excluded = ticket.AppendExcluded(g.excluded)
	}
	g.draw.retrying = true
	ticket.Done(now, outcome)
}

// recordBusy records the report of a gate that is full, cold, at a named limit, or whose link is full.
func (g *gatedCall) recordBusy(ticket *balancer.Ticket, failure *gateFailure) {
	if failure.reason == exchange.ReasonCold {
		g.recordColdRejection(failure.report)
	}
	if failure.reason == exchange.ReasonLimit {
		g.recordLimitRejection(failure.report)
		ticket.RecordLimitRejection(g.now())
		g.limited = ticket.AppendExcluded(g.limited)
		return
	}
	if wait := failure.report.LinkWait; wait > 0 && (g.linkWait == 0 || wait < g.linkWait) {
		g.linkWait = wait
	}
	// The first attempt at the own gate allowed a short wait only, so the call may still wait there.
	if g.countedAttempts > 1 || !g.isOwnGate(ticket) {
		g.full = ticket.AppendExcluded(g.full)
	}
}

// canAttemptAnother reports whether time, attempts and the request body allow another gate.
func (g *gatedCall) canAttemptAnother(ctx context.Context) bool {
	return ctx.Err() == nil && g.countedAttempts < maxGateAttempts && g.body.Repeatable()
}

// mayAttemptNext decides on another gate. Only attempts that reached a back end use the retry budget.
func (g *gatedCall) mayAttemptNext(ctx context.Context, failure *gateFailure) bool {
	if !g.canAttemptAnother(ctx) {
		return false
	}
	if !failure.reason.Reached() {
		noMoreWaits := failure.reason.Busy() && (g.finalWait || g.coldLimitReached(failure) || g.namedLimitsReached(failure))
		final := failure.reason == exchange.ReasonDeadline || failure.reason == exchange.ReasonQuarantined
		return !noMoreWaits && !final
	}
	if failure.outcome != NotRun && !g.repeatable {
		return false
	}
	return g.withdrawRetry()
}

// respond sends the back end's response to the caller. The ticket is done once a buffered response is
// complete, because the caller may read it slowly.
func (g *gatedCall) respond(ctx context.Context, ticket *balancer.Ticket, response *http.Response) {
	g.closeHeldResponse()
	serviceTime, _ := exchange.ReadMicros(response.Header, exchange.HeaderWork)
	body, _ := response.Body.(bufferedBody)
	done := func(balancer.Outcome) {}
	if body.complete {
		g.recordCompleted(response, serviceTime)
		ticket.Done(g.now(), balancer.Answered)
	} else {
		done = g.doneAtEnd(ctx, ticket)
	}
	err := g.writeResponse(ctx, response, g.isOwnGate(ticket))
	done(streamOutcome(err))
	if err == nil && !body.complete {
		g.recordCompleted(response, serviceTime)
	}
	if err != nil {
		g.reportInvalid(ticket, err)
		g.abort()
	}
}

// recordCompleted records the service time and the size of a response whose body is known to be complete: a declared
// length alone proves nothing.
func (g *gatedCall) recordCompleted(response *http.Response, serviceTime time.Duration) {
	if !exchange.ServerFailed(response.StatusCode) {
		g.handler.serviceTime.record(g.route.Name, serviceTime, max(0, int(response.ContentLength)))
	}
}

// streamOutcome returns the outcome of a streamed response for the back end's statistics.
func streamOutcome(err error) balancer.Outcome {
	switch {
	case err == nil:
		return balancer.Answered
	case roundtrip.FaultOf(err) == roundtrip.FaultBody:
		return balancer.Failed
	}
	return balancer.Canceled
}

// writeResponse sends a response to the caller; reserved is set if the node's own gate has reserved
// link capacity for it.
func (g *gatedCall) writeResponse(ctx context.Context, response *http.Response, reserved bool) error {
	g.paceResponse(ctx, response, reserved)
	defer response.Body.Close()
	g.status = response.StatusCode
	exchange.RemoveHop(response.Header)
	exchange.RemoveInternal(response.Header)
	exchange.Copy(g.writer.Header(), response.Header)
	g.writer.WriteHeader(response.StatusCode)
	return exchange.CopyBody(g.writer, response)
}

// abort closes the caller's connection because the response could not be sent in full.
func (g *gatedCall) abort() {
	g.handler.reportCall(g.call, nil)
	panic(http.ErrAbortHandler)
}

// mayRetryServerError decides whether to retry after a server error, and keeps the response in case
// no later attempt succeeds.
func (g *gatedCall) mayRetryServerError(ctx context.Context, ticket *balancer.Ticket, response *http.Response) bool {
	body, _ := response.Body.(bufferedBody)
	if !body.complete || !g.repeatable || !g.canAttemptAnother(ctx) || !g.withdrawRetry() {
		return false
	}
	g.closeHeldResponse()
	g.outcomes.Note(Unknown)
	g.heldResponse = response
	g.draw.retrying = true
	g.excluded = ticket.AppendExcluded(g.excluded)
	ticket.Done(g.now(), balancer.Answered)
	return true
}

// withdrawRetry takes one more attempt from the route's limit and the retry budget. A suspect request
// is not retried, because it might crash another back end.
func (g *gatedCall) withdrawRetry() bool {
	if g.matchQuarantine(g.body.Data()).Standing != quarantine.Unsuspected {
		return false
	}
	limit := g.route.MaxAttempts
	if limit == 0 {
		limit = maxAttempts
	}
	return g.attempts < limit && g.service.budget.Withdraw(g.now())
}

func (g *gatedCall) closeHeldResponse() {
	if g.heldResponse != nil {
		g.heldResponse.Body.Close()
	}
	g.heldResponse = nil
}

// giveUp sends a held server error if there is one, and otherwise returns the refusal. The refusal
// has Retry-After only if no attempt may have run.
func (g *gatedCall) giveUp(step, reason string) *Refusal {
	if g.heldResponse != nil {
		if err := g.writeResponse(g.request.Context(), g.heldResponse, false); err != nil {
			g.abort()
		}
		return nil
	}
	refusal := &Refusal{Outcome: g.outcomes.Refusal(), Step: step, Reason: reason, Status: http.StatusServiceUnavailable, Fractions: true}
	left := g.deadline - g.now()
	if refusal.Outcome != NotRun {
		refusal.Status = http.StatusBadGateway
		if left <= 0 {
			refusal.Status = http.StatusGatewayTimeout
		}
		return refusal
	}
	refusal.RetryAfter = g.retryAfter(g.now())
	return refusal
}

// giveUpRevoked is giveUp for a call whose key was revoked after it arrived.
func (g *gatedCall) giveUpRevoked() *Refusal {
	refusal := g.giveUp("key", "the key was taken away")
	if refusal != nil && refusal.Outcome == NotRun {
		refusal.Status, refusal.RetryAfter = http.StatusUnauthorized, 0
	}
	return refusal
}

func (g *gatedCall) reportAttempt(ticket *balancer.Ticket, failure *gateFailure, wait, began time.Duration, again bool) {
	if g.handler.config.OnAttempt == nil {
		return
	}
	now := g.now()
	g.handler.config.OnAttempt(Attempt{
		RequestID: g.request.Header.Get(g.handler.config.Headers.RequestID), Route: g.route.Name, Service: g.targetService,
		Instance: ticket.ID, Number: g.gateAttempts, Reason: failure.reason, Err: failure.err, Report: failure.report,
		Wait: wait, Elapsed: now - began, Left: g.deadline - now, Retried: again,
	})
}
