package sim

import (
	"errors"
	"fmt"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/forward"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/proxy"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/routing"
	"bramblelift/pkg/storage"
)

// Traffic of a simulated node.
const (
	callInterval = 120 * time.Millisecond
	callDeadline = 1500 * time.Millisecond
	// onceShare is the share of calls that must run at most once.
	onceShare = 0.4
)

// node is a simulated node.
type node struct {
	process
	cluster *cluster
	group   string
	// disk is nil for a node without persistent state.
	disk      *disk
	store     *proxy.ConfigStore
	client    *subscriber
	table     *routing.Table
	pools     map[string]*balancer.Pool
	budget    *retry.Budget
	callCount int
	// stopping is set while the node drains; it admits no new calls then.
	stopping  bool
	openCalls int
	// knownLeaving holds the back ends that this process run knows to be leaving.
	knownLeaving map[string]bool
}

func (n *node) start() {
	if n.running {
		return
	}
	n.startRun()
	n.stopping = false
	n.openCalls = 0
	n.table = nil
	n.pools = map[string]*balancer.Pool{}
	n.budget = retry.NewBudget(retry.DefaultConfig())
	n.knownLeaving = map[string]bool{}
	n.simulation.log("%s starts", n.name)
	var files storage.FileSystem
	if n.disk != nil {
		files = n.disk
	}
	store, err := proxy.NewConfigStore(proxy.StoreConfig{
		Files: files, Group: n.group, Verifier: n.cluster.verifier,
		OnActivate: n.activate,
		OnFailure:  func(err error) { n.fail(err) },
	})
	if errors.Is(err, errDisk) {
		n.fail(err)
		return
	}
	if err != nil {
		n.simulation.violate(invariantRecovery, "%s cannot read its configuration: %v", n.name, err)
		n.endRun()
		return
	}
	n.store = store
	n.client = &subscriber{
		process: &n.process, network: n.cluster.network, target: store,
		hello:        protocol.Hello{Role: protocol.RoleNode, Name: n.name, Zone: n.zone, Group: n.group},
		selector:     n.cluster.selector(n.zone, n.cluster.relayProcesses()),
		lookup:       n.cluster.lookupRelay,
		pingInterval: nodePingInterval, silenceTimeout: nodeSilenceTimeout,
		onConfirmed: store.Confirmed,
	}
	store.Start()
	n.client.start()
	n.afterLocal(n.simulation.between(0, callInterval), n.generateTraffic)
}

func (n *node) kill() {
	if !n.running {
		return
	}
	n.simulation.log("%s is killed", n.name)
	n.endRun()
	if n.disk != nil {
		n.disk.crash()
	}
}

func (n *node) fail(err error) {
	n.simulation.log("%s exits: %v", n.name, err)
	n.endRun()
	n.disk.crash()
	n.simulation.after(time.Second, func() { n.start() })
}

// activate checks the invariants on a state and then routes calls by it.
func (n *node) activate(state *distribution.State) {
	n.cluster.observeNode(n, state)
	n.table = routing.New(state)
	for _, service := range n.table.Services {
		pool, found := n.pools[service.Name]
		if !found {
			pool = balancer.NewPool(balancer.Config{Node: n.name, Zone: n.zone, Random: n.simulation.random.IntN})
			n.pools[service.Name] = pool
		}
		pool.Update(n.clock(), service)
		for _, endpoint := range service.Endpoints {
			if endpoint.Leaving {
				n.knownLeaving[incarnationKey(endpoint.ID, endpoint.Incarnation)] = true
			}
		}
	}
}

func incarnationKey(id string, incarnation uint64) string {
	return fmt.Sprintf("%s#%d", id, incarnation)
}

