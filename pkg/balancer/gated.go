package balancer

import (
	"slices"
	"time"

	"bramblelift/pkg/clock"
	"bramblelift/pkg/exchange"
)

// Parameters of the choice among gates.
const (
	// loadPenalty is the score penalty for a fully loaded back end, in its own service times: many slow
	// down before they are full.
	loadPenalty = 0.5
	// scoreJitter is the relative random addition to a score, so that nodes with the same reports don't
	// all choose the same gate.
	scoreJitter = 0.15
	// reportMaxAge is the age above which the load in a report is ignored.
	reportMaxAge = 500 * time.Millisecond
	// failureCost and failureCostRepeatable are the score penalties for a failure rate of 1, in service
	// times of the fastest back end. A failed repeatable call costs one more attempt; any other is lost.
	failureCost           = 20.0
	failureCostRepeatable = 6.0
	// failureHalfLife is the half-life of a reported failure rate, so that a back end without calls is
	// eventually chosen again.
	failureHalfLife = 2 * time.Second
	// maxOwnGateFailureRate is the failure rate up to which the back end beside the node is preferred.
	maxOwnGateFailureRate = 0.05
	// defaultCapacity is used until a gate report or the endpoint list gives a capacity.
	defaultCapacity = 8
)

// gateState is a gate's last report and the calls that this node has sent since.
type gateState struct {
	report   exchange.Report
	at       time.Duration
	reported bool
	// serviceTimeAt is when a call of this node was last answered, or the report's service time last changed.
	serviceTimeAt time.Duration
	// priority is that of the call that the report responded to.
	priority int
	// limitPauses holds the pauses after rejections by the named limit, by the priority of the rejected calls.
	limitPauses map[int]limitPause
	// sent counts the calls sent to the gate since the report.
	sent int
}

// Gated reports whether the service's back ends are reached through gates.
func (p *Pool) Gated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints) == 0 || p.endpoints[0].target.Gate != ""
}

// GateRequest holds the properties of a call that the choice of a gate depends on.
type GateRequest struct {
	// Excluded lists the IDs of back ends that must not be chosen.
	Excluded []string
	// Regions lists the regions that may serve the call; empty means all.
	Regions []string
	// AvoidedRegions lists other regions to avoid, because the link to them is congested, if the own region has a
	// back end that may serve the call.
	AvoidedRegions []string
	// LocalWait is how long the call may wait at a gate of the node's own zone before another zone is
	// considered.
	LocalWait time.Duration
	// LocalGateDecides skips the node's estimate of the wait and leaves the decision to the gates of the own zone,
	// which know the priorities in their queues. It is for calls that are expensive in other zones.
	LocalGateDecides bool
	// Patience is how long the call may wait if no gate admits it immediately.
	Patience time.Duration
	// Priority is the priority of the call; 0 is the highest.
	Priority int
	// LargeResponse is set if the response is expected to be large; the score then includes the wait for the
	// gate's link.
	LargeResponse bool
	// Repeatable is set if a failed call may run again at another back end.
	Repeatable bool
	// OwnGateMaxService is the service time up to which the back end beside the node is preferred to all others;
	// zero means never. The call takes no further hop there.
	OwnGateMaxService time.Duration
	// OwnGateWait is how long the call may wait at the gate beside the node; zero means not at all.
	OwnGateWait time.Duration
	// FreeSlotMaxService, if not zero, is the service time up to which back ends known to have a free slot are
	// preferred, regardless of zone and of faster back ends.
	FreeSlotMaxService time.Duration
	// Version selects the side of a rollout that the call goes to.
	Version VersionChoice
}

// failureCost returns the score penalty for a failure rate of 1, in service times of the fastest back end.
func (r GateRequest) failureCost() float64 {
	if r.Repeatable {
		return failureCostRepeatable
	}
	return failureCost
}

