package balancer

import (
	"slices"
	"time"

	"bramblelift/pkg/exchange"
)

// Tuning of the choice between gates.
const (
	// remoteShare is what another zone adds to a score, in shares of a back end's
	// capacity: a call that crosses zones costs bytes and time.
	remoteShare = 0.3
	// scoreJitter spreads choices between gates of nearly equal score, so that nodes
	// which heard the same reports don't all go to the same one.
	scoreJitter = 0.15
	// reportMemory is after how long a report says nothing of the load any more.
	reportMemory = 500 * time.Millisecond
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
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.endpoints) == 0 || p.endpoints[0].target.Gate != ""
}

// AcquireGate picks the gate at which a call is expected to be done first, leaving out the
// given back ends. free says whether a slot is expected to be free there.
func (p *Pool) AcquireGate(now time.Duration, leftOut []string) (ticket *Ticket, free bool, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	candidates := p.candidates(now, leftOut)
	if len(candidates) == 0 {
		return nil, false, ErrNoEndpoint
	}
	fastest := fastestService(candidates)
	best := candidates[0]
	bestScore := 0.0
	for i, e := range candidates {
		score := e.gateScore(now, fastest) * (1 + scoreJitter*float64(p.config.Random(1000))/1000)
		if i == 0 || score < bestScore {
			best, bestScore = e, score
		}
	}
	free = best.gateLoad(now) < best.gateCapacity()
	best.inFlight++
	best.gate.sent++
	return &Ticket{
		pool: p, endpoint: best, Address: best.target.Gate,
		ID: best.target.ID, Incarnation: best.target.Incarnation,
	}, free, nil
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

// gateScore compares gates; less is better.
func (e *endpoint) gateScore(now, fastest time.Duration) float64 {
	share := float64(e.gateLoad(now)+1) / float64(e.gateCapacity())
	slowness := 1.0
	if fastest > 0 && e.gate.report.Service > 0 {
		slowness = float64(e.gate.report.Service) / float64(fastest)
	}
	score := (share + 0.5) * slowness
	if e.remote {
		score += remoteShare
	}
	return score / e.weight(now)
}

// ReportGate takes in a gate's report.
func (t *Ticket) ReportGate(now time.Duration, report exchange.Report) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.endpoint.gate = gateView{report: report, at: now, reported: true}
}

// Avoid leaves the back end out for a while, unless too few would remain.
func (t *Ticket) Avoid(now, pause time.Duration) {
	t.pool.mutex.Lock()
	defer t.pool.mutex.Unlock()
	t.endpoint.ejectedTo = max(t.endpoint.ejectedTo, now+pause)
}

// LeftOut returns a list with one more back end.
func (t *Ticket) LeftOut(list []string) []string {
	if slices.Contains(list, t.ID) {
		return list
	}
	return append(list, t.ID)
}
