package sim

import "time"

// grownFaults strike clusters that have grown beyond their founders.
var grownFaults = []fault{
	{"full-disk", func(c *cluster) func() {
		ctl := pickOne(c, c.controls)
		ctl.disk.full = true
		c.world.log("the disk of %s is full", ctl.name)
		return func() { ctl.disk.full = false }
	}},
	{"replace-control", strikeReplaceControl},
}

// newcomerPause is how long after a machine has gone its successor comes.
const newcomerPause = time.Second

// tellServers lets the relays know the replicas, as the servers that they follow would.
func (c *cluster) tellServers() {
	for _, r := range c.relays {
		if r.alive {
			r.client.selector.Offer(candidatesOf(r.zone, c.controlProcesses()))
		}
	}
}

// strikeReplaceControl takes a machine away for good; an empty one comes under another name
// and address, if the system can stand the loss.
func strikeReplaceControl(c *cluster) func() {
	if !c.repaired() {
		return func() {}
	}
	index := c.world.random.IntN(len(c.controls))
	gone := c.controls[index]
	gone.kill()
	gone.leftForGood = true
	successor := c.newControl(index)
	c.world.log("%s is gone for good, %s comes in its place", gone.name, successor.name)
	c.controls[index] = successor
	c.gone = append(c.gone, gone)
	c.tellServers()
	c.world.after(newcomerPause, successor.start)
	return successor.start
}