// AcquireGate picks a gate: one of the own zone if the expected wait is at most LocalWait, otherwise the one
// with the lowest expected completion time. It also returns how long the call may wait at the gate. The
// error wraps ErrNoEndpoint or is a *ColdError or a *LimitError.
func (p *Pool) AcquireGate(now time.Duration, r GateRequest) (*Ticket, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(now, r.Excluded, r.Regions)
	if len(r.AvoidedRegions) > 0 && p.servedInOwnRegion(r.Regions) {
		candidates = slices.DeleteFunc(candidates, func(e *endpoint) bool { return slices.Contains(r.AvoidedRegions, e.target.Region) })
	}
	if len(candidates) == 0 {
		return nil, 0, p.noEndpointError()
	}
	candidates, err := excludeSaturated(candidates, now, r)
	if err != nil {
		return nil, 0, err
	}
	candidates = r.Version.prefer(candidates)
	if own := p.ownGate(candidates, now, r); own != nil {
		return p.issueTicket(own, r.Priority), r.OwnGateWait, nil
	}
	params := scoreParams{now: now, fastest: minServiceTime(candidates), failureCost: r.failureCost(), largeResponse: r.LargeResponse, priority: r.Priority}
	if free := p.bestFreeGate(candidates, params, r.FreeSlotMaxService); free != nil {
		return p.issueTicket(free, r.Priority), r.Patience, nil
	}
	local := slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool { return !r.prefersLocal(e, params) })
	wait := r.LocalWait
	best := p.bestGate(local, params)
	if best == nil {
		best = p.bestGate(candidates, params)
		wait = 0
		if best.gateLoad(now) >= best.gateCapacity() {
			wait = r.Patience
		}
	}
	if best.delayed(now, r.Priority) {
		wait = r.Patience
	}
	return p.issueTicket(best, r.Priority), wait, nil
}

// issueTicket counts a call in flight to a gate and returns its ticket.
func (p *Pool) issueTicket(e *endpoint, priority int) *Ticket {
	e.inFlight++
	e.gate.sent++
	return &Ticket{
		pool: p, endpoint: e, Address: e.target.Gate,
		ID: e.target.ID, Incarnation: e.target.Incarnation, Version: e.target.Version, priority: priority,
	}
}

// ownGate returns the back end beside the node if it is a candidate, has a low failure rate and a service
// time of at most r.OwnGateMaxService; otherwise nil.
func (p *Pool) ownGate(candidates []*endpoint, now time.Duration, r GateRequest) *endpoint {
	if p.config.OwnGate == "" || r.OwnGateMaxService <= 0 {
		return nil
	}
	for _, e := range candidates {
		if e.target.Gate == p.config.OwnGate && e.preferredAsOwnGate(now, r) {
			return e
		}
	}
	return nil
}

// preferredAsOwnGate reports whether the back end beside the node is fast and reliable enough, and would
// admit the call without delay even if cold, so that it is preferred.
func (e *endpoint) preferredAsOwnGate(now time.Duration, r GateRequest) bool {
	service := time.Duration(e.serviceFactor(now) * float64(e.gate.report.ServiceTime))
	return service <= r.OwnGateMaxService && e.failureRate(now) <= maxOwnGateFailureRate && e.rateWait(now, r.Priority) == 0
}

// bestFreeGate returns the best candidate whose recent report shows a free slot and a service time of at most
// maxService; nil if there is none.
func (p *Pool) bestFreeGate(candidates []*endpoint, params scoreParams, maxService time.Duration) *endpoint {
	if maxService <= 0 {
		return nil
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool {
		recent := e.gate.reported && params.now-e.gate.at <= reportMaxAge
		if params.largeResponse && e.linkWait(params.now) > e.gate.report.ServiceTime {
			return true
		}
		return !recent || e.gateLoad(params.now) >= e.gateCapacity() || e.gate.report.ServiceTime > maxService || e.delayed(params.now, params.priority)
	})
	return p.bestGate(free, params)
}

