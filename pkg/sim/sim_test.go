package sim

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/bench/profile"

	"github.com/matryer/is"
)

// seedsPerProfile is the number of seeds tested for each profile.
const seedsPerProfile = 60

// regressionSeeds are additional seeds that exposed faults.
var regressionSeeds = map[string][]uint64{
	"san-jose":     {675, 885, 963, 5188, 10139, 31534},
	"colombo-west": {542, 4046},
}

func TestInvariantsHoldUnderAllFaults(t *testing.T) {
	for _, name := range profile.Names() {
		seeds := regressionSeeds[name]
		for seed := range uint64(seedsPerProfile) {
			seeds = append(seeds, seed+1)
		}
		t.Run(name, func(t *testing.T) { runSeeds(t, name, seeds) })
	}
}

// seedsPerClusterSize is the number of seeds tested for each size of expanded cluster.
const seedsPerClusterSize = 25

// TestInvariantsHoldInExpandedClusters guards against broken invariants in clusters of
// four and five voters, with replaced machines and full disks.
func TestInvariantsHoldInExpandedClusters(t *testing.T) {
	for _, controls := range []int{4, 5} {
		t.Run(fmt.Sprint(controls), func(t *testing.T) {
			for seed := range uint64(seedsPerClusterSize) {
				for _, list := range []string{"all", "full-disk,replace-control,kill-leader"} {
					options := Options{Seed: seed + 1, Profile: "colombo-west", Faults: list, Controls: controls, FaultTime: DefaultFaultTime}
					t.Run(fmt.Sprintf("%s %d", list, seed+1), func(t *testing.T) {
						t.Parallel()
						result, err := Run(options)
						is.New(t).NoErr(err)
						for _, violation := range result.Violations {
							t.Errorf("%s", violation)
						}
					})
				}
			}
		})
	}
}

// runSeeds runs up to four seeds at a time.
func runSeeds(t *testing.T, name string, seeds []uint64) {
	t.Helper()
	var group sync.WaitGroup
	slots := make(chan struct{}, 4)
	for _, seed := range seeds {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			result, err := Run(Options{Seed: seed, Profile: name, Faults: "all", FaultTime: DefaultFaultTime})
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			for _, violation := range result.Violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
		})
	}
	group.Wait()
}

// TestEachFaultAlone injects one kind of fault at a time.
func TestEachFaultAlone(t *testing.T) {
	for _, kind := range faults {
		t.Run(kind.name, func(t *testing.T) {
			for seed := range uint64(3) {
				result, err := Run(Options{Seed: seed + 1, Profile: "colombo-west", Faults: kind.name, FaultTime: DefaultFaultTime})
				is := is.New(t)
				is.NoErr(err)
				is.True(result.Faults > 0) // at least one fault was injected
				for _, violation := range result.Violations {
					t.Errorf("seed %d: %s", seed+1, violation)
				}
			}
		})
	}
}

func TestSameSeedProducesSameTrace(t *testing.T) {
	is := is.New(t)
	options := Options{Seed: 42, Profile: "san-jose", Faults: "all", FaultTime: 15 * time.Second}
	first, err := Run(options)
	is.NoErr(err)
	second, err := Run(options)
	is.NoErr(err)
	is.Equal(first, second)
	options.Seed = 43
	third, err := Run(options)
	is.NoErr(err)
	is.True(third.Digest != first.Digest)
}

func TestUnknownProfileOrFaultIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := Run(Options{Profile: "nowhere", Faults: "all"})
	is.True(err != nil)
	_, err = Run(Options{Profile: "san-jose", Faults: "earthquake"})
	is.True(err != nil)
}

// countViolations returns the number of violations that the linearizability check finds
// in a history.
func countViolations(t *testing.T, records ...*operationRecord) int {
	t.Helper()
	sim := newSimulation(1, nil)
	chosen, err := profile.Find("san-jose")
	is.New(t).NoErr(err)
	c, err := newCluster(sim, chosen.Zones, chosen.ZoneLatency, initialControls)
	is.New(t).NoErr(err)
	c.operations = records
	c.checkLinearizability()
	return len(sim.violations)
}

func operation(client int, from, to int, input operationInput, output operationOutput) *operationRecord {
	output.known = true
	return &operationRecord{client: client, input: input, output: output, calledAt: time.Duration(from), returnedAt: time.Duration(to)}
}

func TestLinearizabilityCheckerRejectsInvalidHistories(t *testing.T) {
	is := is.New(t)
	create := func(client, from, to int, expected uint64, ok bool) *operationRecord {
		return operation(client, from, to, operationInput{kind: createOperation, expected: expected, valid: true}, operationOutput{ok: ok, head: expected + 1})
	}
	roll := func(client, from, to int, version uint64) *operationRecord {
		return operation(client, from, to, operationInput{kind: rollOperation, expected: version}, operationOutput{ok: true})
	}
	read := func(client, from, to int, head, active uint64) *operationRecord {
		return operation(client, from, to, operationInput{kind: readOperation}, operationOutput{head: head, active: active})
	}
	good := []*operationRecord{create(0, 1, 2, 0, true), create(1, 1, 3, 0, false), roll(0, 4, 5, 1), read(1, 6, 7, 1, 1)}
	is.Equal(countViolations(t, good...), 0)
	for name, bad := range map[string][]*operationRecord{
		"two winners under one number": {create(0, 1, 2, 0, true), create(1, 1, 3, 0, true)},
		"read after roll is old":       {create(0, 1, 2, 0, true), roll(0, 3, 4, 1), read(1, 5, 6, 1, 0)},
		"accepted version reverts":     {create(0, 1, 2, 0, true), roll(0, 3, 4, 1), read(1, 5, 6, 1, 1), read(1, 7, 8, 1, 0)},
		"head comes from nowhere":      {read(0, 1, 2, 4, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			if countViolations(t, bad...) == 0 {
				t.Error("the checker accepted an invalid history")
			}
		})
	}
}

func TestDiskCrashLosesUnsyncedData(t *testing.T) {
	is := is.New(t)
	lost, kept := 0, 0
	for seed := range uint64(50) {
		d := newDisk(newSimulation(seed, nil))
		file, err := d.Create("log")
		is.NoErr(err)
		_, _ = fmt.Fprint(file, "synced")
		is.NoErr(file.Sync())
		is.NoErr(d.SyncDir())
		_, _ = fmt.Fprint(file, "-open")
		d.crash()
		content, err := d.ReadFile("log")
		is.NoErr(err)
		is.True(len(content) >= len("synced"))
		if len(content) < len("synced-open") {
			lost++
		} else {
			kept++
		}
	}
	is.True(lost > 0 && kept > 0) // both outcomes occur
}
