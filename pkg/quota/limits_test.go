package quota

import (
	"fmt"
	"math/rand"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"
)

var faults = []string{"none", "flood", "floods", "cut", "cut and flood", "leader lost", "leader lost in a flood", "power lost", "power lost in a flood",
	"lowered", "moving", "moving and flood", "restarts", "restarts and flood", "pings late"}

func scenarioOf(seed int64) (string, scenario) {
	rng := rand.New(rand.NewSource(seed))
	fault := faults[int(seed)%len(faults)]
	sc := scenario{nodes: 63, replicas: 3, tenants: 24, perSecond: 200 + 400*rng.Float64(), length: 24 * time.Second}
	at := time.Duration(6000+10*rng.Intn(600)) * time.Millisecond
	during := span{at, at + 5*time.Second}
	singleFlood := flood{span: span{at, at + 6*time.Second}, tenant: rng.Intn(sc.tenants), factor: 3 + 5*rng.Float64()}
	switch fault {
	case "flood":
		sc.floods = []flood{singleFlood}
	case "floods":
		sc.floods = []flood{{singleFlood.span, 0, 6.9}, {singleFlood.span, 1 + rng.Intn(4), 6.3}, {singleFlood.span, 5 + rng.Intn(15), 5.6}}
	case "cut":
		sc.partition = during
	case "cut and flood":
		sc.partition, sc.floods = during, []flood{singleFlood}
	case "leader lost":
		sc.leaderLost = at
	case "leader lost in a flood":
		sc.leaderLost, sc.floods = at+time.Duration(rng.Intn(100))*10*time.Millisecond, []flood{singleFlood}
	case "power lost":
		sc.powerLost = span{at, at + time.Second}
	case "power lost in a flood":
		sc.powerLost, sc.floods = span{at + 3*time.Second, at + 4*time.Second}, []flood{singleFlood}
	case "lowered":
		sc.loweredAt, sc.loweredTo = at, 0.1+0.3*rng.Float64()
	case "moving":
		sc.moving = true
	case "moving and flood":
		sc.moving, sc.floods = true, []flood{singleFlood}
	case "restarts":
		sc.restarts = true
	case "restarts and flood":
		sc.restarts, sc.floods = true, []flood{singleFlood}
	case "pings late":
		sc.latePingFraction, sc.floods = 0.3, []flood{singleFlood}
	}
	return fault, sc
}

// results collects the outcomes of all simulations by injected fault.
type results struct {
	mu         sync.Mutex
	byFault    map[string]*result
	violations []string
}

type result struct {
	runs, expectedCalls, missingCalls, tenantsOverLimit int
	// maxWindowRatio is the largest ratio of the calls in a window to the allowed number.
	maxWindowRatio float64
}

func (res *results) record(seed int64, fault string, sim *simulation) {
	res.mu.Lock()
	defer res.mu.Unlock()
	r := res.byFault[fault]
	if r == nil {
		r = &result{}
		res.byFault[fault] = r
	}
	r.runs++
	for _, tr := range sim.traffic {
		excess, maxRatio := tr.worstWindow()
		missingCalls, expectedCalls := tr.missingCalls()
		r.expectedCalls += expectedCalls
		r.missingCalls += missingCalls
		r.maxWindowRatio = max(r.maxWindowRatio, maxRatio)
		if excess > 0 {
			r.tenantsOverLimit++
			res.violations = append(res.violations, fmt.Sprintf("seed %d %s: %s (rate %.0f) has %.0f calls too many in a window", seed, fault, tr.name, tr.limit.Rate, excess))
		}
	}
}

func seedCount() int64 {
	if n, err := strconv.ParseInt(os.Getenv("QUOTA_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 300
}

func runAll(seeds int64) *results {
	res := &results{byFault: map[string]*result{}}
	next := make(chan int64)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range next {
				fault, sc := scenarioOf(seed)
				sim := newSimulation(seed, sc)
				sim.run()
				res.record(seed, fault, sim)
			}
		})
	}
	for seed := range seeds {
		next <- seed
	}
	close(next)
	group.Wait()
	return res
}

// No window may exceed the policy under any fault, and nearly as many calls must be admitted as by an ideal
// central limiter.
func TestLimitsHoldOverAllNodes(t *testing.T) {
	t.Parallel()
	res := runAll(seedCount())
	expectedCalls, missingCalls := 0, 0
	for _, fault := range faults {
		r := res.byFault[fault]
		if r == nil {
			continue
		}
		expectedCalls, missingCalls = expectedCalls+r.expectedCalls, missingCalls+r.missingCalls
		if share := float64(r.missingCalls) / float64(r.expectedCalls); share > 0.02 {
			t.Errorf("%s: %.2f %% of the expected calls were not admitted", fault, 100*share)
		}
		t.Logf("%-24s %3d runs, fullest window %.2f of the allowed number, %5d of %7d expected calls were not admitted (%.3f %%), windows over the limit for %d tenants",
			fault, r.runs, r.maxWindowRatio, r.missingCalls, r.expectedCalls, 100*float64(r.missingCalls)/float64(r.expectedCalls), r.tenantsOverLimit)
	}
	for _, violation := range res.violations {
		t.Error(violation)
	}
	if share := float64(missingCalls) / float64(expectedCalls); share > 0.005 {
		t.Errorf("%.2f %% of all expected calls were not admitted", 100*share)
	}
}

// Guards against exceeding the limit when one of a flooded tenant's three nodes restarts every three seconds.
func TestLimitsHoldWhileNodesRestartInAFlood(t *testing.T) {
	t.Parallel()
	checkRestarts(t, 3*time.Second)
}

// Guards against calls of restarted nodes that are missing from the sums, or leave the window too early, which
// makes the tenant unlimited during a flood.
func TestLimitsHoldWhileNodesRestartEverySecond(t *testing.T) {
	t.Parallel()
	checkRestarts(t, time.Second)
}

func checkRestarts(t *testing.T, every time.Duration) {
	for seed := range int64(20) {
		rng := rand.New(rand.NewSource(seed))
		at := time.Duration(6000+10*rng.Intn(600)) * time.Millisecond
		sim := newSimulation(seed, scenario{
			nodes: 9, replicas: 3, tenants: 4, perSecond: 60, length: 24 * time.Second, restartOneOfThree: every,
			floods: []flood{{span{at, at + 3*time.Second}, 0, 8}, {span{at + 7*time.Second, at + 10*time.Second}, 0, 8}},
		})
		sim.run()
		if excess, maxRatio := sim.traffic[0].worstWindow(); excess > 0 {
			t.Errorf("seed %d: %.0f calls too many in a window, %.2f of the allowed number", seed, excess, maxRatio)
		}
	}
}
