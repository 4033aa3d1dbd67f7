package quota

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"
)

const (
	simStep        = 10 * time.Millisecond
	limitApplyTime = 2 * time.Second // a lowered limit must hold after this time
)

var testPolicy = Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// span is an interval of simulated time.
type span struct{ from, to time.Duration }

func (s span) contains(now time.Duration) bool { return now >= s.from && now < s.to }

// scenario configures one simulation.
type scenario struct {
	nodes, replicas, tenants int
	perSecond                float64
	length                   time.Duration
	floods                   []flood
	partition                span // isolates a third of the nodes and their replica
	leaderLost               time.Duration
	powerLost                span
	loweredAt                time.Duration // when the largest tenant's limit is multiplied by loweredTo
	loweredTo                float64
	moving                   bool          // each tenant's clients use few nodes and change them
	restarts                 bool          // a node restarts twice a second
	restartOneOfThree        time.Duration // interval of restarts of one of the three nodes that serve all clients
	restartAllThree          bool          // all three of these nodes restart together
	restartUnnoticed         bool          // no replica notices the end of a process run
	restartAtOtherReplica    bool          // restarted nodes connect to a random replica
	restartReplicas          bool          // the replicas of restarted nodes restart too
	latePingFraction         float64       // pings delayed by half a second
}

type flood struct {
	span
	tenant int
	factor float64 // multiplies the tenant's call rate
}

// tenantTraffic is the simulated load of one tenant and the calls admitted for it.
type tenantTraffic struct {
	name         string
	rate         float64 // calls per second
	limit        Limit
	bucketLevel  float64       // tokens in an ideal bucket that knows all calls
	at           time.Duration // time of the last refill of the bucket
	servingNodes []int
	admitted     []time.Duration
	// expected and served are the calls that the ideal bucket admits and those admitted by the nodes, by
	// window.
	expected, served map[int]int
	loweredAt        time.Duration
}

type simNode struct {
	limiter    *Limiter
	started    time.Duration
	nextPing   time.Duration
	replica    int
	reportSoon bool
	// lastArrival is when the last ping arrives; pings keep their order.
	lastArrival time.Duration
	// starts counts the process runs.
	starts uint64
}

// simReplica is a replica's process; it is replaced when the replica restarts.
type simReplica struct {
	*Replica
}

// message is a delivery scheduled for a later time.
type message struct {
	run func()
}

type simulation struct {
	scenario
	rng      *rand.Rand
	now      time.Duration
	traffic  []*tenantTraffic
	nodes    []*simNode
	replicas []*simReplica
	leader   *Allocator
	leaderAt time.Duration               // when the next leader is elected
	inbox    map[time.Duration][]message // by delivery time
}

func newSimulation(seed int64, sc scenario) *simulation {
	sim := &simulation{scenario: sc, rng: rand.New(rand.NewSource(seed)), inbox: map[time.Duration][]message{}}
	weights, sum := make([]float64, sc.tenants), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -1.2)
		sum += weights[i]
	}
	for i, weight := range weights {
		rate := weight / sum * sc.perSecond
		limit := Limit{Rate: math.Ceil(1.6 * rate), Burst: math.Ceil(1.6 * rate)}
		sim.traffic = append(sim.traffic, &tenantTraffic{name: fmt.Sprintf("t%d", i), rate: rate, limit: limit, bucketLevel: limit.Burst, expected: map[int]int{}, served: map[int]int{}})
	}
	for i := range sc.replicas {
		sim.replicas = append(sim.replicas, &simReplica{NewReplica(fmt.Sprint(i), testPolicy)})
	}
	for i := range sc.nodes {
		sim.nodes = append(sim.nodes, &simNode{replica: i % sc.replicas})
		sim.startNode(i, -time.Minute)
	}
	sim.leader = NewAllocator(-time.Minute, testPolicy)
	sim.moveClients()
	return sim
}

func (sim *simulation) startNode(i int, at time.Duration) {
	n := sim.nodes[i]
	n.started, n.nextPing, n.reportSoon = at, max(0, at)+sim.randomDelay(0, 400), false
	n.starts++
	n.limiter = NewLimiter(Config{Window: testPolicy.Window, Life: n.starts, OnSurge: func() { n.reportSoon = true }})
	n.limiter.SetLimits(sim.now-at, sim.limits())
}

func (sim *simulation) limits() map[string]Limit {
	limits := map[string]Limit{}
	for _, tr := range sim.traffic {
		limits[tr.name] = tr.limit
	}
	return limits
}

func (sim *simulation) randomDelay(low, high int) time.Duration {
	return time.Duration(low+sim.rng.Intn(high-low+1)) * time.Millisecond / simStep * simStep
}

