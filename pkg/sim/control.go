package sim

import (
	"errors"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/machinelist"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/replica"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/storage"
	"bramblelift/pkg/stream"
)

// Timing of the simulated control replicas, as in the daemons.
const (
	electionTimeout   = time.Second
	heartbeatInterval = 200 * time.Millisecond
	turnPause         = 100 * time.Millisecond
	platformInterval  = settings.DefaultPlatformInterval
	joinInterval      = time.Second
	removeAfter       = 5 * time.Second
	compactAfter      = 25
	compactBytes      = 32 << 10
	keepEntries       = 10
	maxAppendBytes    = 1 << 16
	assumedDrift      = 0.05
	// actualDrift is what clocks really do; the lease allows for more.
	actualDrift = 0.04
)

// control is a simulated control replica.
type control struct {
	process
	cluster *cluster
	disk    *disk
	replica *replica.Replica
	server  *server
	tracker *machinelist.Tracker

	confirmedAt time.Duration
	confirmed   bool
	// leftForGood is set once another machine has taken this one's place.
	leftForGood bool
	waiting     map[replica.ProposalID]func(replica.Completion)
	proposal    replica.ProposalID
	// traced is the last line of the trace about the replica's state.
	traced string
}

func (c *control) member() raft.Member {
	return raft.Member{Name: c.name, Address: c.name, Zone: c.zone}
}

// start runs the replica on what its disk holds; an empty disk joins as a new one.
func (c *control) start() {
	if c.alive || c.leftForGood {
		return
	}
	c.begin()
	if _, err := storage.ReadIdentity(c.disk); errors.Is(err, storage.ErrNoState) {
		id := raft.ReplicaID(c.world.random.Uint64() | 1)
		if err := replica.CreateJoining(c.disk, clusterID, c.name, id); err != nil {
			c.fail(err)
			return
		}
		c.world.log("%s has an empty disk and joins as %d", c.name, id)
	}
	opened, err := replica.Open(c.clock(), c.config(), c.disk)
	if errors.Is(err, errDisk) {
		c.fail(err)
		return
	}
	if err != nil {
		c.world.violate(invariantRecovery, "%s cannot open its state: %v", c.name, err)
		c.end()
		return
	}
	c.replica = opened
	c.confirmed = false
	c.waiting = map[replica.ProposalID]func(replica.Completion){}
	c.tracker = &machinelist.Tracker{}
	c.server = newServer(&c.process, opened.State(), c.freshness)
	c.world.log("%s starts as %d at commit %d", c.name, opened.Node().ID(), opened.Node().Commit())
	c.later(0, c.timedTurn)
	c.later(platformInterval, c.pollPlatform)
	c.later(0, c.askToJoin)
}

func (c *control) config() replica.Config {
	config := replica.Config{
		Raft: raft.Config{
			ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
			MaxClockDrift: assumedDrift, MaxAppendBytes: maxAppendBytes, KeepEntries: keepEntries,
			Random: c.world.random.Int64N,
		},
		CompactAfter: compactAfter,
		CompactBytes: compactBytes,
	}
	if c.cluster.grown {
		config.RemoveAfter = removeAfter
		config.ToleratedLosses = (len(c.cluster.controls) - 1) / 2
	}
	return config
}

// kill ends the process as a crash of its machine would.
func (c *control) kill() {
	if !c.alive {
		return
	}
	c.world.log("%s dies", c.name)
	c.end()
	c.disk.crash()
	c.cluster.dropLeaseView(c)
}

// fail ends the process after an error that it may not survive.
func (c *control) fail(err error) {
	c.world.log("%s ends: %v", c.name, err)
	c.end()
	c.disk.crash()
	c.cluster.dropLeaseView(c)
	c.world.after(time.Second, func() { c.start() })
}

func (c *control) timedTurn() {
	c.turn()
	if !c.alive {
		return
	}
	wait := c.replica.Node().NextDeadline() - c.clock()
	c.later(max(time.Millisecond, min(wait, turnPause)), c.timedTurn)
}

// turn does what a turn of the daemon's driver does, in the same order.
func (c *control) turn() {
	c.replica.Tick(c.clock())
	output, err := c.replica.Flush(c.clock())
	if err != nil {
		c.fail(err)
		return
	}
	for _, m := range output.Messages {
		c.sendRaft(m)
	}
	if output.StateChanged {
		c.server.setState(c.replica.State())
	}
	if at, confirmed := c.replica.Node().ConfirmedAt(c.clock()); confirmed {
		c.confirmedAt, c.confirmed = at, true
	}
	c.cluster.observeControl(c)
	for _, done := range output.Completions {
		if answer, found := c.waiting[done.Proposal]; found {
			delete(c.waiting, done.Proposal)
			answer(done)
		}
	}
}

func (c *control) freshness() stream.Freshness {
	return stream.Freshness{Confirmed: c.confirmed, Stale: c.clock() - c.confirmedAt}
}

func (c *control) sendRaft(m raft.Message) {
	address, known := c.replica.Address(m.To)
	if !known {
		return
	}
	peer := c.cluster.controlNamed(address)
	from := c.name
	c.cluster.network.datagram(&c.process, &peer.process, func() {
		peer.replica.Learn(m.From, from)
		peer.replica.Step(peer.clock(), m)
		peer.turn()
	})
}

func (c *control) askToJoin() {
	node := c.replica.Node()
	lost := c.cluster.grown && c.clock()-node.HeardLeaderAt(c.clock()) > 2*electionTimeout
	if !node.Membership().IsVoter(node.ID()) || lost {
		member := c.member()
		member.ID = node.ID()
		for _, peer := range c.cluster.controls {
			if peer != c {
				c.cluster.network.datagram(&c.process, &peer.process, func() { peer.replica.Join(peer.clock(), member) })
			}
		}
	}
	c.later(joinInterval, c.askToJoin)
}

// pollPlatform does what the daemon's poller does.
func (c *control) pollPlatform() {
	c.later(platformInterval, c.pollPlatform)
	if !c.replica.Node().LeaseValid(c.clock()) {
		c.tracker = &machinelist.Tracker{}
		return
	}
	list, err := c.cluster.platform.list()
	if err != nil {
		return
	}
	changes := c.tracker.Changes(c.replica.State().Endpoints, list)
	if len(changes) == 0 {
		return
	}
	c.propose(catalog.Command{Endpoints: &catalog.Endpoints{Changes: changes}}, func(replica.Completion) {})
	c.turn()
}

// propose hands a command in; done is called if its end becomes known in this life.
func (c *control) propose(command catalog.Command, done func(replica.Completion)) {
	c.proposal++
	c.waiting[c.proposal] = done
	if err := c.replica.Propose(c.proposal, command); err != nil {
		delete(c.waiting, c.proposal)
		done(replica.Completion{Err: err})
	}
}

// readLeased is a read that is only answered under a valid lease.
func (c *control) readLeased() (head uint64, position distribution.Position, ok bool) {
	node := c.replica.Node()
	if !node.LeaseValid(c.clock()) || c.replica.Applied() < node.Commit() {
		return 0, distribution.Position{}, false
	}
	return c.replica.Catalog().HeadVersion(), c.replica.State().Position(), true
}
