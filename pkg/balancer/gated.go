package balancer

import (
	"slices"
	"time"

	"bramblelift/pkg/clock"
	"bramblelift/pkg/exchange"
)

// Tuning of the choice between gates.
const (
	// loadShare is what a fully used back end adds, in its own service times: many slow
	// down before they are full.
	loadShare = 0.5
	// scoreJitter spreads choices between gates of nearly equal score, so that nodes
	// which heard the same reports don't all go to the same one.
	scoreJitter = 0.15
	// reportMemory is after how long a report says nothing of the load any more.
	reportMemory = 500 * time.Millisecond
	// failureCost is what a certain failure of the call adds to a score, in service times
	// of the fastest back end: one that may be repeated costs another attempt, any other is
	// lost to its caller.
	failureCost         = 20.0
	failureCostRepeated = 6.0
	// failingMemory is after how long a report of failures counts half: a back end that
	// gets no calls for them must be tried again.
	failingMemory = 2 * time.Second
	// maxOwnFailing is up to which share of failed calls the back end beside the node is
	// preferred.
	maxOwnFailing = 0.05
	// assumedCapacity is used until a gate or the endpoint tells.
	assumedCapacity = 8
)

// gateView is a gate as its last report and this node's own calls show it.
type gateView struct {
	report   exchange.Report
	at       time.Duration
	reported bool
	// sent counts the calls sent there since the report.
	sent int
}

// Gated reports whether the service's back ends are reached through gates.
func (p *Pool) Gated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints) == 0 || p.endpoints[0].target.Gate != ""
}

// GateRequest is what the choice of a gate must know of a call.
type GateRequest struct {
	// LeftOut are back ends that must not be chosen.
	LeftOut []string
	// Regions are the only ones that may serve the call; empty means all.
	Regions []string
	// Spared are other regions whose back ends are left out, if the own one has any that may serve the
	// call: the link there is crowded.
	Spared []string
	// LocalWait is for how long the call may wait at a gate of the node's own zone while
	// another zone might take it at once: bytes between zones cost.
	LocalWait time.Duration
	// AskLocal lets the gates of the own zone decide whether the wait is too long: they
	// know the ranks of those that wait. It is for calls that cost much elsewhere.
	AskLocal bool
	// Patience is for how long it may wait where nobody takes it at once.
	Patience time.Duration
	// LargeAnswer is set if the answer is expected to be large: back ends whose link is full are
	// passed over while others have room.
	LargeAnswer bool
	// Repeatable is set if another back end may run the call after one that failed.
	Repeatable bool
	// OwnWork is up to which service time the back end beside the node is preferred to all
	// others; zero for not at all. Its load is known exactly, and the call takes no further
	// hop.
	OwnWork time.Duration
	// OwnWait is for how long it may wait there, zero for not at all.
	OwnWait time.Duration
	// FreeWork, if not zero, prefers back ends that are known to have a free slot and whose
	// service time is no more than that, wherever they are and however much slower than others.
	FreeWork time.Duration
	// Version is which side of a rollout the call goes to.
	Version VersionChoice
}

// failureCost is what a certain failure of the call adds to a score, in service times.
func (r GateRequest) failureCost() float64 {
	if r.Repeatable {
		return failureCostRepeated
	}
	return failureCost
}

// AcquireGate picks a gate: one of the own zone if the call will not wait there for longer
// than LocalWait, or else the one at which it is expected to be done first. It returns how
// long the call may wait there before the gate must refuse it.
func (p *Pool) AcquireGate(now time.Duration, r GateRequest) (*Ticket, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(now, r.LeftOut, r.Regions)
	if len(r.Spared) > 0 && p.servedNear(r.Regions) {
		candidates = slices.DeleteFunc(candidates, func(e *endpoint) bool { return slices.Contains(r.Spared, e.target.Region) })
	}
	if len(candidates) == 0 {
		return nil, 0, p.noEndpoint()
	}
	candidates, err := withColdRoom(candidates, now, r.Patience)
	if err != nil {
		return nil, 0, err
	}
	candidates = r.Version.prefer(candidates)
	if own := p.ownGate(candidates, now, r.OwnWork); own != nil {
		return p.acquired(own), r.OwnWait, nil
	}
	rating := gateRating{now: now, fastest: fastestService(candidates), failureCost: r.failureCost(), largeAnswer: r.LargeAnswer}
	if free := p.freeGate(candidates, rating, r.FreeWork); free != nil {
		return p.acquired(free), r.Patience, nil
	}
	local := slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool { return !r.staysLocal(e, rating) })
	wait := r.LocalWait
	best := p.bestGate(local, rating)
	if best == nil {
		best = p.bestGate(candidates, rating)
		wait = 0
		if best.gateLoad(now) >= best.gateCapacity() {
			wait = r.Patience
		}
	}
	if best.coldLeft(now) > 0 {
		wait = r.Patience
	}
	return p.acquired(best), wait, nil
}

// acquired notes a call on its way to a gate.
func (p *Pool) acquired(e *endpoint) *Ticket {
	e.inFlight++
	e.gate.sent++
	return &Ticket{
		pool: p, endpoint: e, Address: e.target.Gate,
		ID: e.target.ID, Incarnation: e.target.Incarnation, Version: e.target.Version,
	}
}

// ownGate returns the back end beside the node if it is a candidate, fails few calls and
// takes no longer for one than work; otherwise nil.
func (p *Pool) ownGate(candidates []*endpoint, now, work time.Duration) *endpoint {
	if p.config.OwnGate == "" || work <= 0 {
		return nil
	}
	for _, e := range candidates {
		if e.target.Gate == p.config.OwnGate && e.takesOwn(now, work) {
			return e
		}
	}
	return nil
}

