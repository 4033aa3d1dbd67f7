package sim

import (
	"strings"
	"time"
)

// Times of the simulated network.
const (
	sameZoneLatency  = 100 * time.Microsecond
	latencyJitter    = 2 * time.Millisecond
	retransmitPause  = 200 * time.Millisecond
	retransmitLimit  = 20 * time.Second
	dialTimeout      = time.Second
	chaosExtraDelay  = 400 * time.Millisecond
	chaosLoss        = 0.08
	chaosDuplication = 0.08
)

// network decides what gets through, and when.
type network struct {
	world       *world
	zoneLatency time.Duration
	// cut holds the directions between zones that are cut.
	cut map[[2]string]bool
	// starved relays and control replicas do not reach each other, in silence.
	starved map[string]bool
	// isolated processes reach nobody and are reached by nobody, in silence.
	isolated map[string]bool
	// garbling servers alter some of their updates.
	garbling bool
	// chaos makes datagrams get lost, doubled and late.
	chaos bool
}

func newNetwork(w *world, zoneLatency time.Duration) *network {
	return &network{world: w, zoneLatency: zoneLatency, cut: map[[2]string]bool{}, isolated: map[string]bool{}, starved: map[string]bool{}}
}

func (n *network) reaches(from, to *process) bool {
	if from.name == to.name {
		return true
	}
	if n.isolated[from.name] || n.isolated[to.name] {
		return false
	}
	if (n.starved[from.name] && isControl(to)) || (n.starved[to.name] && isControl(from)) {
		return false
	}
	return !n.cut[[2]string{from.zone, to.zone}]
}

func isControl(p *process) bool { return strings.HasPrefix(p.name, controlPrefix) }

func (n *network) delay(from, to *process) time.Duration {
	base := n.zoneLatency
	if from.zone == to.zone {
		base = sameZoneLatency
	}
	delay := base + n.world.between(0, latencyJitter)
	if n.chaos && n.world.chance(0.2) {
		delay += n.world.between(0, chaosExtraDelay)
	}
	return delay
}

// datagram carries a message that may be lost, doubled and overtaken.
func (n *network) datagram(from, to *process, deliver func()) {
	if !n.reaches(from, to) || !to.alive {
		return
	}
	if n.chaos && n.world.chance(chaosLoss) {
		return
	}
	n.world.after(n.delay(from, to), to.guarded(deliver))
	if n.chaos && n.world.chance(chaosDuplication) {
		n.world.after(n.delay(from, to), to.guarded(deliver))
	}
}

// connection is an ordered, reliable channel between two lives of two processes, as
// TCP gives it: what cannot get through is sent again for a while, so a message may
// come very late, but never after a later one.
type connection struct {
	network *network
	client  *process
	server  *process
	// clientLife and serverLife are the generations that are connected.
	clientLife, serverLife int
	closed                 bool
	lastArrival            [2]time.Duration
	// waiting holds, by direction, what is held back and must not be overtaken.
	waiting [2][]func()
	// heldSince is when the first of those was sent.
	heldSince [2]time.Duration
	// onClientClose and onServerClose tell a side that the other is gone.
	onClientClose, onServerClose func()
}

const (
	toServer = 0
	toClient = 1
)

// dial opens a connection if the server can be reached in both directions.
func (n *network) dial(client, server *process, opened func(*connection), failed func()) {
	roundTrip := n.delay(client, server) + n.delay(server, client)
	if !n.reaches(client, server) || !n.reaches(server, client) || server.frozen {
		client.later(dialTimeout, failed)
		return
	}
	n.world.after(roundTrip, client.guarded(func() {
		if !server.alive {
			failed()
			return
		}
		opened(&connection{network: n, client: client, server: server, clientLife: client.generation, serverLife: server.generation})
	}))
}

// send delivers in order. What is sent to an earlier life of a process comes back as a
// reset.
func (c *connection) send(direction int, deliver func()) {
	if c.closed {
		return
	}
	from, to, _ := c.ends(direction)
	if len(c.waiting[direction]) == 0 && c.network.reaches(from, to) {
		c.transmit(direction, deliver)
		return
	}
	c.waiting[direction] = append(c.waiting[direction], deliver)
	if len(c.waiting[direction]) == 1 {
		c.heldSince[direction] = c.network.world.now
		c.network.world.after(retransmitPause, func() { c.retransmit(direction) })
	}
}

func (c *connection) ends(direction int) (from, to *process, life int) {
	if direction == toServer {
		return c.client, c.server, c.serverLife
	}
	return c.server, c.client, c.clientLife
}

func (c *connection) transmit(direction int, deliver func()) {
	w := c.network.world
	from, to, life := c.ends(direction)
	arrival := max(w.now+c.network.delay(from, to), c.lastArrival[direction])
	c.lastArrival[direction] = arrival
	w.after(arrival-w.now, func() { c.arrive(direction, to, life, deliver) })
}

// retransmit sends what is held back as soon as the other side can be reached; after
// a while it gives up in silence.
func (c *connection) retransmit(direction int) {
	w := c.network.world
	from, to, _ := c.ends(direction)
	if c.closed || w.now-c.heldSince[direction] > retransmitLimit {
		return
	}
	if !c.network.reaches(from, to) {
		w.after(retransmitPause, func() { c.retransmit(direction) })
		return
	}
	held := c.waiting[direction]
	c.waiting[direction] = nil
	for _, deliver := range held {
		c.transmit(direction, deliver)
	}
}

func (c *connection) arrive(direction int, to *process, life int, deliver func()) {
	if c.closed {
		return
	}
	if !to.alive || to.generation != life {
		c.reset(direction)
		return
	}
	to.guarded(func() {
		if !c.closed {
			deliver()
		}
	})()
}

// reset tells the sender that the other side does not know the connection any more.
func (c *connection) reset(direction int) {
	from, _, _ := c.ends(direction)
	c.closed = true
	c.tell(from, c.network.zoneLatency)
}

// tell lets one side know, if it still is in the life that opened the connection.
func (c *connection) tell(side *process, delay time.Duration) {
	notify, life := c.onClientClose, c.clientLife
	if side == c.server {
		notify, life = c.onServerClose, c.serverLife
	}
	if notify != nil && side.alive && side.generation == life {
		c.network.world.after(delay, side.guarded(notify))
	}
}

// closeBy ends the connection; the other side hears of it if it can be reached.
func (c *connection) closeBy(closer *process) {
	if c.closed {
		return
	}
	c.closed = true
	other := c.server
	if closer == c.server {
		other = c.client
	}
	if c.network.reaches(closer, other) {
		c.tell(other, c.network.delay(closer, other))
	}
}
