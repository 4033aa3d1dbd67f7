package sim

import (
	"fmt"
	"io"
	"time"

	"bramblelift/pkg/bench/profile"
)

// Options configure a run.
type Options struct {
	Seed    uint64
	Profile string
	// Controls is the number of control replicas; 0 means 3. Replicas beyond three join
	// after the first three have created the cluster, and unreachable replicas are removed.
	Controls int
	// Faults is a comma-separated list of fault names, or "all".
	Faults string
	// Trace receives every line of the trace, if it is set.
	Trace io.Writer
	// FaultTime is the virtual time during which faults are injected.
	FaultTime time.Duration
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Steps    int
	Faults   int
	Calls    int
	Answered int
	// Accepted is the highest version that an operator got accepted.
	Accepted   uint64
	Digest     uint64
	Violations []Violation
	// Settled is the virtual time from the end of the faults until a new version was in
	// force on every node.
	Settled time.Duration
}

// Bounds of a run.
const (
	// DefaultFaultTime is the fault time of a full-length run.
	DefaultFaultTime = 40 * time.Second
	// warmUp is the time before the first fault.
	warmUp = 4 * time.Second
	// acceptBound is the time after the last fault within which an operator must get a
	// version accepted.
	acceptBound = 15 * time.Second
	// convergeBound is the time within which an accepted version must be in force on every
	// node.
	convergeBound = 8 * time.Second
	// repairBound is the time after the last fault within which every machine must have a
	// voting replica with all committed entries.
	repairBound      = 30 * time.Second
	minAnsweredCalls = 100
)

// Run simulates one seed. It returns an error if the options are invalid; broken
// invariants are in the result.
func Run(options Options) (Result, error) {
	chosen, err := profile.Find(options.Profile)
	if err != nil {
		return Result{}, err
	}
	kinds, err := chooseFaults(options.Faults, options.Controls > initialControls)
	if err != nil {
		return Result{}, err
	}
	sim := newSimulation(options.Seed, options.Trace)
	sim.stopAtFirst = true
	c, err := newCluster(sim, chosen.Zones, chosen.ZoneLatency, max(initialControls, options.Controls))
	if err != nil {
		return Result{}, fmt.Errorf("simulate seed %d: %w", options.Seed, err)
	}
	c.start()
	sim.runUntil(warmUp, nil)
	injector := &faultInjector{cluster: c, kinds: kinds}
	injector.run()
	sim.runUntil(warmUp+options.FaultTime, nil)
	injector.healAll()
	settled := c.checkProgress(options.FaultTime >= DefaultFaultTime)
	c.checkCalls()
	c.checkLinearizability()
	return Result{
		Seed: options.Seed, Steps: sim.steps, Faults: injector.injectedCount, Calls: c.callsEnded, Answered: c.answered,
		Accepted: c.highestAccepted, Digest: sim.digest.Sum64(), Violations: sim.violations, Settled: settled,
	}, nil
}

// checkProgress checks that after all faults are healed a new version is accepted and in
// force on every node in time. A run of full length must also have answered calls. It
// returns the time until the version was in force everywhere, or 0.
func (c *cluster) checkProgress(fullLength bool) time.Duration {
	sim := c.simulation
	healedAt := sim.now
	previousHighest := c.highestAccepted
	accepted := func() bool { return c.highestAccepted > previousHighest && c.acceptedAt > healedAt }
	sim.runUntil(healedAt+acceptBound, accepted)
	if sim.stopAtFirst && len(sim.violations) > 0 {
		return 0
	}
	if !accepted() {
		sim.violate(invariantProgress, "no version was accepted within %s of the last fault", acceptBound)
		return 0
	}
	for _, o := range c.operators {
		o.paused = true
	}
	// Rounds in flight may still roll a later version, so the target changes.
	inForceEverywhere := func() bool {
		for _, n := range c.nodes {
			if c.versionInForce[n.name] < c.highestAccepted {
				return false
			}
		}
		return true
	}
	sim.runUntil(c.acceptedAt+convergeBound, inForceEverywhere)
	if len(sim.violations) > 0 {
		return 0
	}
	if !inForceEverywhere() {
		c.reportLaggingNodes()
		return 0
	}
	settled := sim.now - healedAt
	sim.runUntil(healedAt+repairBound, c.fullyReplicated)
	if !c.fullyReplicated() && len(sim.violations) == 0 {
		sim.violate(invariantRepair, "not every machine has a complete replica %s after the last fault", repairBound)
	}
	if fullLength && c.answered < minAnsweredCalls {
		sim.violate(invariantProgress, "only %d calls were answered", c.answered)
	}
	return settled
}

func (c *cluster) reportLaggingNodes() {
	for _, n := range c.nodes {
		if c.versionInForce[n.name] < c.highestAccepted {
			c.simulation.violate(invariantProgress, "%s has version %d in force %s after version %d was accepted",
				n.name, c.versionInForce[n.name], convergeBound, c.highestAccepted)
		}
	}
}