// takesOwn reports whether the back end beside the node is good enough to be preferred.
func (e *endpoint) takesOwn(now, work time.Duration) bool {
	service := time.Duration(e.slowness(now) * float64(e.gate.report.Service))
	return service <= work && e.failing(now) <= maxOwnFailing && e.coldWait(now) == 0
}

// freeGate returns the best of the candidates that lately said that they have a free slot, nil if
// none did.
func (p *Pool) freeGate(candidates []*endpoint, rating gateRating, work time.Duration) *endpoint {
	if work <= 0 {
		return nil
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool {
		known := e.gate.reported && rating.now-e.gate.at <= reportMemory
		if rating.largeAnswer && e.linkWait(rating.now) > e.gate.report.Service {
			return true
		}
		return !known || e.gateLoad(rating.now) >= e.gateCapacity() || e.gate.report.Service > work || e.coldLeft(rating.now) > 0
	})
	return p.bestGate(free, rating)
}

// bestGate returns the candidate of the least score, nil if there is none.
func (p *Pool) bestGate(candidates []*endpoint, rating gateRating) *endpoint {
	var best *endpoint
	bestScore := 0.0
	for _, e := range candidates {
		score := e.gateScore(rating) * (1 + scoreJitter*float64(p.config.Random(1000))/1000)
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// gateWait estimates how long a call would wait at the gate.
func (e *endpoint) gateWait(now time.Duration) time.Duration {
	over := e.gateLoad(now) + 1 - e.gateCapacity()
	full := time.Duration(max(0, over)) * e.gate.report.Service / time.Duration(e.gateCapacity())
	return max(full, e.coldWait(now))
}

// fastestService is the least service time among back ends, zero if none is known.
func fastestService(candidates []*endpoint) time.Duration {
	var fastest time.Duration
	for _, e := range candidates {
		service := e.gate.report.Service
		if service > 0 && (fastest == 0 || service < fastest) {
			fastest = service
		}
	}
	return fastest
}

// MeanService is the mean of how long calls take at the back ends, zero if it is not known.
func (p *Pool) MeanService() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum time.Duration
	count := time.Duration(0)
	for _, e := range p.endpoints {
		if e.gate.report.Service > 0 {
			sum += e.gate.report.Service
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

func (e *endpoint) gateCapacity() int {
	switch {
	case e.gate.reported:
		return max(1, e.gate.report.Capacity)
	case e.target.Capacity > 0:
		return e.target.Capacity
	}
	return assumedCapacity
}

// gateLoad estimates how many calls are at work or wait at the gate.
func (e *endpoint) gateLoad(now time.Duration) int {
	if !e.gate.reported || now-e.gate.at > reportMemory {
		return e.inFlight
	}
	return max(e.inFlight, e.gate.report.Running+e.gate.report.Queued+e.gate.sent)
}

// gateRating is what all gates are rated by for one call.
type gateRating struct {
	now time.Duration
	// fastest is the least service time of the candidates.
	fastest     time.Duration
	failureCost float64
	largeAnswer bool
}

// staysLocal reports whether a back end is of the node's own zone and good enough to be
// preferred for it.
func (r GateRequest) staysLocal(e *endpoint, rating gateRating) bool {
	if e.remote {
		return false
	}
	risk := e.failureRisk(rating)
	if risk > remoteShare*float64(rating.fastest) && risk > float64(r.LocalWait) {
		return false
	}
	return r.AskLocal || e.roomWait(rating) <= r.LocalWait
}

// failureRisk is what the back end's failures add to its score.
func (e *endpoint) failureRisk(rating gateRating) float64 {
	return e.failing(rating.now) * rating.failureCost * float64(rating.fastest)
}

// failing is the share of calls that the back end is expected to fail.
func (e *endpoint) failing(now time.Duration) float64 {
	if e.gate.report.Failing == 0 {
		return 0
	}
	return e.gate.report.Failing * clock.Kept(now-e.gate.at, failingMemory)
}

// gateScore is about how long a call takes at the gate, with its wait and what its failure
// would cost; less is better.
func (e *endpoint) gateScore(rating gateRating) float64 {
	now, fastest := rating.now, rating.fastest
	service := float64(e.gate.report.Service)
	if service == 0 {
		service = max(1, float64(fastest))
	}
	share := float64(e.gateLoad(now)) / float64(e.gateCapacity())
	service *= e.slowness(now)
	score := float64(e.roomWait(rating)) + service*(1+loadShare*share)
	score += e.distanceCost(fastest)
	score += e.failureRisk(rating)
	return score / e.weight(now)
}

// heard takes in the newest report of the back end's gate.
func (e *endpoint) heard(now time.Duration, report exchange.Report) {
	e.gate = gateView{report: report, at: now, reported: true}
}

// ReportGate takes in a gate's report.
func (t *Ticket) ReportGate(now time.Duration, report exchange.Report) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.endpoint.heard(now, report)
	t.endpoint.link = linkView{wait: report.LinkWait, at: now}
}

// HearOf takes in a report of a back end that did not come with an answer. One that the pool does
// not have is passed over: it may belong to another node's subset.
func (p *Pool) HearOf(now time.Duration, sender exchange.Sender) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.target.ID == sender.ID {
			e.heard(now, sender.Report)
		}
	}
}

// Avoid leaves the back end out for a while, unless too few would remain.
func (t *Ticket) Avoid(now, pause time.Duration) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.endpoint.ejectedTo = max(t.endpoint.ejectedTo, now+pause)
}

// Leave takes in that the back end has left for good.
func (t *Ticket) Leave() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.pool.leave(t.endpoint)
}

// LeftOut returns a list with one more back end.
func (t *Ticket) LeftOut(list []string) []string {
	if slices.Contains(list, t.ID) {
		return list
	}
	return append(list, t.ID)
}