// moveClients assigns serving nodes to each tenant.
func (sim *simulation) moveClients() {
	for _, tr := range sim.traffic {
		tr.servingNodes = sim.rng.Perm(sim.scenario.nodes)
		if sim.restartOneOfThree > 0 {
			tr.servingNodes = sim.traffic[0].servingNodes[:3]
		}
		if sim.moving {
			tr.servingNodes = tr.servingNodes[:max(2, sim.scenario.nodes/10)]
		}
	}
}

func (sim *simulation) run() {
	for sim.now = 0; sim.now < sim.length; sim.now += simStep {
		sim.injectFaults()
		for _, m := range sim.inbox[sim.now] {
			m.run()
		}
		delete(sim.inbox, sim.now)
		if sim.powerLost.contains(sim.now) {
			continue
		}
		sim.generateCalls()
		for i := range sim.nodes {
			sim.ping(i)
		}
		if sim.now%(100*time.Millisecond) == 0 {
			sim.sum()
			sim.allocate()
		}
	}
}

func (sim *simulation) scheduleAfter(low, high int, run func()) {
	sim.at(sim.now+simStep+sim.randomDelay(low, high), run)
}

func (sim *simulation) at(at time.Duration, run func()) {
	sim.inbox[at] = append(sim.inbox[at], message{run: run})
}

// isPartitioned reports whether a replica and its nodes are isolated.
func (sim *simulation) isPartitioned(replica int) bool {
	return replica == sim.scenario.replicas-1 && sim.partition.contains(sim.now)
}

func (sim *simulation) injectFaults() {
	if sim.leaderLost > 0 && sim.now == sim.leaderLost {
		sim.leader, sim.leaderAt = nil, sim.now+sim.randomDelay(500, 1500)
	}
	if sim.leader == nil && sim.now >= sim.leaderAt && !sim.powerLost.contains(sim.now) {
		sim.leader = NewAllocator(sim.now, testPolicy)
	}
	if sim.powerLost.from > 0 && sim.now == sim.powerLost.from {
		sim.leader, sim.leaderAt = nil, sim.powerLost.to+sim.randomDelay(200, 900)
		sim.inbox = map[time.Duration][]message{}
		for i := range sim.replicas {
			sim.replicas[i] = &simReplica{NewReplica(fmt.Sprint(i), testPolicy)}
		}
	}
	if sim.powerLost.to > 0 && sim.now == sim.powerLost.to {
		for i := range sim.nodes {
			sim.startNode(i, sim.now)
		}
	}
	if sim.restarts && sim.now%(500*time.Millisecond) == 0 {
		i := sim.rng.Intn(sim.scenario.nodes)
		sim.replicas[sim.nodes[i].replica].RecordDeparture(sim.now, fmt.Sprint(i))
		sim.startNode(i, sim.now)
	}
	if sim.restartOneOfThree > 0 && sim.now%sim.restartOneOfThree == 0 {
		sim.restartServingNodes()
	}
	if sim.moving && sim.now%(3*time.Second) == 0 {
		sim.moveClients()
	}
	if sim.loweredAt > 0 && sim.now == sim.loweredAt {
		tr := sim.traffic[0]
		sim.refill(tr)
		tr.limit = Limit{Rate: math.Ceil(sim.loweredTo * tr.limit.Rate), Burst: math.Ceil(sim.loweredTo * tr.limit.Burst)}
		tr.bucketLevel, tr.loweredAt = min(tr.bucketLevel, tr.limit.Burst), sim.now
		for _, n := range sim.nodes {
			sim.scheduleAfter(20, 400, func() { n.limiter.SetLimits(sim.now-n.started, sim.limits()) })
		}
	}
}

// restartServingNodes restarts one or all of the three nodes that serve all clients.
func (sim *simulation) restartServingNodes() {
	nodes := sim.traffic[0].servingNodes[:3]
	if !sim.restartAllThree {
		one := sim.rng.Intn(3)
		nodes = nodes[one : one+1]
	}
	for _, i := range nodes {
		if !sim.restartUnnoticed {
			sim.replicas[sim.nodes[i].replica].RecordDeparture(sim.now, fmt.Sprint(i))
		}
		if replica := sim.nodes[i].replica; sim.restartReplicas {
			sim.replicas[replica] = &simReplica{NewReplica(fmt.Sprint(replica), testPolicy)}
		}
		if sim.restartAtOtherReplica {
			sim.nodes[i].replica = sim.rng.Intn(sim.scenario.replicas)
		}
		sim.startNode(i, sim.now)
	}
}

func (sim *simulation) refill(tr *tenantTraffic) {
	tr.bucketLevel = min(tr.limit.Burst, tr.bucketLevel+tr.limit.Rate*(sim.now-tr.at).Seconds())
	tr.at = sim.now
}

