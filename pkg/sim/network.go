package sim

import (
	"strings"
	"time"
)

// Delays and loss of the simulated network.
const (
	sameZoneLatency        = 100 * time.Microsecond
	latencyJitter          = 2 * time.Millisecond
	retransmitInterval     = 200 * time.Millisecond
	retransmitLimit        = 20 * time.Second
	dialTimeout            = time.Second
	maxExtraDelay          = 400 * time.Millisecond
	lossProbability        = 0.08
	duplicationProbability = 0.08
)

// network decides which messages are delivered, and when.
type network struct {
	simulation  *simulation
	zoneLatency time.Duration
	// partitioned holds the pairs of zones, from and to, between which messages are dropped.
	partitioned map[[2]string]bool
	// cutFromControl holds relays that cannot exchange messages with control replicas.
	cutFromControl map[string]bool
	// isolated holds processes that cannot exchange messages with any other.
	isolated map[string]bool
	// corrupting makes servers alter some of their updates.
	corrupting bool
	// unreliable enables loss, duplication and delay of datagrams.
	unreliable bool
}

func newNetwork(sim *simulation, zoneLatency time.Duration) *network {
	return &network{simulation: sim, zoneLatency: zoneLatency, partitioned: map[[2]string]bool{}, isolated: map[string]bool{}, cutFromControl: map[string]bool{}}
}

func (n *network) canReach(from, to *process) bool {
	if from.name == to.name {
		return true
	}
	if n.isolated[from.name] || n.isolated[to.name] {
		return false
	}
	if (n.cutFromControl[from.name] && isControl(to)) || (n.cutFromControl[to.name] && isControl(from)) {
		return false
	}
	return !n.partitioned[[2]string{from.zone, to.zone}]
}

func isControl(p *process) bool { return strings.HasPrefix(p.name, controlPrefix) }

func (n *network) delay(from, to *process) time.Duration {
	base := n.zoneLatency
	if from.zone == to.zone {
		base = sameZoneLatency
	}
	delay := base + n.simulation.between(0, latencyJitter)
	if n.unreliable && n.simulation.chance(0.2) {
		delay += n.simulation.between(0, maxExtraDelay)
	}
	return delay
}

// sendDatagram sends a message that may be lost, duplicated or reordered.
func (n *network) sendDatagram(from, to *process, deliver func()) {
	if !n.canReach(from, to) || !to.running {
		return
	}
	if n.unreliable && n.simulation.chance(lossProbability) {
		return
	}
	n.simulation.after(n.delay(from, to), to.ifRunning(deliver))
	if n.unreliable && n.simulation.chance(duplicationProbability) {
		n.simulation.after(n.delay(from, to), to.ifRunning(deliver))
	}
}

// connection is an ordered, reliable channel between one run of each of two processes,
// like TCP: undeliverable messages are retransmitted for a while, so a message may
// arrive very late, but never out of order.
type connection struct {
	network *network
	client  *process
	server  *process
	// clientGeneration and serverGeneration are the process runs that are connected.
	clientGeneration, serverGeneration int
	closed                             bool
	lastArrival                        [2]time.Duration
	// queued holds, by direction, messages that wait for retransmission.
	queued [2][]func()
	// queuedSince is when the first of those was sent.
	queuedSince [2]time.Duration
	// onClientClose and onServerClose notify a side that the other closed or reset the
	// connection.
	onClientClose, onServerClose func()
}

const (
	toServer = 0
	toClient = 1
)

// dial opens a connection if the server is reachable in both directions.
func (n *network) dial(client, server *process, opened func(*connection), failed func()) {
	roundTrip := n.delay(client, server) + n.delay(server, client)
	if !n.canReach(client, server) || !n.canReach(server, client) || server.frozen {
		client.afterLocal(dialTimeout, failed)
		return
	}
	n.simulation.after(roundTrip, client.ifRunning(func() {
		if !server.running {
			failed()
			return
		}
		opened(&connection{network: n, client: client, server: server, clientGeneration: client.generation, serverGeneration: server.generation})
	}))
}

// send delivers messages in order. A message to an earlier run of a process resets the
// connection.
func (c *connection) send(direction int, deliver func()) {
	if c.closed {
		return
	}
	from, to, _ := c.peers(direction)
	if len(c.queued[direction]) == 0 && c.network.canReach(from, to) {
		c.transmit(direction, deliver)
		return
	}
	c.queued[direction] = append(c.queued[direction], deliver)
	if len(c.queued[direction]) == 1 {
		c.queuedSince[direction] = c.network.simulation.now
		c.network.simulation.after(retransmitInterval, func() { c.retransmit(direction) })
	}
}

func (c *connection) peers(direction int) (from, to *process, generation int) {
	if direction == toServer {
		return c.client, c.server, c.serverGeneration
	}
	return c.server, c.client, c.clientGeneration
}

func (c *connection) transmit(direction int, deliver func()) {
	sim := c.network.simulation
	from, to, generation := c.peers(direction)
	arrival := max(sim.now+c.network.delay(from, to), c.lastArrival[direction])
	c.lastArrival[direction] = arrival
	sim.after(arrival-sim.now, func() { c.arrive(direction, to, generation, deliver) })
}

// retransmit sends the queued messages once the other side is reachable, and gives up
// without notice after retransmitLimit.
func (c *connection) retransmit(direction int) {
	sim := c.network.simulation
	from, to, _ := c.peers(direction)
	if c.closed || sim.now-c.queuedSince[direction] > retransmitLimit {
		return
	}
	if !c.network.canReach(from, to) {
		sim.after(retransmitInterval, func() { c.retransmit(direction) })
		return
	}
	queued := c.queued[direction]
	c.queued[direction] = nil
	for _, deliver := range queued {
		c.transmit(direction, deliver)
	}
}

func (c *connection) arrive(direction int, to *process, generation int, deliver func()) {
	if c.closed {
		return
	}
	if !to.running || to.generation != generation {
		c.reset(direction)
		return
	}
	to.ifRunning(func() {
		if !c.closed {
			deliver()
		}
	})()
}

// reset closes the connection and notifies the sender.
func (c *connection) reset(direction int) {
	from, _, _ := c.peers(direction)
	c.closed = true
	c.notifyClose(from, c.network.zoneLatency)
}

// notifyClose notifies one side, if the process run that opened the connection still
// runs.
func (c *connection) notifyClose(side *process, delay time.Duration) {
	notify, generation := c.onClientClose, c.clientGeneration
	if side == c.server {
		notify, generation = c.onServerClose, c.serverGeneration
	}
	if notify != nil && side.running && side.generation == generation {
		c.network.simulation.after(delay, side.ifRunning(notify))
	}
}

// closeFrom closes the connection and notifies the other side if it is reachable.
func (c *connection) closeFrom(closer *process) {
	if c.closed {
		return
	}
	c.closed = true
	other := c.server
	if closer == c.server {
		other = c.client
	}
	if c.network.canReach(closer, other) {
		c.notifyClose(other, c.network.delay(closer, other))
	}
}
