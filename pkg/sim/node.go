package sim

import (
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
	callPause    = 120 * time.Millisecond
	callDeadline = 1500 * time.Millisecond
	writeShare   = 0.4
)

// node is a simulated proxy.
type node struct {
	process
	cluster *cluster
	group   string
	// disk is nil for a node that keeps nothing.
	disk   *disk
	keeper *proxy.Keeper
	client *subscriber
	table  *routing.Table
	pools  map[string]*balancer.Pool
	budget *retry.Budget
	calls  int
	// stopping nodes take no new calls.
	stopping bool
	open     int
	// toldLeaving holds the back ends of which this life knows that they leave.
	toldLeaving map[string]bool
}

func (n *node) start() {
	if n.alive {
		return
	}
	n.begin()
	n.stopping = false
	n.open = 0
	n.table = nil
	n.pools = map[string]*balancer.Pool{}
	n.budget = retry.NewBudget(retry.DefaultConfig())
	n.toldLeaving = map[string]bool{}
	n.world.log("%s starts", n.name)
	var files storage.FileSystem
	if n.disk != nil {
		files = n.disk
	}
	keeper, err := proxy.NewKeeper(proxy.KeeperConfig{
		Files: files, Group: n.group, Verifier: n.cluster.verifier,
		InForce:   n.inForce,
		OnFailure: func(err error) { n.fail(err) },
	})
	if err != nil {
		n.world.violate(invariantRecovery, "%s cannot read its configuration: %v", n.name, err)
		n.end()
		return
	}
	n.keeper = keeper
	n.client = &subscriber{
		process: &n.process, network: n.cluster.network, target: keeper,
		hello:        protocol.Hello{Role: protocol.RoleNode, Name: n.name, Zone: n.zone, Group: n.group},
		selector:     n.cluster.selector(n.zone, n.cluster.relayProcesses()),
		lookup:       n.cluster.lookupRelay,
		pingInterval: nodePing, silenceTimeout: nodeSilence,
		onConfirmed: keeper.Confirmed,
	}
	keeper.Start()
	n.client.start()
	n.later(n.world.between(0, callPause), n.traffic)
}

func (n *node) kill() {
	if !n.alive {
		return
	}
	n.world.log("%s dies", n.name)
	n.end()
	if n.disk != nil {
		n.disk.crash()
	}
}

func (n *node) fail(err error) {
	n.world.log("%s ends: %v", n.name, err)
	n.end()
	n.disk.crash()
	n.world.after(time.Second, func() { n.start() })
}

// inForce takes a new table, after the checkers have seen the state.
func (n *node) inForce(state *distribution.State) {
	n.cluster.observeNode(n, state)
	n.table = routing.New(state)
	for _, service := range n.table.Services {
		pool, found := n.pools[service.Name]
		if !found {
			pool = balancer.NewPool(balancer.Config{Node: n.name, Zone: n.zone, Random: n.world.random.IntN})
			n.pools[service.Name] = pool
		}
		pool.Update(n.clock(), service)
		for _, endpoint := range service.Endpoints {
			if endpoint.Leaving {
				n.toldLeaving[incarnationKey(endpoint.ID, endpoint.Incarnation)] = true
			}
		}
	}
}

func incarnationKey(id string, incarnation uint64) string {
	return fmt.Sprintf("%s#%d", id, incarnation)
}

// traffic sends calls for as long as the node lives.
func (n *node) traffic() {
	n.later(n.world.between(callPause/2, callPause*3/2), n.traffic)
	if n.stopping {
		return
	}
	n.calls++
	c := &simCall{
		node: n, id: fmt.Sprintf("%s-%d-%d", n.name, n.generation, n.calls),
		once: n.world.chance(writeShare), deadline: n.clock() + callDeadline,
		life: n.generation,
	}
	n.open++
	c.start()
}

// stop is a planned stop: no new calls, and those under way are finished first.
func (n *node) stop(stopped func()) {
	n.stopping = true
	n.world.log("%s is told to stop", n.name)
	n.awaitDrained(stopped)
}

func (n *node) awaitDrained(stopped func()) {
	if n.open > 0 {
		n.later(50*time.Millisecond, func() { n.awaitDrained(stopped) })
		return
	}
	n.world.log("%s stops", n.name)
	n.end()
	stopped()
}

// simCall is a call on its way through a node, decided by the daemon's own pool,
// budget and retry rule.
type simCall struct {
	node     *node
	id       string
	once     bool
	deadline time.Duration
	attempts int
	record   forward.Record
	tried    []string
	ended    bool
	// life is the life of the node that the call belongs to.
	life int
	// ticket is the attempt under way, nil between attempts.
	ticket *balancer.Ticket
}

// release ends the attempt under way in the pool's eyes.
func (c *simCall) release(learned balancer.Outcome) {
	if c.ticket != nil {
		c.ticket.Done(c.node.clock(), learned)
		c.ticket = nil
	}
}

func (c *simCall) start() {
	n := c.node
	if n.table == nil {
		c.end(string(forward.NotRun), false)
		return
	}
	c.budgetAttempt()
	n.later(c.deadline-n.clock(), func() { c.giveUp() })
	c.attempt()
}

func (c *simCall) budgetAttempt() { c.node.budget.Attempt(c.node.clock()) }

// giveUp is the deadline: an attempt under way may have run.
func (c *simCall) giveUp() {
	c.release(balancer.Canceled)
	c.end(string(forward.Unknown), false)
}

func (c *simCall) end(outcome string, answered bool) {
	if c.ended {
		return
	}
	c.ended = true
	c.node.open--
	c.node.cluster.observeCall(c.id, c.once, outcome, answered)
}

func (c *simCall) attempt() {
	n := c.node
	route, found := n.table.Match("", "/orders/"+c.id)
	if !found {
		c.end(string(forward.NotRun), false)
		return
	}
	pool := n.pools[route.Targets[0].Service]
	ticket, err := pool.Acquire(nil, n.clock, 0, c.tried, route.Regions)
	if err != nil {
		c.end(string(c.record.Refusal()), false)
		return
	}
	c.attempts++
	c.ticket = ticket
	n.cluster.backends.call(c, ticket)
}

// failed ends an attempt; another follows if the rule and the budget allow it.
func (c *simCall) failed(ticket *balancer.Ticket, learned balancer.Outcome, outcome forward.Outcome) {
	n := c.node
	if c.ended || c.ticket != ticket {
		return
	}
	c.release(learned)
	c.record.Note(outcome)
	permitted := forward.MayRetry(forward.Situation{
		Outcome: outcome, Safe: !c.once, BodyWhole: true, Attempts: c.attempts, OutOfTime: n.clock() >= c.deadline,
	})
	if !permitted || !n.budget.Withdraw(n.clock()) {
		c.end(string(c.record.Refusal()), false)
		return
	}
	c.tried = append(c.tried, ticket.ID)
	c.attempt()
}
