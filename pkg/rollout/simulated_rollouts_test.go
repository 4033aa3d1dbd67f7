package rollout

import (
	"fmt"
	"math/rand"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

var goodKind = "good"

var versionKinds = []string{goodKind, "fails", "fails-later", "fails-under-load", "fails-on-a-route", "slow", "slow-later"}

var disturbances = []string{"none", "leader", "silent-third", "reports-lost", "restart", "burst", "sick-old", "sick-new", "zone", "cold", "all-cold",
	"state-lost", "gate-restarts", "slow-node", "eager", "eager-restarts", "eager-abuse"}

func between(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

func seconds(s float64) time.Duration {
	return time.Duration(s*100) * 10 * time.Millisecond
}

// scenarioOf derives a kind of version, a disturbance and their scenario from a seed.
func scenarioOf(seed int64) (string, string, scenario) {
	rng := rand.New(rand.NewSource(seed))
	kind := versionKinds[int(seed)%len(versionKinds)]
	disturbance := disturbances[int(seed)/len(versionKinds)%len(disturbances)]
	d := between(rng, 12, 24)
	w := scenario{duration: seconds(d), rate: between(rng, 300, 900), old: 8 + rng.Intn(8), zoneWeights: []float64{0.5, 0.3, 0.2}, reportLoss: 0.05, coldFactor: 2}
	if rng.Intn(4) == 0 {
		w.zoneWeights = []float64{1}
	}
	w.independentSpeeds = os.Getenv("ROLLOUT_SPEEDS") == "any"
	w.new = max(4, w.old-rng.Intn(4))
	at := between(rng, 0.05, 0.95) * d
	switch disturbance {
	case "leader":
		w.leaderLosses = []time.Duration{seconds(at)}
	case "silent-third":
		w.thirdPartitioned = [2]time.Duration{seconds(at), seconds(at + between(rng, 3, 12))}
	case "reports-lost":
		w.reportLoss = 0.4
	case "restart":
		w.fullRestart = seconds(between(rng, 0.1, 0.6) * d)
	case "burst":
		w.burst = [2]time.Duration{seconds(at), seconds(at + 3)}
	case "sick-old":
		w.failingOld = between(rng, 0.1, 0.3)
	case "sick-new":
		w.oneNewFailing = true
	case "zone":
		w.zoneFailing = [2]time.Duration{seconds(at), seconds(at + 3)}
	case "gate-restarts":
		w.gateRestarts = seconds(between(rng, 1, 3))
	case "all-cold":
		w.backToCold, w.allNewCold, w.coldFactor = seconds(at), true, 5
	case "slow-node":
		w.slowNode = true
	case "eager":
		w.eager = true
	case "eager-restarts":
		w.eager, w.gateRestarts = true, seconds(between(rng, 2, 4))
	case "eager-abuse":
		w.eager, w.duplicates = true, true
	case "state-lost":
		w.stateLoss = [2]time.Duration{seconds(at), seconds(at + between(rng, 2, 5))}
	case "cold":
		w.backToCold = seconds(at)
	}
	if rng.Intn(4) == 0 && disturbance != "restart" {
		w.leaderLosses = []time.Duration{seconds(between(rng, 0.05, 0.95) * d)}
	}
	b := &defect{route: -1}
	switch kind {
	case goodKind:
		return kind, disturbance, w
	case "fails":
		b.fails = between(rng, 0.15, 1)
	case "fails-later":
		b.fails, b.from = between(rng, 0.15, 1), seconds(between(rng, 0.1, 0.5)*d)
	case "fails-under-load":
		b.fails, b.underLoad = between(rng, 0.2, 1), true
	case "fails-on-a-route":
		b.fails, b.route = between(rng, 0.3, 1), rng.Intn(3)
	case "slow":
		b.slow, b.factor = between(rng, 0.3, 1), between(rng, 3, 6)
	case "slow-later":
		b.slow, b.factor, b.from = between(rng, 0.3, 1), between(rng, 3, 6), seconds(between(rng, 0.1, 0.5)*d)
	}
	w.bad = b
	return kind, disturbance, w
}

// summary collects the results of many seeds.
type summary struct {
	mu                                                    sync.Mutex
	runs, endedAsExpected                                 map[string]int
	exposureFaults, lateFaults, phaseFaults, budgetFaults int
	violations                                            []string
}

func (sum *summary) record(seed int64, kind, disturbance string, w scenario, r result) {
	sum.mu.Lock()
	defer sum.mu.Unlock()
	sum.runs[kind]++
	violation := func(format string, args ...any) {
		sum.violations = append(sum.violations, fmt.Sprintf("seed %d %s/%s d=%v: ", seed, kind, disturbance, w.duration)+fmt.Sprintf(format, args...))
	}
	if r.phaseViolations > 0 {
		sum.phaseFaults++
		violation("phases violated %d times, %v", r.phaseViolations, r.phase)
	}
	if r.overBudget > 0 {
		sum.budgetFaults++
		violation("%d calls beyond the exposure so far", r.overBudget)
	}
	if w.bad == nil {
		if r.phase == Completed && r.endedAt < w.duration {
			sum.endedAsExpected[kind]++
		} else {
			violation("%v after %v: %s", r.phase, r.endedAt, r.reason)
		}
		return
	}
	if r.phase == RolledBack {
		sum.endedAsExpected[kind]++
	} else {
		violation("%v after %v: %s; exposed %d of %.0f; %+v", r.phase, r.endedAt, r.reason, r.exposed, r.allowed, *w.bad)
	}
	if float64(r.exposed) > r.allowed {
		sum.exposureFaults++
		violation("exposed %d of %.0f: %v %s after %v", r.exposed, r.allowed, r.phase, r.reason, r.endedAt)
	}
	if r.lateCalls > 0 {
		sum.lateFaults++
		violation("%d calls later than 5 s after the 50th bad response: %+v", r.lateCalls, *w.bad)
	}
}

func seedCount() int64 {
	if n, err := strconv.ParseInt(os.Getenv("ROLLOUT_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 1000
}

// forEachSeed runs seeds in parallel.
func forEachSeed(seeds int64, run func(seed int64)) {
	next := make(chan int64)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range next {
				run(seed)
			}
		})
	}
	for seed := range seeds {
		next <- seed
	}
	close(next)
	group.Wait()
}

func runAll(seeds int64) *summary {
	sum := &summary{runs: map[string]int{}, endedAsExpected: map[string]int{}}
	forEachSeed(seeds, func(seed int64) {
		kind, disturbance, w := scenarioOf(seed)
		if only := os.Getenv("ROLLOUT_KIND"); only != "" && only != kind {
			return
		}
		sum.record(seed, kind, disturbance, w, newSimulation(seed, w).run())
	})
	return sum
}

func TestSimulatedRolloutsStayWithinBounds(t *testing.T) {
	t.Parallel()
	sum := runAll(seedCount())
	for _, violation := range sum.violations {
		t.Log(violation)
	}
	for _, kind := range versionKinds {
		t.Logf("%-18s %3d of %3d ended as expected", kind, sum.endedAsExpected[kind], sum.runs[kind])
		if kind != goodKind && sum.endedAsExpected[kind] < sum.runs[kind] {
			t.Errorf("not all rolled back: %s", kind)
		}
	}
	t.Logf("violations: exposure %d, budget %d, time %d, ends %d", sum.exposureFaults, sum.budgetFaults, sum.lateFaults, sum.phaseFaults)
	if float64(sum.endedAsExpected[goodKind]) < 0.99*float64(sum.runs[goodKind]) {
		t.Error("too few good versions completed")
	}
	if sum.exposureFaults+sum.budgetFaults+sum.lateFaults+sum.phaseFaults > 0 {
		t.Error("bounds violated")
	}
}

// phaseTimes records when phases of a rollout began, zero for phases not reached.
type phaseTimes struct {
	closing, completed time.Duration
	// fiftiethBad is the time of the 50th bad response after the version turned bad.
	fiftiethBad time.Duration
}

// observe records the phases of a simulation.
func (p *phaseTimes) observe(sim *simulation) {
	sim.onStep = func() {
		switch phase := sim.held().Phase; {
		case phase == Closing && p.closing == 0:
			p.closing = sim.now
		case phase == Completed && p.completed == 0:
			p.completed = sim.now
		}
		first, _ := slices.BinarySearch(sim.bad, sim.scenario.bad.from)
		if p.fiftiethBad == 0 && len(sim.bad) >= first+50 {
			p.fiftiethBad = sim.bad[first+49]
		}
	}
}

// fiftiethKnownBefore reports whether the 50th bad response was early enough to be reported, evaluated and
// acted on before a phase began.
func (p *phaseTimes) fiftiethKnownBefore(phase time.Duration) bool {
	const reportDelay = 600 * time.Millisecond
	return p.fiftiethBad > 0 && p.fiftiethBad+reportDelay < phase
}

// Guards against closing or completing a rollout after the 50th bad response is known, against too much
// exposure before Closing, and against calls later than 5 s after that response.
func TestVersionsThatTurnBadDuringTheRamp(t *testing.T) {
	t.Parallel()
	const seeds = 140
	rolledBack, withinExposure, completedBefore, worst := 0, 0, 0, 0.0
	var mu sync.Mutex
	forEachSeed(seeds, func(seed int64) {
		_, _, w := scenarioOf(seed*int64(len(versionKinds)) + 1) // fails at once
		p := planFor(w.duration)
		rng := rand.New(rand.NewSource(seed))
		w.bad.from = p.canaryEnd() + time.Duration(rng.Int63n(int64(w.duration-p.canaryEnd())))
		sim := newSimulation(seed, w)
		var times phaseTimes
		times.observe(sim)
		r := sim.run()
		exposed := float64(r.exposed) / r.allowed
		mu.Lock()
		defer mu.Unlock()
		if r.overBudget > 0 {
			t.Errorf("seed %d: %d calls beyond the exposure so far", seed, r.overBudget)
		}
		if r.phase == Completed && r.endedAt <= w.bad.from {
			completedBefore++
			return
		}
		if times.fiftiethKnownBefore(times.closing) || times.fiftiethKnownBefore(times.completed) {
			t.Errorf("seed %d: closing at %v, completed at %v, though its 50th bad response came at %v", seed, times.closing, times.completed, times.fiftiethBad)
		}
		if times.closing == 0 && exposed > 1 {
			t.Errorf("seed %d: %.1f times the exposure before the closing", seed, exposed)
		}
		if r.phase == RolledBack {
			rolledBack++
			if r.lateCalls > 0 {
				t.Errorf("seed %d: %d calls later than 5 s after the 50th bad response", seed, r.lateCalls)
			}
		}
		if exposed <= 1 {
			withinExposure++
		}
		worst = max(worst, exposed)
	})
	t.Logf("%d of %d were completed before they turned bad; of the others %d were rolled back, %d stayed within the exposure; the worst had %.1f times as much",
		completedBefore, seeds, rolledBack, withinExposure, worst)
}
