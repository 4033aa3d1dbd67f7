package gate

import (
	"context"
	"math"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/limit"
)

const (
	// defaultCapacity applies to back ends that do not report their capacity.
	defaultCapacity = 8
	// initialServiceTime is assumed until a call has completed; serviceTimeWeight is the weight of
	// each new sample in the moving average.
	initialServiceTime = 20 * time.Millisecond
	serviceTimeWeight  = 0.08
	// expectedWaitMargin multiplies the expected wait of a queued call to allow for estimation
	// errors.
	expectedWaitMargin = 1.3
	// unreachableBackoff is how long calls are rejected after a connection to the back end failed.
	unreachableBackoff = 150 * time.Millisecond
)

// Backend describes the back end that a gate protects.
type Backend struct {
	// ID identifies the instance. A restarted back end may keep its ID with a higher Incarnation.
	ID       string
	Service  string
	Address  string
	Capacity int
	Zone     string
	// Version is the version of the back end's software, empty if unknown.
	Version string
	// Incarnation distinguishes runs of a back end with the same ID and increases with each start.
	Incarnation uint64
}

// SetBackend sets the back end that receives calls. A new ID or incarnation resets the gate's state
// and rejects all queued calls.
func (g *Gate) SetBackend(backend Backend) {
	if backend.Capacity <= 0 {
		backend.Capacity = defaultCapacity
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	sameIncarnation := g.backend.ID == backend.ID && g.backend.Incarnation == backend.Incarnation
	if sameIncarnation && g.saidLeaving {
		return
	}
	if sameIncarnation && g.present {
		g.backend = backend
		g.applyRules()
		return
	}
	if g.departedID = g.backend.ID; g.departedID == backend.ID {
		g.departedID = "" // calls for this ID are also valid for its next incarnation
	}
	g.backend, g.present, g.saidLeaving = backend, true, false
	g.generation++
	g.running, g.serviceTime, g.slowdown, g.health, g.unreachableUntil, g.limit = 0, 0, slowdown{}, health{}, 0, limit.Limiter{}
	g.invalidLimit = ""
	g.dropWaiting(exchange.ReasonNoBackend)
	now := g.config.Now()
	g.cold.assumeNew(now)
	g.reportedCold = false
	g.closed = closedState{}
	g.applyRules()
	g.resetRollout()
}

// RemoveBackend stops admitting calls to the back end with this ID and rejects the queued ones. It
// does nothing for any other ID.
func (g *Gate) RemoveBackend(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backend.ID != id {
		return
	}
	g.remove(exchange.ReasonNoBackend)
}

// remove stops admitting calls to the back end and rejects the queued ones with reason. g.mu must be held.
func (g *Gate) remove(reason exchange.Reason) {
	g.present, g.departedID = false, g.backend.ID
	g.dropWaiting(reason)
	g.applyRollout()
}

// Present reports whether the gate has a back end.
func (g *Gate) Present() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.present
}

// Stop rejects all queued and future calls.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.dropWaiting(exchange.ReasonStopping)
}

// dropWaiting rejects all queued calls with reason. g.mu must be held.
func (g *Gate) dropWaiting(reason exchange.Reason) {
	for w := g.queue.popFirst(); w != nil; w = g.queue.popFirst() {
		w.reason = reason
		close(w.dropped)
	}
}

// admission is a slot for one call at the back end.
type admission struct {
	backend Backend
	// work is the service time that the sending node expects.
	work       time.Duration
	generation uint64
	admittedAt time.Duration
	tallyEntry tallyEntry
	// retry is set if another back end received the call before.
	retry bool
}

// request holds the properties of a call that admission depends on, read from the call's headers.
type request struct {
	// instance is the ID of the back end that the call is meant for, empty for any.
	instance string
	// targetLeft is the time left until the call's target latency, if targeted; late is set once
	// the target can no longer be met.
	targetLeft time.Duration
	targeted   bool
	late       bool
	priority   int
	deadline   time.Duration
	// wait is how long the call may wait for a slot. After earlyWait it is rejected if it is
	// unlikely to be admitted within wait, so that the caller can retry elsewhere.
	wait      time.Duration
	earlyWait time.Duration
	// work is the service time that the sending node expects.
	work time.Duration
	// expectedResponse is the expected response size in bytes, zero if the response is not expected
	// to be large.
	expectedResponse int64
	// lateAt is when the call becomes late unless it has started, zero if it has no target latency.
	lateAt time.Duration
	// hint is the sending node's view of the rollout, zero if none is running.
	hint versionHint
	// knownLimit is the limit that the back end named to the sending node, if knowsLimit.
	knownLimit exchange.KnownLimit
	knowsLimit bool
	// transitDelay is how much longer the call took to arrive than the fastest recent one.
	transitDelay time.Duration
}

