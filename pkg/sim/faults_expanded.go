package sim

import "time"

// expandedFaults are the faults that only clusters with more than initialControls
// replicas survive.
var expandedFaults = []fault{
	{"full-disk", func(c *cluster) func() {
		ctl := pickRandom(c, c.controls)
		ctl.disk.full = true
		c.simulation.log("the disk of %s is full", ctl.name)
		return func() { ctl.disk.full = false }
	}},
	{"replace-control", injectControlReplacement},
}

// replacementDelay is the time between the removal of a machine and the start of its
// replacement.
const replacementDelay = time.Second

// updateRelayServers offers the current control replicas to the relays, as the servers
// that they subscribe to do in the daemons.
func (c *cluster) updateRelayServers() {
	for _, r := range c.relays {
		if r.running {
			r.client.selector.SetCandidates(candidatesOf(r.zone, c.controlProcesses()))
		}
	}
}

// injectControlReplacement removes a machine permanently and starts an empty one with
// another name and address, unless a previous loss is not repaired yet.
func injectControlReplacement(c *cluster) func() {
	if !c.fullyReplicated() {
		return func() {}
	}
	index := c.simulation.random.IntN(len(c.controls))
	retired := c.controls[index]
	retired.kill()
	retired.decommissioned = true
	replacement := c.newControl(index)
	c.simulation.log("%s is removed, %s replaces it", retired.name, replacement.name)
	c.controls[index] = replacement
	c.retired = append(c.retired, retired)
	c.updateRelayServers()
	c.simulation.after(replacementDelay, replacement.start)
	return replacement.start
}
