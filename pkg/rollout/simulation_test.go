package rollout

import (
	"math/rand"
	"time"
)

const simulationStep = 10 * time.Millisecond

// defect describes how a version is bad.
type defect struct {
	fails, slow float64 // fraction of the responses
	factor      float64 // slowdown of slow responses
	from        time.Duration
	route       int // -1: all
	underLoad   bool
}

// scenario is the input of one simulated rollout.
type scenario struct {
	duration          time.Duration
	rate              float64
	old, new          int       // number of back ends of each version
	independentSpeeds bool      // speeds of machines are drawn one by one instead of from the same mix for both versions
	zoneWeights       []float64 // fraction of the calls in each zone
	bad               *defect   // nil for a good version
	leaderLosses      []time.Duration
	thirdPartitioned  [2]time.Duration // from, to: a third of the nodes is partitioned
	reportLoss        float64
	fullRestart       time.Duration // the judge is rebuilt from the committed state and all gates restart
	burst             [2]time.Duration
	failingOld        float64 // fraction of the old back ends that fail half of their calls
	oneNewFailing     bool    // one new back end fails half of its calls
	zoneFailing       [2]time.Duration
	backToCold        time.Duration
	gateRestarts      time.Duration    // interval at which the gate of a new back end restarts
	eager             bool             // nodes offer every call to the new version, whatever its share
	duplicates        bool             // clients send every call twice at once, the second marked as a repeat
	slowNode          bool             // one node receives state a second late or more
	coldFactor        float64          // slowdown of cold back ends
	allNewCold        bool             // at backToCold all new back ends become cold, otherwise a quarter of all back ends
	stateLoss         [2]time.Duration // from, to: most state updates are lost
}

type simBackend struct {
	index     int
	version   string
	zone      string
	speed     float64
	failing   bool
	start     time.Duration
	coldUntil time.Duration
	coldAt    time.Duration
	runID     uint64
	tally     Tally
	inFlight  int
	node      *simNode
}

// simNode holds a copy of the rollout; each back end and each caller has one.
type simNode struct {
	held          Rollout
	confirmed     time.Duration
	acked         uint64 // nonzero once the leader has seen it confirm a step
	heardAt       time.Duration
	partitioned   bool
	partitionedAt time.Duration // when it was partitioned last
	guard         FailureGuard
}

type simCall struct {
	route        int
	zone         int
	isRetry      bool
	markedRepeat bool // the gate recognises it as a retry
	to           *simBackend
	runID        uint64
	took         time.Duration
	failed       bool
	slow         bool
	cold         bool
	from         *simNode
}

type result struct {
	phase           Phase
	endedAt         time.Duration
	exposed         int
	allowed         float64
	granted         uint64
	lateCalls       int
	phaseViolations int
	overBudget      int // calls admitted beyond the exposure allowed at the time
	reason          string
	shares          []int
}

type delivery struct {
	m    *simNode
	held *Rollout
}

type simulation struct {
	scenario
	rng          *rand.Rand
	now          time.Duration
	epoch        time.Time
	backends     []*simBackend
	callers      []*simNode
	nodes        []*simNode
	endingCalls  map[int][]simCall
	state        []Rollout
	leaderAt     time.Duration // when the next leader is elected
	judge        *Judge
	pending      []Change
	pendingAt    []time.Duration
	inbox        map[int][]delivery
	reports      map[int][]Report
	nextRunID    uint64
	reached      int // distinct calls up to the deadline
	exposed      int
	bad          []time.Duration // when bad responses of the new version arrived
	newRate      float64         // decaying count of calls to the new version
	allRate      float64         // decaying count of all calls
	res          result
	candidates   []*simBackend
	staleChanges []Change
	staleAt      time.Duration
	done         bool
	// onStep, if set, is called at each step of the clock.
	onStep func()
}

var routeMillis = []float64{60, 180, 400}

var routeWeight = []float64{0.6, 0.9, 1}

func newSimulation(seed int64, w scenario) *simulation {
	sim := &simulation{
		scenario: w, rng: rand.New(rand.NewSource(seed)), epoch: time.UnixMilli(1_700_000_000_000),
		endingCalls: map[int][]simCall{}, inbox: map[int][]delivery{}, reports: map[int][]Report{},
	}
	speeds := []float64{0.7, 0.7, 1.6}
	offset := sim.rng.Intn(3)
	for i := 0; i < w.old+w.new; i++ {
		b := &simBackend{index: i, version: "v1", zone: string(rune('a' + i%len(w.zoneWeights))), node: &simNode{}}
		b.speed = speeds[(i+offset)%3]
		if w.independentSpeeds {
			b.speed = speeds[sim.rng.Intn(3)]
		}
		if i >= w.old {
			b.version = "v2"
			b.start = time.Duration(sim.rng.Intn(1500)) * time.Millisecond
			b.coldUntil = b.start + 3*time.Second
			b.failing = w.oneNewFailing && i == w.old
		} else {
			b.failing = float64(i) < w.failingOld*float64(w.old)
		}
		sim.nextRunID++
		b.runID = sim.nextRunID
		sim.backends = append(sim.backends, b)
	}
	for range 8 {
		sim.callers = append(sim.callers, &simNode{})
	}
	sim.nodes = append(sim.nodes, sim.callers...)
	for _, b := range sim.backends {
		sim.nodes = append(sim.nodes, b.node)
	}
	return sim
}