func (req request) waiter(now time.Duration) *waiter {
	return &waiter{
		waitsUntil: now + req.wait,
		lateAt:     req.lateAt, late: req.late, priority: req.priority, work: req.work, deadline: req.deadline, hint: req.hint,
		admitted: make(chan struct{}), dropped: make(chan struct{}),
	}
}

// admit waits for a free slot and returns it, or the reason why the call is rejected.
func (g *Gate) admit(ctx context.Context, req request) (admission, exchange.Reason) {
	g.mu.Lock()
	now := g.config.Now()
	if reason := g.rejectReason(now, req); reason != "" {
		g.mu.Unlock()
		return admission{}, reason
	}
	g.recordArrival(now, req)
	g.reportColdChange(now)
	g.probeIfAssumed(now)
	if g.running < g.backend.Capacity && len(g.queue) == 0 && g.nextAdmission(now, req.priority) <= now {
		adm := g.takeCountedSlot(now, req.work, req.hint)
		g.mu.Unlock()
		return adm, ""
	}
	w := req.waiter(now)
	if g.expectedWait(now, w) > req.wait {
		reason := g.busyReason(now)
		g.mu.Unlock()
		return admission{}, reason
	}
	g.queue.add(w)
	g.dropDisplaced(now)
	g.dispatch()
	g.mu.Unlock()
	return g.awaitAdmission(ctx, w, req)
}

// startReceiving counts a call whose body is about to be received, or returns why the call is
// rejected, for instance because no slot is expected to become free within its wait.
func (g *Gate) startReceiving(req request) exchange.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	if reason := g.rejectReason(now, req); reason != "" {
		return reason
	}
	g.recordArrival(now, req)
	queued := g.queue.ahead(req.waiter(now))
	if g.rateWait(now, g.receiving+queued, req.priority) > req.wait {
		return g.rateReason(now)
	}
	ahead := max(0, g.running+g.receiving+1-g.backend.Capacity) + queued
	if g.expectedServiceTime()*time.Duration(ahead)/time.Duration(g.backend.Capacity) > req.wait {
		return exchange.ReasonFull
	}
	g.receiving++
	return ""
}

// finishReceiving reverts the count of startReceiving.
func (g *Gate) finishReceiving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.receiving--
}

// rejectReason returns why a call is rejected regardless of the load, empty if it is not. g.mu must
// be held.
func (g *Gate) rejectReason(now time.Duration, req request) exchange.Reason {
	switch {
	case g.stopping:
		return exchange.ReasonStopping
	case g.outlastsProcess(req):
		return exchange.ReasonOutlasts
	case req.instance != "" && req.instance == g.departedID:
		return exchange.ReasonRemoved
	case !g.present || (req.instance != "" && req.instance != g.backend.ID):
		return exchange.ReasonNoBackend
	case g.closed.reason != "":
		return g.closed.reason
	case now < g.unreachableUntil:
		return exchange.ReasonUnreachable
	case now >= req.deadline:
		return exchange.ReasonDeadline
	}
	if g.unknownRollout(req.hint) {
		return exchange.ReasonVersion
	}
	return g.versionRejectReason(now)
}

// outlastsProcess reports whether a call may last until after the process stops.
func (g *Gate) outlastsProcess(req request) bool {
	if g.config.StopsAt == nil {
		return false
	}
	stopsAt := g.config.StopsAt()
	return stopsAt > 0 && req.deadline >= stopsAt
}

// takeSlot takes a slot. g.mu must be held.
func (g *Gate) takeSlot(now, work time.Duration) admission {
	g.running++
	g.cold.rate.record(now)
	g.limit.Charge(now)
	return admission{backend: g.backend, work: work, generation: g.generation, admittedAt: now}
}

// expectedWait estimates how long a call would wait. g.mu must be held.
func (g *Gate) expectedWait(now time.Duration, w *waiter) time.Duration {
	ahead := g.queue.ahead(w)
	rateWait := g.rateWait(now, ahead, w.priority)
	if g.running < g.backend.Capacity && rateWait > 0 {
		return rateWait
	}
	return max(rateWait, time.Duration(float64(g.expectedServiceTime())*float64(ahead+1)/float64(g.backend.Capacity)))
}

