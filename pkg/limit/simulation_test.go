package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/limit"
)

const (
	simStep     = time.Millisecond
	simLength   = 40 * time.Second
	simCapacity = 6
	// A back end that names a rate may get simFactor times that rate plus simSlack calls in simWindow, counting nodes that
	// passed on an answer with a limit toldDelay before, from simGrace after it was first named.
	simWindow = 4 * time.Second
	simGrace  = 3 * time.Second
	simFactor = 1.5
	simSlack  = 5
	toldDelay = 500 * time.Millisecond
)

// simulation is one back end, its gate and the nodes that send it calls, in virtual time. Calls that the gate cannot admit
// at once are rejected.
type simulation struct {
	rng   *rand.Rand
	now   time.Duration
	nodes []*simNode
	gate  simGate
	// rate is what the back end names, negative for none; limits holds the series of named rates.
	rate   float64
	limits []simLimit
	work   time.Duration
	// arrived holds the arrivals of the current series that count; events are messages in transit.
	arrived []time.Duration
	events  map[time.Duration][]func()
	// fullest is the largest share of what is allowed that a window held.
	fullest                    float64
	calls, rejected, atArrival int
}

type simLimit struct {
	at   time.Duration
	rate float64
}

// simNode is a node; a new process run forgets the statements.
type simNode struct {
	statements *balancer.Statements
	run        int
	disturbed  time.Duration // until when
	told       []time.Duration
	perSecond  float64
}

// simGate is the process of the gate; a new process run forgets the limiter.
type simGate struct {
	limiter limit.Limiter
	run     int
	running int
	// absentUntil is when the gate learns of its back end, frozenUntil when it goes on.
	absentUntil, frozenUntil time.Duration
}

const (
	backendID   = "b1"
	incarnation = 1
)

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 5)), rate: -1, events: map[time.Duration][]func(){}}
	s.work = time.Duration(3+s.rng.IntN(300)) * time.Millisecond
	demand := 1 + s.rng.Float64()*2*simCapacity/s.work.Seconds()
	for range 2 + s.rng.IntN(40) {
		s.nodes = append(s.nodes, &simNode{statements: balancer.NewStatements()})
	}
	for _, n := range s.nodes {
		n.perSecond = demand / float64(len(s.nodes))
	}
	return s
}

// after schedules an event.
func (s *simulation) after(delay time.Duration, event func()) {
	at := s.now + max(simStep, delay.Truncate(simStep))
	s.events[at] = append(s.events[at], event)
}

func (s *simulation) transit() time.Duration {
	return time.Duration(1+s.rng.IntN(4)) * time.Millisecond
}

// send sends a call from a node to the gate, with the limit that the node knows.
func (s *simulation) send(n *simNode) {
	s.calls++
	known, knows := n.statements.KnownLimit(backendID, incarnation)
	run := n.run
	s.after(s.transit(), func() { s.receive(n, run, known, knows) })
}

// receive is the arrival of a call at the gate.
func (s *simulation) receive(n *simNode, run int, known exchange.KnownLimit, knows bool) {
	g := &s.gate
	if s.now < g.frozenUntil {
		s.after(g.frozenUntil-s.now, func() { s.receive(n, run, known, knows) })
		return
	}
	if s.now < g.absentUntil {
		s.respond(n, run, false, false, exchange.Limit{})
		return
	}
	if knows {
		g.limiter.Adopt(s.now, known.Rate)
	}
	if g.running >= simCapacity || g.limiter.Wait(s.now, 0, 0) > 0 {
		s.rejected++
		s.respond(n, run, false, false, s.report())
		return
	}
	g.limiter.Charge(s.now)
	g.running++
	admittedAt, gateRun := s.now, g.run
	s.after(0, func() { s.arrive(n) })
	s.after(s.work*time.Duration(50+s.rng.IntN(100))/100, func() { s.answer(n, run, gateRun, admittedAt) })
}

func (s *simulation) report() exchange.Limit {
	return exchange.Limit{Named: s.gate.limiter.Limited(), Rate: s.gate.limiter.Rate()}
}

// answer is the response of the back end, as it leaves the gate.
func (s *simulation) answer(n *simNode, run, gateRun int, admittedAt time.Duration) {
	g := &s.gate
	if gateRun != g.run {
		return // the connection ended with the gate's process
	}
	if s.now < g.frozenUntil {
		s.after(g.frozenUntil-s.now, func() { s.answer(n, run, gateRun, admittedAt) })
		return
	}
	g.running--
	if s.rate >= 0 {
		g.limiter.Name(s.now, s.rate)
	} else {
		g.limiter.Omit(admittedAt)
	}
	s.respond(n, run, true, s.rate >= 0, s.report())
}

