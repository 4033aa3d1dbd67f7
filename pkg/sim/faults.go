package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// fault is one kind of failure. inject starts it and returns a function that ends it.
type fault struct {
	name   string
	inject func(c *cluster) (heal func())
}

// faults lists the kinds of faults. Random draws depend on the order.
var faults = []fault{
	{"kill-control", func(c *cluster) func() {
		ctl := pickRandom(c, c.controls)
		ctl.kill()
		return ctl.start
	}},
	{"kill-leader", func(c *cluster) func() {
		for _, ctl := range c.controls {
			if ctl.running && c.leaseHolders[ctl] {
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
	{"lose-disk", injectDiskLoss},
	{"second-loss", injectSecondDiskLoss},
	{"fail-sync", func(c *cluster) func() {
		ctl := pickRandom(c, c.controls)
		ctl.disk.failSync = true
		return func() { ctl.disk.failSync = false }
	}},
	{"fail-node-sync", func(c *cluster) func() {
		n := pickRandom(c, c.nodes)
		if n.disk == nil {
			return func() {}
		}
		n.disk.failSync = true
		return func() { n.disk.failSync = false }
	}},
	{"kill-relay", func(c *cluster) func() {
		r := pickRandom(c, c.relays)
		r.kill()
		return r.start
	}},
	{"node-herd", func(c *cluster) func() {
		for _, n := range c.nodes {
			n.kill()
		}
		for _, r := range c.relays {
			if c.simulation.chance(0.5) {
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
		n := pickRandom(c, c.nodes)
		n.kill()
		return n.start
	}},
	{"cut-zone", func(c *cluster) func() {
		zone := pickRandom(c, c.zones)
		return partitionZone(c, zone, true, true)
	}},
	{"cut-one-way", func(c *cluster) func() {
		zone := pickRandom(c, c.zones)
		outward := c.simulation.chance(0.5)
		return partitionZone(c, zone, outward, !outward)
	}},
	{"isolate-control", func(c *cluster) func() { return isolate(c, &pickRandom(c, c.controls).process) }},
	{"isolate-relay", func(c *cluster) func() { return isolate(c, &pickRandom(c, c.relays).process) }},
	{"freeze-control", func(c *cluster) func() { return freeze(&pickRandom(c, c.controls).process) }},
	{"freeze-relay", func(c *cluster) func() { return freeze(&pickRandom(c, c.relays).process) }},
	{"freeze-node", func(c *cluster) func() { return freeze(&pickRandom(c, c.nodes).process) }},
	{"message-chaos", func(c *cluster) func() {
		c.network.unreliable = true
		return func() { c.network.unreliable = false }
	}},
	{"source-outage", func(c *cluster) func() {
		c.platform.down = true
		return func() { c.platform.down = false }
	}},
	{"platform-lag", func(c *cluster) func() {
		previousLag := c.platform.lag
		c.platform.lag = 8 * time.Second
		return func() { c.platform.lag = previousLag }
	}},
	{"lying-load", func(c *cluster) func() {
		b := pickRandom(c, c.backends.all)
		b.reportsFalseLoad = true
		return func() { b.reportsFalseLoad = false }
	}},
	{"backend-leaves", injectBackendLeaving},
	{"kill-backend", func(c *cluster) func() {
		b := pickRandom(c, c.backends.all)
		if !b.running {
			return func() {}
		}
		c.backends.crash(b)
		c.platform.recordList()
		return func() { restartBackend(c, b) }
	}},
	{"planned-stop", func(c *cluster) func() {
		n := pickRandom(c, c.nodes)
		if n.running && !n.stopping {
			n.stop(func() {})
		}
		return func() {
			if n.running {
				n.endRun()
			}
			n.start()
		}
	}},
	{"starve-relay", injectStaleRelay},
	{"garbled-updates", func(c *cluster) func() {
		c.network.corrupting = true
		return func() { c.network.corrupting = false }
	}},
}

// FaultNames returns the names of all kinds of faults, those for expanded clusters
// included.
func FaultNames() []string {
	var names []string
	for _, f := range slices.Concat(faults, expandedFaults) {
		names = append(names, f.name)
	}
	return names
}

// chooseFaults returns the kinds named by a comma-separated list. "all" and the empty
// list select every kind; those of expandedFaults are available only if expanded is set.
func chooseFaults(list string, expanded bool) ([]fault, error) {
	all := faults
	if expanded {
		all = slices.Concat(faults, expandedFaults)
	}
	if list == "" || list == "all" {
		return all, nil
	}
	var chosen []fault
	for name := range strings.SplitSeq(list, ",") {
		index := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
		if index < 0 {
			return nil, fmt.Errorf("unknown fault %q; known faults: %s", name, strings.Join(FaultNames(), ", "))
		}
		chosen = append(chosen, all[index])
	}
	return chosen, nil
}

func pickRandom[T any](c *cluster, items []T) T {
	return items[c.simulation.random.IntN(len(items))]
}

// injectDiskLoss replaces a machine by one with an empty disk, unless a previous loss
// is not repaired yet.
func injectDiskLoss(c *cluster) func() {
	if !c.fullyReplicated() {
		return func() {}
	}
	ctl := pickRandom(c, c.controls)
	ctl.kill()
	ctl.disk.wipe()
	c.simulation.log("%s has lost its disk", ctl.name)
	return ctl.start
}

// injectSecondDiskLoss wipes the disk of one machine, and that of another as soon as
// the first is fully replicated again.
func injectSecondDiskLoss(c *cluster) func() {
	if !c.fullyReplicated() {
		return func() {}
	}
	first := c.simulation.random.IntN(len(c.controls))
	c.controls[first].kill()
	c.controls[first].disk.wipe()
	c.simulation.log("%s has lost its disk; another follows after the repair", c.controls[first].name)
	c.simulation.after(500*time.Millisecond, c.controls[first].start)
	healed := false
	var watch func()
	watch = func() {
		if healed {
			return
		}
		if !c.fullyReplicated() {
			c.simulation.after(50*time.Millisecond, watch)
			return
		}
		second := c.controls[(first+1+c.simulation.random.IntN(len(c.controls)-1))%len(c.controls)]
		second.kill()
		second.disk.wipe()
		c.simulation.log("%s has lost its disk right after the repair", second.name)
		c.simulation.after(500*time.Millisecond, second.start)
	}
	c.simulation.after(time.Second, watch)
	return func() {
		healed = true
		c.controls[first].start()
	}
}

func injectBackendLeaving(c *cluster) func() {
	b := pickRandom(c, c.backends.all)
	if !b.running || b.leaving {
		return func() {}
	}
	c.simulation.log("%s leaves", b.name)
	b.startLeaving()
	c.platform.recordList()
	return func() { restartBackend(c, b) }
}

func restartBackend(c *cluster, b *backend) {
	b.restart()
	c.platform.recordList()
}

func partitionZone(c *cluster, zone string, outward, inward bool) func() {
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
		c.network.partitioned[direction] = true
	}
	return func() {
		for _, direction := range directions {
			delete(c.network.partitioned, direction)
		}
	}
}

// staleRelayRestartDelay is longer than a node stays subscribed to a stale relay.
const staleRelayRestartDelay = 4 * time.Second

// injectStaleRelay cuts a relay off from control. After its nodes have moved to other
// relays with newer versions, it restarts them, so that they may connect to the stale
// relay first.
func injectStaleRelay(c *cluster) func() {
	r := pickRandom(c, c.relays)
	c.network.cutFromControl[r.name] = true
	c.simulation.after(staleRelayRestartDelay, func() {
		if !c.network.cutFromControl[r.name] {
			return
		}
		for _, n := range c.nodes {
			if n.zone == r.zone {
				n.kill()
				n.start()
			}
		}
	})
	return func() { delete(c.network.cutFromControl, r.name) }
}

func isolate(c *cluster, p *process) func() {
	c.network.isolated[p.name] = true
	return func() { delete(c.network.isolated, p.name) }
}

func freeze(p *process) func() {
	p.freeze()
	return p.thaw
}

// activeFault is a fault that has been injected and not healed yet.
type activeFault struct {
	name   string
	number int
	heal   func()
}

// faultInjector injects faults at random times until it is stopped.
type faultInjector struct {
	cluster       *cluster
	kinds         []fault
	active        []activeFault
	injectedCount int
	stopped       bool
}

// Timing and number of faults.
const (
	meanFaultInterval = 3500 * time.Millisecond
	maxFaultDuration  = 9 * time.Second
	maxActiveFaults   = 3
)

func (f *faultInjector) run() {
	f.cluster.simulation.after(f.cluster.simulation.between(0, 2*meanFaultInterval), func() {
		if f.stopped {
			return
		}
		f.injectOne()
		f.run()
	})
}

func (f *faultInjector) injectOne() {
	sim := f.cluster.simulation
	if len(f.active) >= maxActiveFaults {
		return
	}
	kind := f.kinds[sim.random.IntN(len(f.kinds))]
	sim.log("fault %s is injected", kind.name)
	f.injectedCount++
	number := f.injectedCount
	injected := activeFault{name: kind.name, number: number, heal: kind.inject(f.cluster)}
	f.active = append(f.active, injected)
	sim.after(sim.between(100*time.Millisecond, maxFaultDuration), func() { f.healOne(injected, number) })
}

func (f *faultInjector) healOne(injected activeFault, number int) {
	if f.stopped {
		return
	}
	for i := range f.active {
		if f.active[i].number == injected.number {
			f.active = append(f.active[:i:i], f.active[i+1:]...)
			break
		}
	}
	f.cluster.simulation.log("fault %s (%d) is healed", injected.name, number)
	injected.heal()
}

// healAll ends every fault and starts every process that is not running.
func (f *faultInjector) healAll() {
	f.stopped = true
	for _, injected := range f.active {
		injected.heal()
	}
	f.active = nil
	c := f.cluster
	c.healed = true
	clear(c.network.cutFromControl)
	clear(c.network.partitioned)
	clear(c.network.isolated)
	c.network.unreliable = false
	c.network.corrupting = false
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
			n.endRun()
		}
		n.start()
	}
	c.simulation.log("all faults are healed")
}
