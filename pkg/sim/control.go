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

// Settings of the simulated control replicas, as in the daemons.
const (
	electionTimeout    = time.Second
	heartbeatInterval  = 200 * time.Millisecond
	maxAdvanceInterval = 100 * time.Millisecond
	platformInterval   = settings.DefaultPlatformInterval
	joinInterval       = time.Second
	removeAfter        = 5 * time.Second
	compactAfter       = 25
	compactBytes       = 32 << 10
	keepEntries        = 10
	maxAppendBytes     = 1 << 16
	assumedDrift       = 0.05
	// actualDrift is the maximum drift of simulated clocks; it stays below assumedDrift.
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

	// confirmedAt is the latest local time at which the replica was known to have every
	// committed entry; it is meaningful if confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	// decommissioned is set once another machine has replaced this one.
	decommissioned bool
	pending        map[replica.ProposalID]func(replica.Completion)
	lastProposal   replica.ProposalID
	// lastTraceLine is the last state of the replica that was written to the trace.
	lastTraceLine string
}

func (c *control) member() raft.Member {
	return raft.Member{Name: c.name, Address: c.name, Zone: c.zone}
}

// start opens the replica from its disk. With an empty disk it asks to join the cluster
// under a new replica ID.
func (c *control) start() {
	if c.running || c.decommissioned {
		return
	}
	c.startRun()
	if _, err := storage.ReadIdentity(c.disk); errors.Is(err, storage.ErrNoState) {
		id := raft.ReplicaID(c.simulation.random.Uint64() | 1)
		if err := replica.CreateJoining(c.disk, clusterID, c.name, id); err != nil {
			c.fail(err)
			return
		}
		c.simulation.log("%s has an empty disk and joins as %d", c.name, id)
	}
	opened, err := replica.Open(c.clock(), c.config(), c.disk)
	if errors.Is(err, errDisk) {
		c.fail(err)
		return
	}
	if err != nil {
		c.simulation.violate(invariantRecovery, "%s cannot open its state: %v", c.name, err)
		c.endRun()
		return
	}
	c.replica = opened
	c.confirmed = false
	c.pending = map[replica.ProposalID]func(replica.Completion){}
	c.tracker = &machinelist.Tracker{}
	c.server = newServer(&c.process, opened.State(), c.freshness)
	c.simulation.log("%s starts as %d at commit %d", c.name, opened.Node().ID(), opened.Node().Commit())
	c.afterLocal(0, c.periodicAdvance)
	c.afterLocal(platformInterval, c.pollPlatform)
	c.afterLocal(0, c.requestJoin)
}

func (c *control) config() replica.Config {
	config := replica.Config{
		Raft: raft.Config{
			ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
			MaxClockDrift: assumedDrift, MaxAppendBytes: maxAppendBytes, KeepEntries: keepEntries,
			Random: c.simulation.random.Int64N,
		},
		CompactAfter: compactAfter,
		CompactBytes: compactBytes,
	}
	if c.cluster.expanded {
		config.RemoveAfter = removeAfter
		config.ToleratedLosses = (len(c.cluster.controls) - 1) / 2
	}
	return config
}

// kill stops the process and crashes its disk.
func (c *control) kill() {
	if !c.running {
		return
	}
	c.simulation.log("%s is killed", c.name)
	c.endRun()
	c.disk.crash()
	c.cluster.clearLease(c)
}

// fail stops the process after an unrecoverable error and restarts it a second later.
func (c *control) fail(err error) {
	c.simulation.log("%s exits: %v", c.name, err)
	c.endRun()
	c.disk.crash()
	c.cluster.clearLease(c)
	c.simulation.after(time.Second, func() { c.start() })
}

func (c *control) periodicAdvance() {
	c.advance()
	if !c.running {
		return
	}
	wait := c.replica.Node().NextDeadline() - c.clock()
	c.afterLocal(max(time.Millisecond, min(wait, maxAdvanceInterval)), c.periodicAdvance)
}

// advance ticks the replica, flushes its output and delivers the results, in the same
// order as the daemon's driver.
func (c *control) advance() {
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
	for _, completion := range output.Completions {
		if notify, found := c.pending[completion.Proposal]; found {
			delete(c.pending, completion.Proposal)
			notify(completion)
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
	peer := c.cluster.controlByName(address)
	from := c.name
	c.cluster.network.sendDatagram(&c.process, &peer.process, func() {
		peer.replica.RecordAddress(m.From, from)
		peer.replica.Step(peer.clock(), m)
		peer.advance()
	})
}

func (c *control) requestJoin() {
	node := c.replica.Node()
	lost := c.cluster.expanded && c.clock()-node.LastLeaderContact(c.clock()) > 2*electionTimeout
	if !node.Membership().IsVoter(node.ID()) || lost {
		member := c.member()
		member.ID = node.ID()
		for _, peer := range c.cluster.controls {
			if peer != c {
				c.cluster.network.sendDatagram(&c.process, &peer.process, func() { peer.replica.Join(peer.clock(), member) })
			}
		}
	}
	c.afterLocal(joinInterval, c.requestJoin)
}

// pollPlatform proposes changes of the platform's list while the replica has the
// lease, as the daemon's poller does.
func (c *control) pollPlatform() {
	c.afterLocal(platformInterval, c.pollPlatform)
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
	c.advance()
}

// propose submits a command to the replica. done is called with the result if it
// becomes known during this process run.
func (c *control) propose(command catalog.Command, done func(replica.Completion)) {
	c.lastProposal++
	c.pending[c.lastProposal] = done
	if err := c.replica.Propose(c.lastProposal, command); err != nil {
		delete(c.pending, c.lastProposal)
		done(replica.Completion{Err: err})
	}
}

// readUnderLease reads the head and the position; ok is false without a valid lease or
// while committed entries are not applied.
func (c *control) readUnderLease() (head uint64, position distribution.Position, ok bool) {
	node := c.replica.Node()
	if !node.LeaseValid(c.clock()) || c.replica.Applied() < node.Commit() {
		return 0, distribution.Position{}, false
	}
	return c.replica.Catalog().HeadVersion(), c.replica.State().Position(), true
}