// generateTraffic starts calls at random intervals while the node runs.
func (n *node) generateTraffic() {
	n.afterLocal(n.simulation.between(callInterval/2, callInterval*3/2), n.generateTraffic)
	if n.stopping {
		return
	}
	n.callCount++
	c := &simCall{
		node: n, id: fmt.Sprintf("%s-%d-%d", n.name, n.generation, n.callCount),
		once: n.simulation.chance(onceShare), deadline: n.clock() + callDeadline,
		nodeGeneration: n.generation,
	}
	n.openCalls++
	c.start()
}

// stop stops admitting calls and exits once the calls in flight have finished.
func (n *node) stop(stopped func()) {
	n.stopping = true
	n.simulation.log("%s begins a planned stop", n.name)
	n.awaitDrain(stopped)
}

func (n *node) awaitDrain(stopped func()) {
	if n.openCalls > 0 {
		n.afterLocal(50*time.Millisecond, func() { n.awaitDrain(stopped) })
		return
	}
	n.simulation.log("%s exits", n.name)
	n.endRun()
	stopped()
}

// simCall is a call in flight through a node. Its attempts are decided by the daemon's
// pool, retry budget and retry rule.
type simCall struct {
	node          *node
	id            string
	once          bool
	deadline      time.Duration
	attempts      int
	record        forward.OutcomeRecord
	triedBackends []string
	ended         bool
	// nodeGeneration is the process run of the node that owns the call.
	nodeGeneration int
	// ticket belongs to the attempt in flight; it is nil between attempts.
	ticket *balancer.Ticket
}

// releaseTicket reports the outcome of the attempt in flight to the pool.
func (c *simCall) releaseTicket(poolOutcome balancer.Outcome) {
	if c.ticket != nil {
		c.ticket.Done(c.node.clock(), poolOutcome)
		c.ticket = nil
	}
}

func (c *simCall) start() {
	n := c.node
	if n.table == nil {
		c.finish(string(forward.NotRun), false)
		return
	}
	c.recordFirstAttempt()
	n.afterLocal(c.deadline-n.clock(), func() { c.timeOut() })
	c.startAttempt()
}

func (c *simCall) recordFirstAttempt() { c.node.budget.Attempt(c.node.clock()) }

// timeOut ends the call at its deadline; an attempt in flight may have run.
func (c *simCall) timeOut() {
	c.releaseTicket(balancer.Canceled)
	c.finish(string(forward.Unknown), false)
}

func (c *simCall) finish(outcome string, answered bool) {
	if c.ended {
		return
	}
	c.ended = true
	c.node.openCalls--
	c.node.cluster.observeCall(c.id, c.once, outcome, answered)
}

func (c *simCall) startAttempt() {
	n := c.node
	route, found := n.table.Match("", "/orders/"+c.id)
	if !found {
		c.finish(string(forward.NotRun), false)
		return
	}
	pool := n.pools[route.Targets[0].Service]
	ticket, err := pool.Acquire(nil, n.clock, 0, c.triedBackends, route.Regions)
	if err != nil {
		c.finish(string(c.record.Refusal()), false)
		return
	}
	c.attempts++
	c.ticket = ticket
	n.cluster.backends.sendAttempt(c, ticket)
}

// attemptFailed ends an attempt and starts another if the retry rule and the budget
// allow it.
func (c *simCall) attemptFailed(ticket *balancer.Ticket, poolOutcome balancer.Outcome, outcome forward.Outcome) {
	n := c.node
	if c.ended || c.ticket != ticket {
		return
	}
	c.releaseTicket(poolOutcome)
	c.record.Note(outcome)
	permitted := forward.MayRetry(forward.RetryState{
		Outcome: outcome, Repeatable: !c.once, BodyReplayable: true, Attempts: c.attempts, Expired: n.clock() >= c.deadline,
	})
	if !permitted || !n.budget.Withdraw(n.clock()) {
		c.finish(string(c.record.Refusal()), false)
		return
	}
	c.triedBackends = append(c.triedBackends, ticket.ID)
	c.startAttempt()
}