func (sim *simulation) allNodes() []*simNode { return sim.nodes }

func (sim *simulation) tick() int { return int(sim.now / simulationStep) }

func (sim *simulation) tickAfter(min, max int) int {
	return sim.tick() + 1 + (min+sim.rng.Intn(max-min+1))/int(simulationStep/time.Millisecond)
}

func within(now time.Duration, span [2]time.Duration) bool { return now >= span[0] && now < span[1] }

func (sim *simulation) held() *Rollout { return &sim.state[0] }

func (sim *simulation) run() result {
	start := Start(Order{Service: "s", Version: "v2", Duration: sim.duration}, nil, sim.epoch)
	sim.state, _ = Apply(nil, Change{start})
	for _, m := range sim.allNodes() {
		m.held = start // propagation of the order itself is not simulated
	}
	sim.judge = NewJudge(Policy{0.1, 50}, start)
	for sim.now = 0; sim.now < sim.duration+12*time.Second; sim.now += simulationStep {
		sim.injectFaults()
		sim.commit()
		if sim.onStep != nil {
			sim.onStep()
		}
		sim.exchangeMessages()
		sim.finishCalls()
		sim.sendCalls()
		if !sim.done && sim.held().Phase.Ended() {
			sim.done = true
			sim.res.phase, sim.res.endedAt, sim.res.reason = sim.held().Phase, sim.now, sim.held().Reason
		}
		if sim.done && sim.now > sim.duration && sim.now > sim.res.endedAt+6*time.Second {
			break
		}
	}
	if !sim.done {
		sim.res.phase, sim.res.reason = sim.held().Phase, sim.held().Reason
	}
	sim.res.exposed, sim.res.allowed, sim.res.granted = sim.exposed, 0.1*float64(sim.reached)+50, sim.held().Exposed()
	return sim.res
}

func (sim *simulation) injectFaults() {
	for _, at := range sim.leaderLosses {
		if sim.now == at {
			sim.leaderAt = sim.now + time.Duration(500+sim.rng.Intn(700))*time.Millisecond
			sim.proposeStale()
			sim.judge = nil
			sim.bad = nil // lateCalls is counted from the next 50 bad responses
			for _, m := range sim.nodes {
				m.acked, m.heardAt = 0, sim.leaderAt // a new leader has received nothing yet
			}
		}
	}
	if sim.fullRestart > 0 && sim.now == sim.fullRestart {
		sim.judge, sim.bad, sim.leaderAt = nil, nil, sim.now+time.Second
		sim.pending, sim.pendingAt, sim.inbox, sim.reports = nil, nil, map[int][]delivery{}, map[int][]Report{}
		for _, b := range sim.backends {
			sim.restartGate(b)
		}
		for _, m := range sim.callers {
			m.acked, m.confirmed = 0, -time.Hour
		}
	}
	if sim.gateRestarts > 0 && sim.now%sim.gateRestarts == 0 && sim.now > 0 {
		sim.restartGate(sim.backends[sim.old+sim.rng.Intn(sim.new)])
	}
	partitioned := within(sim.now, sim.thirdPartitioned)
	for i, m := range sim.allNodes() {
		m.partitioned = partitioned && i%3 == 0
		if m.partitioned {
			m.partitionedAt = sim.now
		}
	}
	if sim.backToCold > 0 && sim.now == sim.backToCold {
		for i, b := range sim.backends {
			if i%4 == 0 && !sim.allNewCold || sim.allNewCold && b.version == "v2" {
				b.coldAt, b.coldUntil = sim.now, sim.now+3*time.Second
			}
		}
	}
}

// proposeStale proposes one more step of the lost leader, which is committed after its successor has made
// steps.
func (sim *simulation) proposeStale() {
	if sim.judge == nil {
		return
	}
	next, changed := sim.judge.Next(sim.epoch.Add(sim.now), *sim.held(), sim.view())
	if !changed {
		next.Step++
	}
	sim.staleChanges = append(sim.staleChanges, Change{next})
	sim.staleAt = sim.now + 4*time.Second
}

func (sim *simulation) restartGate(b *simBackend) {
	sim.nextRunID++
	b.runID, b.tally, b.inFlight = sim.nextRunID, Tally{}, 0
	b.node.acked, b.node.confirmed = 0, -time.Hour
}

