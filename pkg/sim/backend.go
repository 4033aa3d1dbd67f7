package sim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/forward"
	"bramblelift/pkg/machinelist"
)

// Behaviour of simulated back ends.
const (
	backendCapacity = 6
	serviceTime     = 30 * time.Millisecond
	// drainGrace is how long a leaving back end still admits calls; its responses
	// report meanwhile that it is leaving.
	drainGrace = 3 * time.Second
	resetDelay = 5 * time.Millisecond
)

// backend is a simulated back end. Each restart gives it a new incarnation.
type backend struct {
	process
	service          string
	incarnation      uint64
	slotsInUse       int
	leavingSince     time.Duration
	leaving          bool
	reportsFalseLoad bool
	// inFlight holds the calls being executed, in order of arrival.
	inFlight []executingCall
}

// executingCall is a call that a back end is executing.
type executingCall struct {
	call   *simCall
	ticket *balancer.Ticket
}

// backendSet holds all back ends of the cluster.
type backendSet struct {
	cluster *cluster
	all     []*backend
}

func (s *backendSet) byName(name string) *backend {
	for _, b := range s.all {
		if b.name == name {
			return b
		}
	}
	return nil
}

// sendAttempt sends one attempt of a call to the back end of its ticket.
func (s *backendSet) sendAttempt(c *simCall, ticket *balancer.Ticket) {
	n := c.node
	b := s.byName(ticket.ID)
	s.cluster.observeAttempt(n, ticket)
	if !s.cluster.network.canReach(&n.process, &b.process) {
		n.afterLocal(dialTimeout, func() { c.attemptFailed(ticket, balancer.Failed, forward.NotRun) })
		return
	}
	if !b.running {
		n.afterLocal(resetDelay, func() { c.attemptFailed(ticket, balancer.Failed, forward.NotRun) })
		return
	}
	incarnation := b.incarnation
	s.cluster.simulation.after(s.cluster.network.delay(&n.process, &b.process), func() {
		if !b.running || b.incarnation != incarnation {
			s.respond(c, b, func() { c.attemptFailed(ticket, balancer.Failed, forward.Unknown) })
			return
		}
		b.ifRunning(func() { s.handleAttempt(c, b, ticket) })()
	})
}

// respond delivers a back end's response to the node, unless the network drops it or
// the node has restarted since the call began.
func (s *backendSet) respond(c *simCall, b *backend, deliver func()) {
	n := c.node
	if !s.cluster.network.canReach(&b.process, &n.process) {
		return
	}
	if n.generation != c.nodeGeneration {
		return
	}
	s.cluster.simulation.after(s.cluster.network.delay(&b.process, &n.process), n.ifRunning(deliver))
}

func (s *backendSet) handleAttempt(c *simCall, b *backend, ticket *balancer.Ticket) {
	sim := s.cluster.simulation
	leaving := b.leaving
	drainExpired := leaving && sim.now > b.leavingSince+drainGrace
	if b.slotsInUse >= backendCapacity || drainExpired {
		s.respond(c, b, func() {
			s.reportLoad(c.node, b, ticket, leaving)
			c.attemptFailed(ticket, balancer.Refused, forward.NotRun)
		})
		return
	}
	b.slotsInUse++
	executing := executingCall{call: c, ticket: ticket}
	b.inFlight = append(b.inFlight, executing)
	s.cluster.observeExecution(c.id, b)
	b.afterLocal(sim.between(serviceTime/2, serviceTime*2), func() {
		b.slotsInUse--
		b.inFlight = slices.DeleteFunc(b.inFlight, func(other executingCall) bool { return other == executing })
		s.respond(c, b, func() {
			s.reportLoad(c.node, b, ticket, leaving)
			if c.ticket == ticket {
				c.releaseTicket(balancer.Answered)
				c.finish("", true)
			}
		})
	})
}

// crash stops a back end and resets the connections of the calls that it was executing.
// Their nodes learn that the connection broke, but not whether the call ran.
func (s *backendSet) crash(b *backend) {
	interrupted := b.inFlight
	b.inFlight = nil
	b.endRun()
	for _, executing := range interrupted {
		s.respond(executing.call, b, func() { executing.call.attemptFailed(executing.ticket, balancer.Failed, forward.Unknown) })
	}
}

func (s *backendSet) reportLoad(n *node, b *backend, ticket *balancer.Ticket, leaving bool) {
	load := float64(b.slotsInUse) / backendCapacity
	if b.reportsFalseLoad {
		load = 1 - load
	}
	ticket.Report(load, leaving)
	if leaving {
		n.knownLeaving[incarnationKey(ticket.ID, ticket.Incarnation)] = true
	}
}

// restart starts the back end again under a new incarnation.
func (b *backend) restart() {
	b.startRun()
	b.incarnation++
	b.slotsInUse = 0
	b.leaving = false
}

// startLeaving makes the back end report in its responses that it is leaving.
func (b *backend) startLeaving() {
	b.leaving = true
	b.leavingSince = b.simulation.now
}

var errPlatformDown = errors.New("platform list is down")

// simPlatform serves the platform's list of back ends with a delay of lag.
type simPlatform struct {
	cluster *cluster
	lag     time.Duration
	down    bool
	history []listSnapshot
}

type listSnapshot struct {
	at   time.Duration
	list machinelist.List
}

// recordList appends the current list of running back ends to the history.
func (p *simPlatform) recordList() {
	var list machinelist.List
	for i, b := range p.cluster.backends.all {
		if !b.running {
			continue
		}
		list.Machines = append(list.Machines, machinelist.Machine{
			Service: b.service, ID: b.name, Incarnation: b.incarnation,
			Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: b.zone, Leaving: b.leaving,
		})
	}
	p.history = append(p.history, listSnapshot{at: p.cluster.simulation.now, list: list})
}

func (p *simPlatform) list() (machinelist.List, error) {
	if p.down {
		return machinelist.List{}, errPlatformDown
	}
	var seen machinelist.List
	for _, entry := range p.history {
		if entry.at+p.lag <= p.cluster.simulation.now {
			seen = entry.list
		}
	}
	return seen, nil
}
