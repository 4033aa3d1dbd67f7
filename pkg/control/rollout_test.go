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

func versionedEndpoint(id, version string) distribution.Endpoint {
	return distribution.Endpoint{Service: "orders", ID: id, Incarnation: 1, Gate: "127.0.0.1:" + id, Version: version}
}

// startWithVersions starts a replica with one back end of each version.
func startWithVersions(t *testing.T, versions ...string) *Server {
	t.Helper()
	server := startSingleReplica(t)
	var endpoints []distribution.Endpoint
	for i, version := range versions {
		endpoints = append(endpoints, versionedEndpoint(string(rune('1'+i)), version))
	}
	server.proposeEndpoints(context.Background(), endpoints)
	return server
}

func rolloutTo(version string) rollout.Order {
	return rollout.Order{Service: "orders", Version: version, Duration: time.Minute}
}

// requireRejected checks that an order is rejected with a code and changes nothing.
func requireRejected(t *testing.T, server *Server, order rollout.Order, code catalog.Code) {
	t.Helper()
	is := is.New(t)
	before := currentOrders(t, server)
	_, err := server.StartRollout(context.Background(), order)
	var opErr *catalog.OperationError
	is.True(errors.As(err, &opErr))
	is.Equal(opErr.Code, code)
	is.Equal(currentOrders(t, server).AllRollouts(), before.AllRollouts())
}

func TestRejectedRolloutOrdersChangeNothing(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1", "v1")
	requireRejected(t, server, rollout.Order{Service: "orders", Version: "v2"}, catalog.CodeInvalidRequest)
	requireRejected(t, server, rollout.Order{Service: "orders", Duration: time.Minute}, catalog.CodeInvalidRequest)
	requireRejected(t, server, rollout.Order{Service: "other", Version: "v2", Duration: time.Minute}, catalog.CodeUnknownService)
	requireRejected(t, server, rolloutTo("v1"), catalog.CodeNothingToDo)
	_, found, err := server.LatestRollout(context.Background(), "orders")
	is.NoErr(err)
	is.True(!found)

	_, err = server.StartRollout(context.Background(), rolloutTo("v2"))
	is.NoErr(err)
	requireRejected(t, server, rolloutTo("v3"), catalog.CodeRolloutConflict)
	requireRejected(t, server, rollout.Order{Service: "orders", Version: "v2", Duration: time.Hour}, catalog.CodeRolloutConflict)
}

func TestResentRolloutOrderStartsNoSecondRollout(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1")
	first, err := server.StartRollout(context.Background(), rolloutTo("v2"))
	is.NoErr(err)
	is.Equal(first.Phase, rollout.Running)
	resent, err := server.StartRollout(context.Background(), rolloutTo("v2"))
	is.NoErr(err)
	is.Equal(resent.Number, first.Number)
	is.Equal(resent.AtMillis, first.AtMillis)

	// The rollout may end before the operator receives the response.
	stopped, err := server.StopRollout(context.Background(), "orders")
	is.NoErr(err)
	is.True(stopped.Phase == rollout.Reverting || stopped.Phase == rollout.RolledBack)
	for deadline := time.Now().Add(10 * time.Second); stopped.Phase != rollout.RolledBack; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(deadline))
		stopped, _, err = server.LatestRollout(context.Background(), "orders")
		is.NoErr(err)
	}
	resent, err = server.StartRollout(context.Background(), rolloutTo("v2"))
	is.NoErr(err)
	is.Equal(resent.Number, first.Number)
	is.Equal(resent.Phase, rollout.RolledBack)
	// A different order starts a new rollout.
	second, err := server.StartRollout(context.Background(), rolloutTo("v3"))
	is.NoErr(err)
	is.Equal(second.Number, first.Number+1)
}

func TestConcurrentOrdersStartOneRollout(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1")
	errs := make([]error, 8)
	var group sync.WaitGroup
	for i := range errs {
		group.Go(func() { _, errs[i] = server.StartRollout(context.Background(), rolloutTo([]string{"v2", "v3"}[i%2])) })
	}
	group.Wait()
	current, found, err := server.LatestRollout(context.Background(), "orders")
	is.NoErr(err)
	is.True(found)
	is.Equal(current.Number, uint64(1))
	for i, err := range errs {
		wins := current.Version == []string{"v2", "v3"}[i%2]
		is.Equal(err == nil, wins)
	}
}

func TestNoRolloutWhileAMemberRunsAnEarlierRelease(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1")
	address := ownReplicaAddress(t, server)
	server.recordReplicaLevel(protocol.Hello{Address: address, KnowsSuspects: true})
	requireRejected(t, server, rolloutTo("v2"), catalog.CodeUnavailable)
	server.recordReplicaLevel(protocol.Hello{Address: address, KnowsSuspects: true, Level: catalog.NewestLevel})
	_, err := server.StartRollout(context.Background(), rolloutTo("v2"))
	is.NoErr(err)
	// An active rollout pauses as well, and can't be stopped meanwhile.
	server.recordReplicaLevel(protocol.Hello{Address: address, KnowsSuspects: true})
	_, err = server.StopRollout(context.Background(), "orders")
	is.True(err != nil)
	current, _, err := server.LatestRollout(context.Background(), "orders")
	is.NoErr(err)
	is.Equal(current.Phase, rollout.Running)
}

func TestStopWithoutRolloutIsRejected(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1")
	_, err := server.StopRollout(context.Background(), "orders")
	var opErr *catalog.OperationError
	is.True(errors.As(err, &opErr))
	is.Equal(opErr.Code, catalog.CodeNoRollout)
}

// The leader must grant calls to gates of the new version, based on the reports of all gates.
func TestGatesOfTheNewVersionAreGrantedCalls(t *testing.T) {
	is := is.New(t)
	server := startWithVersions(t, "v1", "v2")
	current, err := server.StartRollout(context.Background(), rolloutTo("v2"))
	is.NoErr(err)
	report := func(instance, version string, admitted uint64) protocol.RolloutReport {
		return protocol.RolloutReport{Node: "node-" + instance, Service: "orders", Number: current.Number, Phase: current.Phase, Share: current.Share,
			Gate: &rollout.Report{Service: "orders", Number: current.Number, Version: version, Instance: instance, Life: uint64(instance[0]), Admitted: admitted}}
	}
	var granted uint64
	for deadline := time.Now().Add(5 * time.Second); granted == 0; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(deadline))
		server.handleAnnounce(protocol.Announce{Rollouts: []protocol.RolloutReport{report("1", "v1", 1000), report("2", "v2", 0)}})
		current, _, err = server.LatestRollout(context.Background(), "orders")
		is.NoErr(err)
		granted = rollout.Allowance(current, '2')
	}
	is.True(granted <= 150) // a tenth of 1000 calls plus a slack of 50
	is.Equal(rollout.Allowance(current, '1'), uint64(0))
	observation := server.observationsOf(current)
	is.True(observation != nil)
	is.Equal(observation.Gates, 2)
	is.Equal(observation.Nodes, 2)
	is.Equal(observation.Old.Admitted, uint64(1000))
	is.Equal(len(server.rolloutHistory.of("orders")), 1) // a change of grants isn't a step
}
