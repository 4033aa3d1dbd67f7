package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// fault is one kind of failure: it strikes, and returns what heals it.
type fault struct {
	name   string
	strike func(c *cluster) (heal func())
}

// faults lists every kind, in the order in which they are drawn.
var faults = []fault{
	{"kill-control", func(c *cluster) func() {
		ctl := pickOne(c, c.controls)
		ctl.kill()
		return ctl.start
	}},
	{"kill-leader", func(c *cluster) func() {
		for _, ctl := range c.controls {
			if ctl.alive && c.leases[ctl] {
				ctl.kill()
				return ctl.start
			}
		}
		return func() {}
	}},
	{"control-herd", func(c *cluster) func() {
		for _, ctl := range c.controls {
			ctl.kill()
		}
		return func() {
			for _, ctl := range c.controls {
				ctl.start()
			}
		}
	}},
	{"lose-disk", strikeLoseDisk},
	{"second-loss", strikeSecondLoss},
	{"fail-sync", func(c *cluster) func() {
		ctl := pickOne(c, c.controls)
		ctl.disk.failSync = true
		return func() { ctl.disk.failSync = false }
	}},
	{"fail-node-sync", func(c *cluster) func() {
		n := pickOne(c, c.nodes)
		if n.disk == nil {
			return func() {}
		}
		n.disk.failSync = true
		return func() { n.disk.failSync = false }
	}},
	{"kill-relay", func(c *cluster) func() {
		r := pickOne(c, c.relays)
		r.kill()
		return r.start
	}},
	{"node-herd", func(c *cluster) func() {
		for _, n := range c.nodes {
			n.kill()
		}
		for _, r := range c.relays {
			if c.world.chance(0.5) {
				r.kill()
			}
		}
		return func() {
			for _, r := range c.relays {
				r.start()
			}
			for _, n := range c.nodes {
				n.start()
			}
		}
	}},
	{"kill-node", func(c *cluster) func() {
		n := pickOne(c, c.nodes)
		n.kill()
		return n.start
	}},
	{"cut-zone", func(c *cluster) func() {
		zone := pickOne(c, c.zones)
		return cutZone(c, zone, true, true)
	}},
	{"cut-one-way", func(c *cluster) func() {
		zone := pickOne(c, c.zones)
		outward := c.world.chance(0.5)
		return cutZone(c, zone, outward, !outward)
	}},
	{"isolate-control", func(c *cluster) func() { return isolate(c, &pickOne(c, c.controls).process) }},
	{"isolate-relay", func(c *cluster) func() { return isolate(c, &pickOne(c, c.relays).process) }},
	{"freeze-control", func(c *cluster) func() { return freeze(&pickOne(c, c.controls).process) }},
	{"freeze-relay", func(c *cluster) func() { return freeze(&pickOne(c, c.relays).process) }},
	{"freeze-node", func(c *cluster) func() { return freeze(&pickOne(c, c.nodes).process) }},
	{"message-chaos", func(c *cluster) func() {
		c.network.chaos = true
		return func() { c.network.chaos = false }
	}},
	{"source-outage", func(c *cluster) func() {
		c.platform.down = true
		return func() { c.platform.down = false }
	}},
	{"platform-lag", func(c *cluster) func() {
		before := c.platform.lag
		c.platform.lag = 8 * time.Second
		return func() { c.platform.lag = before }
	}},
	{"lying-load", func(c *cluster) func() {
		b := pickOne(c, c.backends.all)
		b.lies = true
		return func() { b.lies = false }
	}},
	{"backend-leaves", strikeBackendLeaves},
	{"kill-backend", func(c *cluster) func() {
		b := pickOne(c, c.backends.all)
		if !b.alive {
			return func() {}
		}
		c.backends.crash(b)
		c.platform.record()
		return func() { reviveBackend(c, b) }
	}},
	{"planned-stop", func(c *cluster) func() {
		n := pickOne(c, c.nodes)
		if n.alive && !n.stopping {
			n.stop(func() {})
		}
		return func() {
			if n.alive {
				n.end()
			}
			n.start()
		}
	}},
	{"starve-relay", strikeStarveRelay},
	{"garbled-updates", func(c *cluster) func() {
		c.network.garbling = true
		return func() { c.network.garbling = false }
	}},
}

// FaultNames returns the names of all kinds.
func FaultNames() []string {
	var names []string
	for _, f := range slices.Concat(faults, grownFaults) {
		names = append(names, f.name)
	}
	return names
}

// chooseFaults returns the kinds named by a comma-separated list; "all" is all,
// for clusters that have grown, with those that only they can stand.
func chooseFaults(list string, grown bool) ([]fault, error) {
	all := faults
	if grown {
		all = slices.Concat(faults, grownFaults)
	}
	if list == "" || list == "all" {
		return all, nil
	}
	var chosen []fault
	for name := range strings.SplitSeq(list, ",") {
		index := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
		if index < 0 {
			return nil, fmt.Errorf("no fault %q; there are %s", name, strings.Join(FaultNames(), ", "))
		}
		chosen = append(chosen, all[index])
	}
	return chosen, nil
}

func pickOne[T any](c *cluster, items []T) T {
	return items[c.world.random.IntN(len(items))]
}