func (sim *simulation) commit() {
	if len(sim.staleChanges) > 0 && sim.now >= sim.staleAt {
		sim.pending, sim.pendingAt = append(sim.staleChanges, sim.pending...), append([]time.Duration{sim.now}, sim.pendingAt...)
		sim.staleChanges = nil
	}
	for len(sim.pending) > 0 && sim.pendingAt[0] <= sim.now {
		previous := *sim.held()
		sim.state, _ = Apply(sim.state, sim.pending[0])
		sim.pending, sim.pendingAt = sim.pending[1:], sim.pendingAt[1:]
		if sim.held().Step == previous.Step {
			continue
		}
		if sim.held().Exposed() < previous.Exposed() || previous.Phase.Ended() {
			sim.res.overBudget++ // a grant was lost or a final phase changed
		}
		if n := len(sim.res.shares); n == 0 || sim.res.shares[n-1] != sim.held().Share {
			sim.res.shares = append(sim.res.shares, int(sim.now/time.Millisecond), sim.held().Share)
		}
		if sim.held().Phase == Completed {
			sim.checkCompleted()
		}
	}
	if sim.now < sim.leaderAt || sim.now%(250*time.Millisecond) != 0 {
		return
	}
	if sim.judge == nil {
		sim.judge = NewJudge(Policy{0.1, 50}, *sim.held())
	}
	if len(sim.pending) > 0 {
		return
	}
	if next, changed := sim.judge.Next(sim.epoch.Add(sim.now), *sim.held(), sim.view()); changed {
		sim.pending = append(sim.pending, Change{next})
		sim.pendingAt = append(sim.pendingAt, sim.now+time.Duration(10+sim.rng.Intn(60))*time.Millisecond)
	}
}

// matchesHeld reports whether a step has the committed phase and share.
func (sim *simulation) matchesHeld(r Rollout) bool {
	return r.Phase == sim.held().Phase && r.Share == sim.held().Share
}

// connected reports whether a node has been connected for some seconds.
func (sim *simulation) connected(m *simNode) bool {
	return sim.now-m.heardAt <= LeaseTime && (m.partitionedAt == 0 || sim.now-m.partitionedAt > 3*time.Second)
}

func (sim *simulation) checkCompleted() {
	for _, m := range sim.allNodes() {
		if sim.connected(m) && m.held.Phase != Closing {
			sim.res.phaseViolations++
		}
	}
	for _, b := range sim.backends {
		if b.version == "v1" && b.inFlight > 0 && sim.connected(b.node) {
			sim.res.phaseViolations++
		}
	}
}

func (sim *simulation) view() View {
	var v View
	for _, m := range sim.allNodes() {
		if m.acked == 0 {
			continue // this leader has not heard from it
		}
		v.NodeStates = append(v.NodeStates, NodeState{Confirmed: sim.acked(m), SinceLastContact: sim.now - m.heardAt})
	}
	for _, b := range sim.backends {
		if sim.now >= b.start {
			life := b.runID
			if sim.judge.runs[life] == nil {
				life = 0 // the leader has no report of it
			}
			v.Gates = append(v.Gates, GateState{Version: b.version, Life: life, Confirmed: sim.acked(b.node), AtWork: b.inFlight, SinceLastContact: sim.now - b.node.heardAt})
		}
	}
	return v
}

func (sim *simulation) acked(m *simNode) bool {
	return m.acked > 0 && sim.matchesHeld(m.held)
}

// exchangeMessages carries state to nodes and reports to the leader.
func (sim *simulation) exchangeMessages() {
	for _, d := range sim.inbox[sim.tick()] {
		if d.m.partitioned {
			continue
		}
		if d.held.Step >= d.m.held.Step {
			d.m.held = *d.held
		}
		if sim.now-d.m.heardAt > LeaseTime {
			d.m.partitionedAt = sim.now
		}
		d.m.confirmed, d.m.heardAt, d.m.acked = sim.now, sim.now, 1
	}
	delete(sim.inbox, sim.tick())
	if sim.now < sim.leaderAt {
		return
	}
	for _, r := range sim.reports[sim.tick()] {
		if sim.judge != nil {
			sim.judge.AddReport(sim.epoch.Add(sim.now), r)
		}
	}
	delete(sim.reports, sim.tick())
	if sim.now%(100*time.Millisecond) == 0 {
		held := *sim.held()
		loss := sim.reportLoss / 2
		if within(sim.now, sim.stateLoss) {
			loss = 0.9
		}
		for _, m := range sim.allNodes() {
			if !m.partitioned && sim.rng.Float64() > loss {
				at := sim.tickAfter(20, 250)
				if sim.slowNode && m == sim.callers[0] {
					at = sim.tickAfter(1000, 1500)
				}
				sim.inbox[at] = append(sim.inbox[at], delivery{m, &held})
			}
		}
	}
	if sim.now%(250*time.Millisecond) != 0 {
		return
	}
	for _, b := range sim.backends {
		if sim.now < b.start || b.node.partitioned || sim.rng.Float64() < sim.reportLoss {
			continue
		}
		r := Report{Service: "s", Number: sim.held().Number, Version: b.version, Zone: b.zone, Life: b.runID, Cold: sim.cold(b)}
		b.tally.Fill(&r)
		at := sim.tickAfter(10, 150)
		sim.reports[at] = append(sim.reports[at], r)
	}
}
