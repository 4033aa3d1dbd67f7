package balancer

import (
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/rollout"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

func TestCallsPreferTheirSideOfARollout(t *testing.T) {
	is := is.New(t)
	r := &rollout.Rollout{Version: "v2", Phase: rollout.Running}
	pool := NewPool(Config{Node: "n", Zone: "z", OwnGate: "gate-new", Random: func(int) int { return 0 }})
	pool.Update(0, routing.Service{Name: "s", Endpoints: []routing.Endpoint{
		{ID: "new", Zone: "z", Gate: "gate-new", Version: "v2"}, {ID: "old", Zone: "z", Gate: "gate-old", Version: "v1"},
	}})
	choose := func(side rollout.Side, excluded ...string) string {
		ticket, _, err := pool.AcquireGate(0, GateRequest{OwnGateMaxService: 1, Excluded: excluded, Version: VersionChoice{Rollout: r, Side: side}})
		is.NoErr(err)
		defer ticket.Done(0, Canceled)
		return ticket.ID
	}
	is.Equal(choose(rollout.AnyVersion), "new") // the back end beside the node
	is.Equal(choose(rollout.OldVersions), "old")
	is.Equal(choose(rollout.NewVersion), "new")
	is.Equal(choose(rollout.NewVersion, "new"), "old")
	is.Equal(choose(rollout.OldVersions, "old"), "new") // the gate decides whether to admit
}

// While the new version's back ends are cold and cannot admit the call in time, it must go to the old version.
func TestCallGoesToOldVersionWhileNewVersionIsColdAndFull(t *testing.T) {
	is := is.New(t)
	r := &rollout.Rollout{Version: "v2", Phase: rollout.Running}
	pool := NewPool(Config{Node: "n", Zone: "z", Random: func(int) int { return 0 }})
	pool.Update(0, routing.Service{Name: "s", Endpoints: []routing.Endpoint{
		{ID: "new", Zone: "z", Gate: "gate-new", Version: "v2"}, {ID: "old", Zone: "z", Gate: "gate-old", Version: "v1"},
	}})
	for _, e := range pool.endpoints {
		if e.target.Version == "v2" {
			e.recordReport(0, exchange.Report{Capacity: 4, Cold: exchange.Cold{Remaining: time.Second, AdmissionDelay: 300 * time.Millisecond, AdmissionInterval: 100 * time.Millisecond}})
		}
	}
	request := GateRequest{Patience: 200 * time.Millisecond, Version: VersionChoice{Rollout: r, Side: rollout.NewVersion}}
	ticket, _, err := pool.AcquireGate(0, request)
	is.NoErr(err)
	is.Equal(ticket.ID, "old")
	request.Patience = 400 * time.Millisecond // long enough to wait for the new version
	ticket, _, err = pool.AcquireGate(0, request)
	is.NoErr(err)
	is.Equal(ticket.ID, "new")
}

// The choice must not allocate while no rollout runs.
func TestPreferWithoutRolloutDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	candidates := []*endpoint{{}, {}}
	is.Equal(testing.AllocsPerRun(100, func() { _ = VersionChoice{}.prefer(candidates) }), 0.0)
}

// Near the end of a rollout the closing back ends must not crowd the new ones out of the subset.
func TestSubsetIncludesNewVersionOfARollout(t *testing.T) {
	is := is.New(t)
	service := routing.Service{Name: "s"}
	for i := range 4 * subsetSize {
		version := "v1"
		if i%8 == 0 {
			version = "v2"
		}
		service.Endpoints = append(service.Endpoints, routing.Endpoint{ID: fmt.Sprint(i), Zone: "z", Gate: fmt.Sprint("gate-", i), Version: version, Closing: version == "v1"})
	}
	pool := NewPool(Config{Node: "n", Zone: "z", Random: func(int) int { return 0 }})
	pool.Update(0, service)
	newCount := 0
	for _, e := range pool.endpoints {
		if e.target.Version == "v2" {
			newCount++
		}
	}
	is.Equal(newCount, subsetSize/2) // all back ends of the new version
}