func (sim *simulation) generateCalls() {
	for i, tr := range sim.traffic {
		rate := tr.rate
		for _, flood := range sim.floods {
			if flood.tenant == i && flood.contains(sim.now) {
				rate *= flood.factor
			}
		}
		for sim.rng.Float64() < rate*simStep.Seconds() {
			rate -= 1 / simStep.Seconds() * 0.999
			sim.call(tr)
			if rate <= 0 {
				break
			}
		}
		for rate > 1/simStep.Seconds() {
			rate -= 1 / simStep.Seconds()
			sim.call(tr)
		}
	}
}

func (sim *simulation) call(tr *tenantTraffic) {
	i := tr.servingNodes[sim.rng.Intn(len(tr.servingNodes))]
	n := sim.nodes[i]
	sim.refill(tr)
	if n.started > 0 && !sim.restarts && sim.restartOneOfThree == 0 && sim.leader == nil {
		return // a new node serves no calls before its configuration is confirmed
	}
	if sim.now < 2*time.Second {
		return // nodes don't know each other yet
	}
	window := int(sim.now / testPolicy.Window)
	if tr.bucketLevel >= 1 {
		tr.bucketLevel--
		tr.expected[window]++
	}
	if admitted, _ := n.limiter.Admit(sim.now-n.started, tr.name, false); admitted {
		tr.admitted = append(tr.admitted, sim.now)
		tr.served[window]++
	}
}

// missingCalls returns how many fewer calls the nodes admitted than the ideal bucket, summed over the windows with a
// shortfall, and how many the bucket admitted.
func (tr *tenantTraffic) missingCalls() (missingCalls, expected int) {
	for window, n := range tr.expected {
		expected += n
		missingCalls += max(0, n-tr.served[window])
	}
	return missingCalls, expected
}

func (sim *simulation) ping(i int) {
	n := sim.nodes[i]
	if sim.now < n.nextPing && !n.reportSoon {
		return
	}
	if n.reportSoon && sim.now < n.nextPing-350*time.Millisecond {
		return // at least 50 ms after the last ping
	}
	n.nextPing, n.reportSoon = sim.now+sim.randomDelay(300, 500), false
	limiter, sent := n.limiter, sim.now
	report := limiter.Report(sim.now - n.started)
	late := time.Duration(0)
	if sim.rng.Float64() < sim.latePingFraction {
		late = 500 * time.Millisecond
	}
	n.lastArrival = max(n.lastArrival, sim.now+simStep+late+sim.randomDelay(1, 20))
	replica := sim.replicas[n.replica]
	sim.at(n.lastArrival, func() {
		shares, known := replica.Record(sim.now, fmt.Sprint(i), report)
		if !known {
			return
		}
		started := n.started
		sim.scheduleAfter(1, 20, func() { limiter.ApplyShares(sim.now-started, sent-started, shares) })
	})
}

func (sim *simulation) sum() {
	for i, r := range sim.replicas {
		sum := r.Sum(sim.now)
		partitioned := sim.isPartitioned(i)
		sim.scheduleAfter(1, 10, func() {
			if sim.leader != nil && !partitioned {
				sim.leader.Record(sim.now, sum)
			}
		})
		sim.push(i, r.Alone(sim.now, sim.limits()))
	}
}

func (sim *simulation) allocate() {
	if sim.leader == nil {
		return
	}
	shares, known := sim.leader.Shares(sim.now, sim.limits())
	if !known {
		return
	}
	for i, r := range sim.replicas {
		if sim.isPartitioned(i) {
			continue
		}
		forReplica := sim.leader.For(fmt.Sprint(i), shares)
		sim.scheduleAfter(1, 10, func() {
			if !sim.isPartitioned(i) {
				sim.push(i, r.ApplyShares(sim.now, forReplica))
			}
		})
	}
}

func (sim *simulation) push(replica int, changes Shares) {
	at := sim.now
	if len(changes.List) == 0 {
		return
	}
	for _, n := range sim.nodes {
		if n.replica == replica {
			limiter, started := n.limiter, n.started
			sim.scheduleAfter(1, 20, func() { limiter.ApplyShares(sim.now-started, at-started, changes) })
		}
	}
}

// worstWindow returns the largest excess of a window over the allowed calls and the largest ratio to them.
func (tr *tenantTraffic) worstWindow() (excess float64, maxRatio float64) {
	from := tr.admitted
	if tr.loweredAt > 0 {
		i, _ := slices.BinarySearchFunc(from, tr.loweredAt+limitApplyTime, cmp.Compare)
		from = from[i:]
	}
	allowed := (tr.limit.Rate*testPolicy.Window.Seconds()+tr.limit.Burst)*(1+testPolicy.Overage) + testPolicy.Slack
	first := 0
	for i, at := range from {
		for at-from[first] >= testPolicy.Window {
			first++
		}
		n := float64(i - first + 1)
		excess, maxRatio = max(excess, n-allowed), max(maxRatio, n/allowed)
	}
	return excess, maxRatio
}
