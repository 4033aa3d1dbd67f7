package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// seedsPerScenario is the number of simulations per restart scenario and interval.
const seedsPerScenario = 100

// Three of nine nodes serve a flooding tenant and restart singly or together. Calls admitted by an earlier
// process run must count, whichever replica sees the next run and whether or not the end was noticed.
func TestLimitsHoldWhenNodeRestartsUnnoticed(t *testing.T) {
	checkRestartScenario(t, scenario{restartUnnoticed: true})
}

func TestLimitsHoldWhenNodeRestartsAtOtherReplica(t *testing.T) {
	checkRestartScenario(t, scenario{restartAtOtherReplica: true})
}

func TestLimitsHoldWhenNodeRestartsAtOtherReplicaUnnoticed(t *testing.T) {
	checkRestartScenario(t, scenario{restartAtOtherReplica: true, restartUnnoticed: true})
}

func TestLimitsHoldWhenAllNodesOfATenantRestart(t *testing.T) {
	checkRestartScenario(t, scenario{restartAllThree: true})
}

func TestLimitsHoldWhenAllNodesOfATenantRestartAtOtherReplicas(t *testing.T) {
	checkRestartScenario(t, scenario{restartAllThree: true, restartAtOtherReplica: true})
}

// Calls admitted before a common restart of a node and its replica are known only from the replica's last sum,
// which the leader must keep.
func TestLimitsHoldWhenNodeAndItsReplicaRestart(t *testing.T) {
	checkRestartScenario(t, scenario{restartReplicas: true})
}

func TestLimitsHoldWhenAllNodesOfATenantAndTheirReplicasRestart(t *testing.T) {
	checkRestartScenario(t, scenario{restartAllThree: true, restartReplicas: true})
}

// checkRestartScenario runs a scenario with both restart intervals. It logs the fullest window and the calls
// that an ideal limiter would have admitted in addition.
func checkRestartScenario(t *testing.T, base scenario) {
	t.Parallel()
	for _, every := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(fmt.Sprint(every), func(t *testing.T) {
			tooFull, fullest, expectedCalls, missingCalls := 0, 0.0, 0, 0
			for seed := range int64(seedsPerScenario) {
				sim := runRestartScenario(seed, base, every)
				excess, maxRatio := sim.traffic[0].worstWindow()
				shortfall, admitted := sim.traffic[0].missingCalls()
				fullest, expectedCalls, missingCalls = max(fullest, maxRatio), expectedCalls+admitted, missingCalls+shortfall
				if excess > 0 {
					tooFull++
					t.Logf("seed %d: %.0f calls too many in a window, %.2f of the allowed number", seed, excess, maxRatio)
				}
			}
			t.Logf("fullest window %.2f of the allowed number, %d of %d expected calls were not admitted (%.1f %%)",
				fullest, missingCalls, expectedCalls, 100*float64(missingCalls)/float64(expectedCalls))
			if tooFull > 0 {
				t.Errorf("%d of %d seeds had windows over the limit, the fullest %.2f of the allowed number", tooFull, seedsPerScenario, fullest)
			}
		})
	}
}

func runRestartScenario(seed int64, base scenario, every time.Duration) *simulation {
	rng := rand.New(rand.NewSource(seed))
	at := time.Duration(6000+10*rng.Intn(600)) * time.Millisecond
	base.nodes, base.replicas, base.tenants, base.perSecond, base.length = 9, 3, 4, 60, 24*time.Second
	base.restartOneOfThree = every
	base.floods = []flood{{span{at, at + 3*time.Second}, 0, 8}, {span{at + 7*time.Second, at + 10*time.Second}, 0, 8}}
	sim := newSimulation(seed, base)
	sim.run()
	return sim
}