// strikeLoseDisk replaces a machine by one with an empty disk, if the system can stand
// the loss.
func strikeLoseDisk(c *cluster) func() {
	if !c.repaired() {
		return func() {}
	}
	ctl := pickOne(c, c.controls)
	ctl.kill()
	ctl.disk.wipe()
	c.world.log("%s has lost its disk", ctl.name)
	return ctl.start
}

// strikeSecondLoss loses a disk, and another machine's as soon as the repair is said
// to be done.
func strikeSecondLoss(c *cluster) func() {
	if !c.repaired() {
		return func() {}
	}
	first := c.world.random.IntN(len(c.controls))
	c.controls[first].kill()
	c.controls[first].disk.wipe()
	c.world.log("%s has lost its disk; another will after the repair", c.controls[first].name)
	c.world.after(500*time.Millisecond, c.controls[first].start)
	healed := false
	var watch func()
	watch = func() {
		if healed {
			return
		}
		if !c.repaired() {
			c.world.after(50*time.Millisecond, watch)
			return
		}
		second := c.controls[(first+1+c.world.random.IntN(len(c.controls)-1))%len(c.controls)]
		second.kill()
		second.disk.wipe()
		c.world.log("%s has lost its disk right after the repair", second.name)
		c.world.after(500*time.Millisecond, second.start)
	}
	c.world.after(time.Second, watch)
	return func() {
		healed = true
		c.controls[first].start()
	}
}

func strikeBackendLeaves(c *cluster) func() {
	b := pickOne(c, c.backends.all)
	if !b.alive || b.leaving {
		return func() {}
	}
	c.world.log("%s leaves", b.name)
	b.leave()
	c.platform.record()
	return func() { reviveBackend(c, b) }
}

func reviveBackend(c *cluster, b *backend) {
	b.replace()
	c.platform.record()
}

func cutZone(c *cluster, zone string, outward, inward bool) func() {
	var directions [][2]string
	for _, other := range c.zones {
		if other == zone {
			continue
		}
		if outward {
			directions = append(directions, [2]string{zone, other})
		}
		if inward {
			directions = append(directions, [2]string{other, zone})
		}
	}
	for _, direction := range directions {
		c.network.cut[direction] = true
	}
	return func() {
		for _, direction := range directions {
			delete(c.network.cut, direction)
		}
	}
}

// starveDelay is longer than a node stays at a stale relay.
const starveDelay = 4 * time.Second

// strikeStarveRelay cuts a relay off from control only. Its nodes move to other relays
// and get newer versions there; then they are restarted, and the one that is near them is
// the stale one.
func strikeStarveRelay(c *cluster) func() {
	r := pickOne(c, c.relays)
	c.network.starved[r.name] = true
	c.world.after(starveDelay, func() {
		if !c.network.starved[r.name] {
			return
		}
		for _, n := range c.nodes {
			if n.zone == r.zone {
				n.kill()
				n.start()
			}
		}
	})
	return func() { delete(c.network.starved, r.name) }
}

func isolate(c *cluster, p *process) func() {
	c.network.isolated[p.name] = true
	return func() { delete(c.network.isolated, p.name) }
}

func freeze(p *process) func() {
	p.freeze()
	return p.thaw
}

// active is a fault that has struck and not healed yet.
type active struct {
	name   string
	number int
	heal   func()
}

// chaos strikes faults at random times until stopped.
type chaos struct {
	cluster *cluster
	kinds   []fault
	open    []active
	struck  int
	stopped bool
}

// Timing of faults.
const (
	meanFaultPause = 3500 * time.Millisecond
	maxFaultLength = 9 * time.Second
	maxOpenFaults  = 3
)

func (x *chaos) run() {
	x.cluster.world.after(x.cluster.world.between(0, 2*meanFaultPause), func() {
		if x.stopped {
			return
		}
		x.strikeOne()
		x.run()
	})
}

func (x *chaos) strikeOne() {
	w := x.cluster.world
	if len(x.open) >= maxOpenFaults {
		return
	}
	kind := x.kinds[w.random.IntN(len(x.kinds))]
	w.log("fault %s strikes", kind.name)
	x.struck++
	number := x.struck
	struck := active{name: kind.name, number: number, heal: kind.strike(x.cluster)}
	x.open = append(x.open, struck)
	w.after(w.between(100*time.Millisecond, maxFaultLength), func() { x.healOne(struck, number) })
}

func (x *chaos) healOne(struck active, number int) {
	if x.stopped {
		return
	}
	for i := range x.open {
		if x.open[i].number == struck.number {
			x.open = append(x.open[:i:i], x.open[i+1:]...)
			break
		}
	}
	x.cluster.world.log("fault %s (%d) heals", struck.name, number)
	struck.heal()
}

// healAll ends every fault and starts everything that is down.
func (x *chaos) healAll() {
	x.stopped = true
	for _, struck := range x.open {
		struck.heal()
	}
	x.open = nil
	c := x.cluster
	c.healed = true
	clear(c.network.starved)
	clear(c.network.cut)
	clear(c.network.isolated)
	c.network.chaos = false
	c.network.garbling = false
	c.platform.down = false
	for _, ctl := range c.controls {
		ctl.thaw()
		ctl.disk.failSync = false
		ctl.start()
	}
	for _, r := range c.relays {
		r.thaw()
		r.start()
	}
	for _, n := range c.nodes {
		n.thaw()
		if n.disk != nil {
			n.disk.failSync = false
		}
		if n.stopping {
			n.end()
		}
		n.start()
	}
	c.world.log("all faults are healed")
}