// respond delivers a response to the node that sent the call, which passes it on.
func (s *simulation) respond(n *simNode, run int, answered, named bool, report exchange.Limit) {
	s.after(s.transit(), func() {
		if run != n.run {
			return
		}
		if s.now < n.disturbed {
			s.after(n.disturbed-s.now, func() { s.deliver(n, run, answered, named, report) })
			return
		}
		s.deliver(n, run, answered, named, report)
	})
}

func (s *simulation) deliver(n *simNode, run int, answered, named bool, report exchange.Limit) {
	if run != n.run {
		return
	}
	if report.Named || answered {
		n.statements.SetLimit(backendID, incarnation, report)
	}
	if named && s.rate >= 0 {
		n.told = append(n.told, s.now)
	}
}

// arrive checks a call that reaches the back end.
func (s *simulation) arrive(n *simNode) {
	s.atArrival++
	if len(s.limits) == 0 || s.now < n.disturbed || !n.isTold(s.now) {
		return
	}
	s.arrived = append(s.arrived, s.now)
	if s.now-s.limits[0].at < simGrace {
		return
	}
	for s.now-s.arrived[0] > simWindow {
		s.arrived = s.arrived[1:]
	}
	s.fullest = max(s.fullest, float64(len(s.arrived))/(simFactor*s.allowance()+simSlack))
}

// isTold reports whether the node passed on a limit for long enough, with no fault since.
func (n *simNode) isTold(now time.Duration) bool {
	for _, told := range n.told {
		if told >= n.disturbed {
			return now-told >= toldDelay
		}
	}
	return false
}

// allowance integrates the named rates over the window that ends now. The first one also counts for the time before it.
func (s *simulation) allowance() float64 {
	sum, begin := 0.0, s.now-simWindow
	for i, l := range s.limits {
		from, to := max(l.at, begin), s.now
		if i == 0 {
			from = begin
		}
		if i+1 < len(s.limits) {
			to = s.limits[i+1].at
		}
		sum += l.rate * max(0, (to-from).Seconds())
	}
	return sum
}

// changeLimit lets the back end name another limit or none.
func (s *simulation) changeLimit() {
	if s.rng.IntN(5) == 0 {
		s.rate, s.limits, s.arrived = -1, nil, nil
		for _, n := range s.nodes {
			n.told = nil
		}
		return
	}
	natural := simCapacity / s.work.Seconds()
	s.rate = s.rng.Float64() * s.rng.Float64() * natural
	s.limits = append(s.limits, simLimit{s.now, s.rate})
}

// injectFault restarts or freezes the gate, or restarts, freezes or cuts a node.
func (s *simulation) injectFault() {
	span := time.Duration(s.rng.IntN(1500)) * time.Millisecond
	g, n := &s.gate, s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(4) {
	case 0:
		s.gate = simGate{run: g.run + 1, absentUntil: s.now + span/4}
	case 1:
		g.frozenUntil = s.now + span
	case 2:
		n.statements, n.run, n.disturbed = balancer.NewStatements(), n.run+1, s.now+span
	case 3:
		n.disturbed = s.now + span
	}
}

func (s *simulation) execute() {
	nextChange, nextFault := 2*time.Second, 3*time.Second
	for ; s.now < simLength; s.now += simStep {
		for _, event := range s.events[s.now] {
			event()
		}
		delete(s.events, s.now)
		for _, n := range s.nodes {
			if s.now >= n.disturbed && s.rng.Float64() < n.perSecond*simStep.Seconds() {
				s.send(n)
			}
		}
		if s.now >= nextChange {
			s.changeLimit()
			nextChange = s.now + time.Duration(500+s.rng.IntN(9000))*time.Millisecond
		}
		if s.now >= nextFault {
			s.injectFault()
			nextFault = s.now + time.Duration(200+s.rng.IntN(3000))*time.Millisecond
		}
	}
}

// Limits that rise, fall and end hold over all nodes while the gate and the nodes restart, freeze and are cut off.
func TestLimitHoldsOverAllNodesThroughFaults(t *testing.T) {
	const seeds = 200
	fullest := 0.0
	for seed := range uint64(seeds) {
		s := newSimulation(seed)
		s.execute()
		fullest = max(fullest, s.fullest)
		if s.fullest > 1 {
			t.Errorf("seed %d: a window held %.2f of what is allowed", seed, s.fullest)
		}
	}
	t.Logf("%d seeds: fullest window %.2f of what is allowed", seeds, fullest)
}