// bestGate returns the candidate with the lowest jittered score, nil if there is none.
func (p *Pool) bestGate(candidates []*endpoint, params scoreParams) *endpoint {
	var best *endpoint
	bestScore := 0.0
	for _, e := range candidates {
		score := e.gateScore(params) * (1 + scoreJitter*float64(p.config.Random(1000))/1000)
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// slotWait estimates how long a call waits for a slot at the gate.
func (e *endpoint) slotWait(now time.Duration, priority int) time.Duration {
	queued := e.gateLoad(now) + 1 - e.gateCapacity()
	wait := time.Duration(max(0, queued)) * e.gate.report.ServiceTime / time.Duration(e.gateCapacity())
	return max(wait, e.rateWait(now, priority))
}

// minServiceTime returns the shortest reported service time among the candidates, zero if none is known.
func minServiceTime(candidates []*endpoint) time.Duration {
	var fastest time.Duration
	for _, e := range candidates {
		service := e.gate.report.ServiceTime
		if service > 0 && (fastest == 0 || service < fastest) {
			fastest = service
		}
	}
	return fastest
}

// MeanServiceTime returns the mean of the service times that the gates report, zero if none is known.
func (p *Pool) MeanServiceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum time.Duration
	count := time.Duration(0)
	for _, e := range p.endpoints {
		if e.gate.report.ServiceTime > 0 {
			sum += e.gate.report.ServiceTime
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// gateCapacity returns how many calls the back end runs concurrently.
func (e *endpoint) gateCapacity() int {
	switch {
	case e.gate.reported:
		return max(1, e.gate.report.Capacity)
	case e.target.Capacity > 0:
		return e.target.Capacity
	}
	return defaultCapacity
}

// gateLoad estimates how many calls are running or queued at the gate.
func (e *endpoint) gateLoad(now time.Duration) int {
	if !e.gate.reported || now-e.gate.at > reportMaxAge {
		return e.inFlight
	}
	return max(e.inFlight, e.gate.report.Running+e.gate.report.Queued+e.gate.sent)
}

// scoreParams holds the inputs of gateScore that are the same for all candidates of one call.
type scoreParams struct {
	now time.Duration
	// fastest is the shortest service time of the candidates.
	fastest       time.Duration
	failureCost   float64
	largeResponse bool
	priority      int
}

// prefersLocal reports whether a back end is in the node's own zone and its failure rate and expected wait are
// low enough to prefer it to other zones. LocalGateDecides skips the check of the wait.
func (r GateRequest) prefersLocal(e *endpoint, params scoreParams) bool {
	if e.inOtherZone {
		return false
	}
	penalty := e.failurePenalty(params)
	if penalty > otherZonePenalty*float64(params.fastest) && penalty > float64(r.LocalWait) {
		return false
	}
	return r.LocalGateDecides || e.expectedWait(params) <= r.LocalWait
}

// failurePenalty returns the score penalty for the back end's failure rate, in nanoseconds.
func (e *endpoint) failurePenalty(params scoreParams) float64 {
	return e.failureRate(params.now) * params.failureCost * float64(params.fastest)
}

// failureRate returns the reported failure rate, decayed by the age of the report.
func (e *endpoint) failureRate(now time.Duration) float64 {
	if e.gate.report.FailureRate == 0 {
		return 0
	}
	return e.gate.report.FailureRate * clock.DecayFactor(now-e.gate.at, failureHalfLife)
}

// gateScore estimates the time a call takes at the gate, in nanoseconds: wait, service time, and penalties for
// distance and failures. Lower is better.
func (e *endpoint) gateScore(params scoreParams) float64 {
	now, fastest := params.now, params.fastest
	service := e.agedServiceTime(now, fastest)
	if service == 0 {
		service = max(1, float64(fastest))
	}
	utilization := float64(e.gateLoad(now)) / float64(e.gateCapacity())
	service *= e.serviceFactor(now)
	score := float64(e.expectedWait(params)) + service*(1+loadPenalty*utilization)
	score += e.distancePenalty(fastest)
	score += e.failurePenalty(params)
	return score / e.weight(now)
}

// recordReport stores the newest report of the back end's gate.
func (e *endpoint) recordReport(now time.Duration, report exchange.Report) {
	serviceTimeAt := e.gate.serviceTimeAt
	if report.ServiceTime != e.gate.report.ServiceTime {
		serviceTimeAt = now
	}
	e.gate = gateState{report: report, at: now, reported: true, serviceTimeAt: serviceTimeAt, limitPauses: e.gate.limitPauses}
}

// UpdateGateReport stores the report that came with a gate's response, including the wait for its link.
func (t *Ticket) UpdateGateReport(now time.Duration, report exchange.Report) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.endpoint.recordReport(now, report)
	t.endpoint.gate.priority = t.priority
	if report.Limit.Named {
		t.pool.config.Statements.SetLimit(t.ID, t.Incarnation, report.Limit)
	}
	t.endpoint.link = linkState{wait: report.LinkWait, at: now}
}

// UpdateReport stores a back end's report that arrived without a response. It ignores back ends outside the pool:
// they may belong to another node's subset.
func (p *Pool) UpdateReport(now time.Duration, sender exchange.Sender) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.target.ID == sender.ID {
			e.recordReport(now, sender.Report)
		}
	}
}

// Eject ejects the back end for at least pause. The ejection is ignored while too few usable back ends remain.
func (t *Ticket) Eject(now, pause time.Duration) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.endpoint.ejectedUntil = max(t.endpoint.ejectedUntil, now+pause)
}

// MarkLeaving marks this incarnation of the back end as leaving.
func (t *Ticket) MarkLeaving() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.pool.markLeaving(t.endpoint)
}

// AppendExcluded returns list, to which the ID of the ticket's back end is appended unless it is there.
func (t *Ticket) AppendExcluded(list []string) []string {
	if slices.Contains(list, t.ID) {
		return list
	}
	return append(list, t.ID)
}
