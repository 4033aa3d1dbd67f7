package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramblelift/pkg/sim"
)

// simOptions are the flags of the sim command, which runs the simulator.
type simOptions struct {
	Seeds    string        `long:"seeds" default:"1-100" description:"first and last seed, like 1-1000"`
	Profile  string        `long:"profile" default:"san-jose" description:"san-jose or colombo-west"`
	Controls int           `long:"controls" default:"3" description:"control replicas; more than three grow out of the first three"`
	Faults   string        `long:"faults" default:"all" description:"comma-separated kinds of faults, or all"`
	Trace    string        `long:"trace" value-name:"FILE" description:"write the trace of the first seed, or of the first that fails"`
	Duration time.Duration `long:"duration" default:"40s" description:"virtual time for which faults come and go"`
	Workers  int           `long:"workers" description:"seeds run at a time; default: one a core"`
}

var errViolations = errors.New("simulation violated invariants")

func (o simOptions) run(out io.Writer) error {
	first, last, err := parseSeeds(o.Seeds)
	if err != nil {
		return err
	}
	results, err := o.runSeeds(first, last)
	if err != nil {
		return err
	}
	steps, faults, violations := 0, 0, 0
	var slowest time.Duration
	failingSeed := uint64(0)
	for _, result := range results {
		steps += result.Steps
		faults += result.Faults
		violations += len(result.Violations)
		slowest = max(slowest, result.Settled)
		for _, v := range result.Violations {
			fmt.Fprintf(out, "violation seed=%d %s\n", result.Seed, v)
		}
		if len(result.Violations) > 0 && failingSeed == 0 {
			failingSeed = result.Seed
		}
	}
	if failingSeed != 0 {
		o.minimize(out, failingSeed)
	}
	if err := o.writeTrace(first, failingSeed); err != nil {
		return err
	}
	fmt.Fprintf(out, "result seeds=%d steps=%d faults=%d violations=%d slowest_settle_ms=%d digest=%016x\n",
		len(results), steps, faults, violations, slowest.Milliseconds(), combineDigests(results))
	if violations > 0 {
		return errViolations
	}
	return nil
}

// combineDigests returns one digest of all results, which depends on their order.
func combineDigests(results []sim.Result) uint64 {
	var digest uint64
	for _, result := range results {
		digest = digest*31 + result.Digest
	}
	return digest
}

func parseSeeds(text string) (first, last uint64, err error) {
	low, high, isRange := strings.Cut(text, "-")
	if !isRange {
		high = low
	}
	first, err = strconv.ParseUint(low, 10, 64)
	if err == nil {
		last, err = strconv.ParseUint(high, 10, 64)
	}
	if err != nil || last < first {
		return 0, 0, fmt.Errorf("seeds %q: want a number or a range like 1-1000", text)
	}
	return first, last, nil
}

func (o simOptions) options(seed uint64) sim.Options {
	return sim.Options{Seed: seed, Profile: o.Profile, Controls: o.Controls, Faults: o.Faults, FaultTime: o.Duration}
}

// runSeeds runs all seeds on parallel workers and returns the results in seed order.
func (o simOptions) runSeeds(first, last uint64) ([]sim.Result, error) {
	workers := o.Workers
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	results := make([]sim.Result, last-first+1)
	failures := make([]error, len(results))
	indexes := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := range indexes {
				results[i], failures[i] = sim.Run(o.options(first + uint64(i)))
			}
		})
	}
	for i := range results {
		indexes <- i
	}
	close(indexes)
	group.Wait()
	return results, errors.Join(failures...)
}

// minimize searches for a shorter fault time and a single kind of fault with which the
// seed still fails, and prints what it found.
func (o simOptions) minimize(out io.Writer, seed uint64) {
	best := o.options(seed)
	stillFails := func(candidate sim.Options) bool {
		result, err := sim.Run(candidate)
		return err == nil && len(result.Violations) > 0
	}
	for length := best.FaultTime / 2; length >= time.Second; length /= 2 {
		candidate := best
		candidate.FaultTime = length
		if stillFails(candidate) {
			best = candidate
		}
	}
	for _, kind := range sim.FaultNames() {
		candidate := best
		candidate.Faults = kind
		if stillFails(candidate) {
			best = candidate
			break
		}
	}
	fmt.Fprintf(out, "shortest found: --seeds %d --faults %s --duration %s\n", seed, best.Faults, best.FaultTime)
}

func (o simOptions) writeTrace(first, failingSeed uint64) error {
	if o.Trace == "" {
		return nil
	}
	seed := first
	if failingSeed != 0 {
		seed = failingSeed
	}
	file, err := os.Create(o.Trace)
	if err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	defer file.Close()
	options := o.options(seed)
	options.Trace = file
	if _, err := sim.Run(options); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}