// expectedServiceTime returns the mean service time of recent calls. g.mu must be held.
func (g *Gate) expectedServiceTime() time.Duration {
	if g.serviceTime == 0 {
		return initialServiceTime
	}
	return g.serviceTime
}

// awaitAdmission waits until the call is admitted, dropped, timed out or canceled by its caller.
func (g *Gate) awaitAdmission(ctx context.Context, w *waiter, req request) (admission, exchange.Reason) {
	timer := time.NewTimer(req.wait)
	defer timer.Stop()
	early := time.NewTimer(req.earlyWait)
	defer early.Stop()
	reason := exchange.Reason("")
	for waiting := true; waiting; {
		select {
		case <-w.admitted:
			return w.admission, ""
		case <-w.dropped:
			return admission{}, w.reason
		case <-early.C:
			waiting = req.earlyWait >= req.wait || g.canStillBeAdmitted(w, req.wait-req.earlyWait)
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			reason = exchange.ReasonDeadline
			waiting = false
		}
	}
	g.mu.Lock()
	stillWaiting := g.queue.remove(w)
	if reason == "" {
		reason = g.busyReason(g.config.Now())
	}
	g.mu.Unlock()
	if stillWaiting {
		return admission{}, reason
	}
	select {
	case <-w.dropped:
		return admission{}, w.reason
	case <-w.admitted:
	}
	if ctx.Err() == nil {
		return w.admission, ""
	}
	g.releaseUnsent(w.admission)
	return admission{}, reason
}

// canStillBeAdmitted reports whether a queued call can expect admission within the time left.
func (g *Gate) canStillBeAdmitted(w *waiter, left time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(expectedWaitMargin*float64(g.expectedWait(g.config.Now(), w))) <= left
}

// callResult is what a finished call reveals about the back end.
type callResult struct {
	// serviceTime is how long the call took, zero if it is not representative.
	serviceTime time.Duration
	failed      bool
}

// hung reports whether a call without a response had reached its deadline and spent several service
// times at the back end, so that the back end is at fault.
func (g *Gate) hung(adm admission, deadline time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	return now >= deadline && now-adm.admittedAt >= hangServiceTimes*g.expectedServiceTime()
}

// release frees a slot, records the result and admits queued calls.
func (g *Gate) release(adm admission, result callResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if adm.generation != g.generation {
		return
	}
	g.running--
	if adm.retry {
		g.retries--
	}
	adm.tallyEntry.finish(result, g.cold.remaining(g.config.Now()) > 0)
	if result.failed || result.serviceTime > 0 {
		g.health.record(g.config.Now(), result.failed)
	}
	if result.serviceTime > 0 {
		if g.serviceTime == 0 {
			g.serviceTime = result.serviceTime
		}
		g.serviceTime += time.Duration(serviceTimeWeight * float64(result.serviceTime-g.serviceTime))
		g.slowdown.record(adm.work, result.serviceTime)
	}
	g.reportDrained()
	g.dispatch()
}

// releaseUnsent frees the slot of a call that was not sent to the back end.
func (g *Gate) releaseUnsent(adm admission) {
	g.refundLimit(adm)
	g.release(adm, callResult{})
}

// markUnreachable starts the backoff after a failed connection.
func (g *Gate) markUnreachable(adm admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if adm.generation == g.generation {
		now := g.config.Now()
		g.unreachableUntil = now + unreachableBackoff
		g.cold.assume(now)
		g.reportColdChange(now)
	}
}

// Report returns the current load of the gate and the state of its back end.
func (g *Gate) Report() exchange.Report { return g.reportFor(math.MaxInt) }

// reportFor returns the report to a call with the given priority.
func (g *Gate) reportFor(priority int) exchange.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report(priority)
}

// report implements reportFor. g.mu must be held.
func (g *Gate) report(priority int) exchange.Report {
	now := g.config.Now()
	g.reportColdChange(now)
	return exchange.Report{
		Running: g.running, Queued: len(g.queue) + g.receiving, Capacity: max(1, g.backend.Capacity),
		ServiceTime: g.serviceTime, FailureRate: g.health.failing(now), Cold: g.coldReport(now), Limit: g.limitReport(now, priority), LinkWait: g.reportedLinkWait(),
	}
}
