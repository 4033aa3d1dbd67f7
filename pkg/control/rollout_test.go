package control

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/rollout"

	"github.com/matryer/is"
)

func versioned(id, version string) distribution.Endpoint {
	return distribution.Endpoint{Service: "orders", ID: id, Incarnation: 1, Gate: "127.0.0.1:" + id, Version: version}
}

// startWithVersions returns a replica that knows one back end of each version.
func startWithVersions(t *testing.T, versions ...string) *Server {
	t.Helper()
	server := startSingle(t)
	var endpoints []distribution.Endpoint
	for i, version := range versions {
		endpoints = append(endpoints, versioned(string(rune('1'+i)), version))
	}
	server.proposeEndpoints(context.Background(), endpoints)
	return server
}

func toVersion(version string) rollout.Order {
	return rollout.Order{Service: "orders", Version: version, Duration: time.Minute}
}

// refusedWith checks that an order is refused with a code and that it changed nothing.
func refusedWith(t *testing.T, server *Server, order rollout.Order, code catalog.Code) {
	t.Helper()
	is := is.New(t)
	before := heldOrders(t, server)
	_, err := server.StartRollout(context.Background(), order)
	var refused *catalog.OperationError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, code)
	is.Equal(heldOrders(t, server).AllRollouts(), before.AllRollouts())
}

func TestOrdersOfRolloutsThatAreRefusedChangeNothing(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1", "v1")
	refusedWith(t, server, rollout.Order{Service: "orders", Version: "v2"}, catalog.CodeInvalidRequest)
	refusedWith(t, server, rollout.Order{Service: "orders", Duration: time.Minute}, catalog.CodeInvalidRequest)
	refusedWith(t, server, rollout.Order{Service: "other", Version: "v2", Duration: time.Minute}, catalog.CodeUnknownService)
	refusedWith(t, server, toVersion("v1"), catalog.CodeNothingToDo)
	_, found, err := server.Rollout(context.Background(), "orders")
	is.NoErr(err)
	is.True(!found)

	_, err = server.StartRollout(context.Background(), toVersion("v2"))
	is.NoErr(err)
	refusedWith(t, server, toVersion("v3"), catalog.CodeRolloutConflict)
	refusedWith(t, server, rollout.Order{Service: "orders", Version: "v2", Duration: time.Hour}, catalog.CodeRolloutConflict)
}

func TestOrderOfARolloutSentAgainStartsNoOther(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1")
	first, err := server.StartRollout(context.Background(), toVersion("v2"))
	is.NoErr(err)
	is.Equal(first.Phase, rollout.Running)
	again, err := server.StartRollout(context.Background(), toVersion("v2"))
	is.NoErr(err)
	is.Equal(again.Number, first.Number)
	is.Equal(again.AtMillis, first.AtMillis)

	// It may have ended before its sender hears of it.
	stopped, err := server.StopRollout(context.Background(), "orders")
	is.NoErr(err)
	is.True(stopped.Phase == rollout.Reverting || stopped.Phase == rollout.RolledBack)
	for deadline := time.Now().Add(10 * time.Second); stopped.Phase != rollout.RolledBack; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(deadline))
		stopped, _, err = server.Rollout(context.Background(), "orders")
		is.NoErr(err)
	}
	again, err = server.StartRollout(context.Background(), toVersion("v2"))
	is.NoErr(err)
	is.Equal(again.Number, first.Number)
	is.Equal(again.Phase, rollout.RolledBack)
	// Another order begins anew.
	next, err := server.StartRollout(context.Background(), toVersion("v3"))
	is.NoErr(err)
	is.Equal(next.Number, first.Number+1)
}

func TestOfTwoOrdersAtOnceOneRolloutStarts(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1")
	errs := make([]error, 8)
	var group sync.WaitGroup
	for i := range errs {
		group.Go(func() { _, errs[i] = server.StartRollout(context.Background(), toVersion([]string{"v2", "v3"}[i%2])) })
	}
	group.Wait()
	held, found, err := server.Rollout(context.Background(), "orders")
	is.NoErr(err)
	is.True(found)
	is.Equal(held.Number, uint64(1))
	for i, err := range errs {
		wins := held.Version == []string{"v2", "v3"}[i%2]
		is.Equal(err == nil, wins)
	}
}

func TestNoRolloutWhileAMemberDoesNotKnowThem(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1")
	address := ownReplicaAddress(t, server)
	server.noteLevel(protocol.Hello{Address: address, KnowsSuspects: true})
	refusedWith(t, server, toVersion("v2"), catalog.CodeUnavailable)
	server.noteLevel(protocol.Hello{Address: address, KnowsSuspects: true, Level: catalog.NewestLevel})
	_, err := server.StartRollout(context.Background(), toVersion("v2"))
	is.NoErr(err)
	// What is under way waits, too, and goes on afterwards.
	server.noteLevel(protocol.Hello{Address: address, KnowsSuspects: true})
	_, err = server.StopRollout(context.Background(), "orders")
	is.True(err != nil)
	held, _, err := server.Rollout(context.Background(), "orders")
	is.NoErr(err)
	is.Equal(held.Phase, rollout.Running)
}

func TestStopOfWhatDoesNotRunIsRefused(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1")
	_, err := server.StopRollout(context.Background(), "orders")
	var refused *catalog.OperationError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, catalog.CodeNoRollout)
}

// The leader takes reports in while it leads, and gates get what they are granted from the log.
func TestGatesOfTheNewVersionAreGrantedCalls(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1", "v2")
	held, err := server.StartRollout(context.Background(), toVersion("v2"))
	is.NoErr(err)
	report := func(instance, version string, admitted uint64) protocol.RolloutReport {
		return protocol.RolloutReport{Node: "node-" + instance, Service: "orders", Number: held.Number, Phase: held.Phase, Share: held.Share,
			Gate: &rollout.Report{Service: "orders", Number: held.Number, Version: version, Instance: instance, Life: uint64(instance[0]), Admitted: admitted}}
	}
	var granted uint64
	for deadline := time.Now().Add(5 * time.Second); granted == 0; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(deadline))
		server.takeAnnounced(protocol.Announce{Rollouts: []protocol.RolloutReport{report("1", "v1", 1000), report("2", "v2", 0)}})
		held, _, err = server.Rollout(context.Background(), "orders")
		is.NoErr(err)
		granted = rollout.Allowance(held, '2')
	}
	is.True(granted <= 150) // a tenth of 1000 calls, and 50
	is.Equal(rollout.Allowance(held, '1'), uint64(0))
	seen := server.seenOf(held)
	is.True(seen != nil)
	is.Equal(seen.Gates, 2)
	is.Equal(seen.Nodes, 2)
	is.Equal(seen.Old.Admitted, uint64(1000))
	is.Equal(len(server.rolloutHistory.of("orders")), 1) // grants alone are no step
}
