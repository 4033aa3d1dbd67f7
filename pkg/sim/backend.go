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
	backendSlots = 6
	workTime     = 30 * time.Millisecond
	// drainGrace is how long a leaving back end still takes calls while its
	// answers say that it leaves.
	drainGrace = 3 * time.Second
	resetDelay = 5 * time.Millisecond
)

// backend is one incarnation of a simulated back end.
type backend struct {
	process
	service     string
	incarnation uint64
	busy        int
	leavingAt   time.Duration
	leaving     bool
	lies        bool
	// underWay are the calls begun and not yet answered, in order.
	underWay []begunCall
}

// begunCall is a call at work at a back end.
type begunCall struct {
	call   *simCall
	ticket *balancer.Ticket
}

// backendSet is all back ends, by ID.
type backendSet struct {
	cluster *cluster
	all     []*backend
}

func (s *backendSet) named(id string) *backend {
	for _, b := range s.all {
		if b.name == id {
			return b
		}
	}
	return nil
}

// call sends an attempt to a back end.
func (s *backendSet) call(c *simCall, ticket *balancer.Ticket) {
	n := c.node
	b := s.named(ticket.ID)
	s.cluster.observeAttempt(n, ticket)
	if !s.cluster.network.reaches(&n.process, &b.process) {
		n.later(dialTimeout, func() { c.failed(ticket, balancer.Failed, forward.NotRun) })
		return
	}
	if !b.alive {
		n.later(resetDelay, func() { c.failed(ticket, balancer.Failed, forward.NotRun) })
		return
	}
	incarnation := b.incarnation
	s.cluster.world.after(s.cluster.network.delay(&n.process, &b.process), func() {
		if !b.alive || b.incarnation != incarnation {
			s.answer(c, b, func() { c.failed(ticket, balancer.Failed, forward.Unknown) })
			return
		}
		b.guarded(func() { s.arrive(c, b, ticket) })()
	})
}

// answer carries a back end's word to the node, if it gets through.
func (s *backendSet) answer(c *simCall, b *backend, deliver func()) {
	n := c.node
	if !s.cluster.network.reaches(&b.process, &n.process) {
		return
	}
	if n.generation != c.life {
		return
	}
	s.cluster.world.after(s.cluster.network.delay(&b.process, &n.process), n.guarded(deliver))
}

func (s *backendSet) arrive(c *simCall, b *backend, ticket *balancer.Ticket) {
	w := s.cluster.world
	leaving := b.leaving
	past := leaving && w.now > b.leavingAt+drainGrace
	if b.busy >= backendSlots || past {
		s.answer(c, b, func() {
			s.report(c.node, b, ticket, leaving)
			c.failed(ticket, balancer.Refused, forward.NotRun)
		})
		return
	}
	b.busy++
	begun := begunCall{call: c, ticket: ticket}
	b.underWay = append(b.underWay, begun)
	s.cluster.observeExecution(c.id, b)
	b.later(w.between(workTime/2, workTime*2), func() {
		b.busy--
		b.underWay = slices.DeleteFunc(b.underWay, func(other begunCall) bool { return other == begun })
		s.answer(c, b, func() {
			s.report(c.node, b, ticket, leaving)
			if c.ticket == ticket {
				c.release(balancer.Answered)
				c.end("", true)
			}
		})
	})
}

// crash ends a back end. The connections of the calls at work there are reset, so their
// nodes learn soon that they broke, and not whether they ran.
func (s *backendSet) crash(b *backend) {
	broken := b.underWay
	b.underWay = nil
	b.end()
	for _, begun := range broken {
		s.answer(begun.call, b, func() { begun.call.failed(begun.ticket, balancer.Failed, forward.Unknown) })
	}
}

func (s *backendSet) report(n *node, b *backend, ticket *balancer.Ticket, leaving bool) {
	load := float64(b.busy) / backendSlots
	if b.lies {
		load = 1 - load
	}
	ticket.Report(load, leaving)
	if leaving {
		n.toldLeaving[incarnationKey(ticket.ID, ticket.Incarnation)] = true
	}
}

// replace brings a back end back under a new incarnation.
func (b *backend) replace() {
	b.begin()
	b.incarnation++
	b.busy = 0
	b.leaving = false
}

// leave makes the back end say that it leaves.
func (b *backend) leave() {
	b.leaving = true
	b.leavingAt = b.world.now
}

var errPlatformDown = errors.New("platform list is down")

// simPlatform serves the list of back ends, late.
type simPlatform struct {
	cluster *cluster
	lag     time.Duration
	down    bool
	history []timedList
}

type timedList struct {
	at   time.Duration
	list machinelist.List
}

// record notes the list as it is now.
func (p *simPlatform) record() {
	var list machinelist.List
	for i, b := range p.cluster.backends.all {
		if !b.alive {
			continue
		}
		list.Machines = append(list.Machines, machinelist.Machine{
			Service: b.service, ID: b.name, Incarnation: b.incarnation,
			Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: b.zone, Leaving: b.leaving,
		})
	}
	p.history = append(p.history, timedList{at: p.cluster.world.now, list: list})
}

func (p *simPlatform) list() (machinelist.List, error) {
	if p.down {
		return machinelist.List{}, errPlatformDown
	}
	var seen machinelist.List
	for _, entry := range p.history {
		if entry.at+p.lag <= p.cluster.world.now {
			seen = entry.list
		}
	}
	return seen, nil
}
