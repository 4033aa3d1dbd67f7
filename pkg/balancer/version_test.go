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
	choose := func(side rollout.Side, leftOut ...string) string {
		ticket, _, err := pool.AcquireGate(0, GateRequest{OwnWork: 1, LeftOut: leftOut, Version: VersionChoice{Rollout: r, Side: side}})
		is.NoErr(err)
		defer ticket.Done(0, Canceled)
		return ticket.ID
	}
	is.Equal(choose(rollout.AnyVersion), "new") // the one beside the node
	is.Equal(choose(rollout.OldVersions), "old")
	is.Equal(choose(rollout.NewVersion), "new")
	is.Equal(choose(rollout.NewVersion, "new"), "old")
	is.Equal(choose(rollout.OldVersions, "old"), "new") // its gate lets in what it may
}

// The back ends of a new version were started just now: while they are cold and have no room, a warm one of the old
// version takes the call at once.
func TestColdNewVersionLeavesCallsToTheOld(t *testing.T) {
	is := is.New(t)
	r := &rollout.Rollout{Version: "v2", Phase: rollout.Running}
	pool := NewPool(Config{Node: "n", Zone: "z", Random: func(int) int { return 0 }})
	pool.Update(0, routing.Service{Name: "s", Endpoints: []routing.Endpoint{
		{ID: "new", Zone: "z", Gate: "gate-new", Version: "v2"}, {ID: "old", Zone: "z", Gate: "gate-old", Version: "v1"},
	}})
	for _, e := range pool.endpoints {
		if e.target.Version == "v2" {
			e.heard(0, exchange.Report{Capacity: 4, Cold: exchange.Cold{Remaining: time.Second, Room: 300 * time.Millisecond, Interval: 100 * time.Millisecond}})
		}
	}
	request := GateRequest{Patience: 200 * time.Millisecond, Version: VersionChoice{Rollout: r, Side: rollout.NewVersion}}
	ticket, _, err := pool.AcquireGate(0, request)
	is.NoErr(err)
	is.Equal(ticket.ID, "old")
	request.Patience = 400 * time.Millisecond // now it may wait there
	ticket, _, err = pool.AcquireGate(0, request)
	is.NoErr(err)
	is.Equal(ticket.ID, "new")
}

func TestNoRolloutCostsNothing(t *testing.T) {
	is := is.New(t)
	candidates := []*endpoint{{}, {}}
	is.Equal(testing.AllocsPerRun(100, func() { _ = VersionChoice{}.prefer(candidates) }), 0.0)
}

// Near the end of a rollout a node must not know the old back ends of a large service instead of the new.
func TestNodesKnowTheBackEndsThatTakeOver(t *testing.T) {
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
	known := 0
	for _, e := range pool.endpoints {
		if e.target.Version == "v2" {
			known++
		}
	}
	is.Equal(known, subsetSize/2) // all that there are
}
