package sim

import (
	"fmt"
	"io"
	"time"

	"bramblelift/pkg/bench/profile"
)

// Options describe a run.
type Options struct {
	Seed    uint64
	Profile string
	// Controls is how many control replicas there are; 0 for 3. More than three grow out
	// of the first three, as with seeds, and silent ones are removed.
	Controls int
	// Faults is a comma-separated list of kinds, or "all".
	Faults string
	// Trace, if set, takes every line of the trace.
	Trace io.Writer
	// FaultTime is how long faults come and go.
	FaultTime time.Duration
}

// Result is how a run ended.
type Result struct {
	Seed       uint64
	Steps      int
	Faults     int
	Calls      int
	Answered   int
	Accepted   uint64
	Digest     uint64
	Violations []Violation
	// Settled is how long after the last fault healed a new version was in force
	// everywhere.
	Settled time.Duration
}

// Bounds of a run.
const (
	// DefaultFaultTime is how long faults last in a run.
	DefaultFaultTime = 40 * time.Second
	// warmUp is how long the system runs before the first fault.
	warmUp = 4 * time.Second
	// acceptBound is within what time after the last fault an operator must get a
	// version accepted.
	acceptBound = 15 * time.Second
	// convergeBound is within what time an accepted version must be in force on
	// every node.
	convergeBound = 8 * time.Second
	// repairBound is within what time after the last fault every machine must have a
	// voting replica that holds all that is committed.
	repairBound = 30 * time.Second
	minAnswered = 100
)

// Run simulates one seed.
func Run(options Options) (Result, error) {
	chosen, err := profile.Find(options.Profile)
	if err != nil {
		return Result{}, err
	}
	kinds, err := chooseFaults(options.Faults, options.Controls > firstControls)
	if err != nil {
		return Result{}, err
	}
	w := newWorld(options.Seed, options.Trace)
	w.stopAtFirst = true
	c, err := newCluster(w, chosen.Zones, chosen.ZoneLatency, max(firstControls, options.Controls))
	if err != nil {
		return Result{}, fmt.Errorf("simulate seed %d: %w", options.Seed, err)
	}
	c.start()
	w.runUntil(warmUp, nil)
	x := &chaos{cluster: c, kinds: kinds}
	x.run()
	w.runUntil(warmUp+options.FaultTime, nil)
	x.healAll()
	settled := c.settle(options.FaultTime >= DefaultFaultTime)
	c.judgeCalls()
	c.judgeOperators()
	return Result{
		Seed: options.Seed, Steps: w.steps, Faults: x.struck, Calls: c.callsEnded, Answered: c.answered,
		Accepted: c.acceptedHighest, Digest: w.digest.Sum64(), Violations: w.violations, Settled: settled,
	}, nil
}

// settle checks progress once all faults are healed: a version begun from now on must
// be accepted, and be in force on every node, in time. A run of full length must also
// have answered calls.
func (c *cluster) settle(fullLength bool) time.Duration {
	w := c.world
	healedAt := w.now
	before := c.acceptedHighest
	accepted := func() bool { return c.acceptedHighest > before && c.acceptedAt > healedAt }
	w.runUntil(healedAt+acceptBound, accepted)
	if w.stopAtFirst && len(w.violations) > 0 {
		return 0
	}
	if !accepted() {
		w.violate(invariantProgress, "no version was accepted within %s of the last fault", acceptBound)
		return 0
	}
	for _, o := range c.operators {
		o.quiet = true
	}
	// Rounds under way may still roll a later version, so the target moves.
	everywhere := func() bool {
		for _, n := range c.nodes {
			if c.inForce[n.name] < c.acceptedHighest {
				return false
			}
		}
		return true
	}
	w.runUntil(c.acceptedAt+convergeBound, everywhere)
	if len(w.violations) > 0 {
		return 0
	}
	if !everywhere() {
		c.reportLaggards()
		return 0
	}
	settled := w.now - healedAt
	w.runUntil(healedAt+repairBound, c.repaired)
	if !c.repaired() && len(w.violations) == 0 {
		w.violate(invariantRepair, "a replaced replica does not hold everything %s after the last fault", repairBound)
	}
	if fullLength && c.answered < minAnswered {
		w.violate(invariantProgress, "only %d calls were answered", c.answered)
	}
	return settled
}

func (c *cluster) reportLaggards() {
	for _, n := range c.nodes {
		if c.inForce[n.name] < c.acceptedHighest {
			c.world.violate(invariantProgress, "%s has version %d in force %s after version %d was accepted",
				n.name, c.inForce[n.name], convergeBound, c.acceptedHighest)
		}
	}
}
