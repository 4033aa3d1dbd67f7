package rollout

import "testing"

// checkSeedBounds checks one seed against the bounds that hold for all seeds.
func checkSeedBounds(t *testing.T, seed int64) {
	t.Helper()
	kind, disturbance, w := scenarioOf(seed)
	sum := &summary{runs: map[string]int{}, endedAsExpected: map[string]int{}}
	sum.record(seed, kind, disturbance, w, newSimulation(seed, w).run())
	for _, violation := range sum.violations {
		t.Log(violation)
	}
	if sum.exposureFaults+sum.budgetFaults+sum.lateFaults+sum.phaseFaults > 0 || (kind != goodKind && sum.endedAsExpected[kind] == 0) {
		t.Errorf("seed %d (%s, %s): exposure %d, budget %d, time %d, ends %d", seed, kind, disturbance, sum.exposureFaults, sum.budgetFaults, sum.lateFaults, sum.phaseFaults)
	}
}

// Guards against closing the old gates while evidence from a single bad route of cold back ends is still
// growing.
func TestBadRouteOnColdBackends(t *testing.T) { checkSeedBounds(t, 4239) }

// Guards against canary calls to cold back ends, which say nothing about times.
func TestSlowVersionAfterColdRestart(t *testing.T) { checkSeedBounds(t, 2574) }

// This test and the next three guard against counting slow responses as a back end's usual time when most
// are slow: the version must get no calls later than 5 s after its 50th bad response.
func TestSlowVersionInAFailingZone(t *testing.T) { checkSeedBounds(t, 8748) }

func TestSlowVersionWhileStateIsLost(t *testing.T) { checkSeedBounds(t, 8888) }

func TestVersionThatTurnsSlowDuringWarmUp(t *testing.T) { checkSeedBounds(t, 9106) }

func TestSlowVersionOfferedByEagerNodes(t *testing.T) { checkSeedBounds(t, 111011) }

// Guards against a single low score that delays the rollback of a suspicious version.
func TestVersionThatTurnsSlowWhileGatesRestart(t *testing.T) { checkSeedBounds(t, 11654) }

// checkSeedCompletes checks that a good version is completed within its duration.
func checkSeedCompletes(t *testing.T, seed int64) {
	t.Helper()
	kind, disturbance, w := scenarioOf(seed)
	r := newSimulation(seed, w).run()
	if kind != goodKind || r.phase != Completed || r.endedAt >= w.duration {
		t.Errorf("seed %d (%s, %s, %v): %v after %v: %s", seed, kind, disturbance, w.duration, r.phase, r.endedAt, r.reason)
	}
}

// Guards against rolling back a good version because one back end fails half of its calls and another one
// fails a single call.
func TestOneFailingBackendDoesNotRollBack(t *testing.T) {
	for _, seed := range []int64{12187, 9688, 301357} {
		checkSeedCompletes(t, seed)
	}
}
