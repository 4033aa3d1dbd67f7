package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/distribution"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// startSingleReplica runs a cluster of one replica until the test ends, and waits until it leads.
func startSingleReplica(t *testing.T) *Server {
	t.Helper()
	is := is.New(t)
	config := singleReplicaSettings(t)
	is.NoErr(config.Check())
	is.NoErr(Init(config))
	server, err := New(context.Background(), config, log.NewNopLogger(), nil)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-stopped)
	})
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if err := server.readWithLease(ctx, func(time.Duration) {}); err == nil {
			return server
		}
	}
	t.Fatal("replica did not become the leader in time")
	return nil
}

func announcedEndpoint(id, gate string, state distribution.EndpointState) distribution.Endpoint {
	return distribution.Endpoint{Service: "orders", ID: id, Incarnation: 1, Gate: gate, State: state}
}

// Announcements of hundreds of nodes that arrive at the same time must share a batch.
func TestAnnouncementsAreBatched(t *testing.T) {
	is := is.New(t)
	const nodes = 280
	more := make(chan []distribution.Endpoint, inputQueueSize)
	for i := range nodes {
		id := fmt.Sprintf("i-%d", i)
		more <- []distribution.Endpoint{announcedEndpoint(id, id, distribution.Live)}
	}
	is.Equal(len(dropSuperseded(collectBatch(context.Background(), <-more, more, 0))), nodes)
	is.Equal(len(more), 0)
}

// Announcements of many nodes that arrive at a leader at the same time must share a few commits.
func TestManyAnnouncementsTakeFewCommits(t *testing.T) {
	is := is.New(t)
	server := startSingleReplica(t)
	const nodes = 200
	commit := func() (commit uint64, known int) {
		err := server.runOnLoop(context.Background(), func(time.Duration) {
			commit = server.replica.Node().Commit()
			known = len(server.replica.State().Endpoints["orders"])
		})
		is.NoErr(err)
		return commit, known
	}
	before, _ := commit()
	for i := range nodes {
		id := fmt.Sprintf("i-%d", i)
		server.enqueueEndpoints([]distribution.Endpoint{announcedEndpoint(id, id, distribution.Live)})
	}
	after, known := commit()
	for deadline := time.Now().Add(5 * time.Second); known < nodes && time.Now().Before(deadline); after, known = commit() {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(known, nodes)
	is.True(after-before <= 10)
}

// A batch must include what arrives while it waits, and end with the interval or the context.
func TestBatchEndsWithIntervalOrContext(t *testing.T) {
	is := is.New(t)
	more := make(chan []distribution.Endpoint)
	go func() { more <- []distribution.Endpoint{announcedEndpoint("b", "2", distribution.Live)} }()
	first := []distribution.Endpoint{announcedEndpoint("a", "1", distribution.Live)}
	is.Equal(len(collectBatch(context.Background(), first, more, 200*time.Millisecond)), 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(len(collectBatch(ctx, first, more, time.Hour)), 1)
}

// A batch must not add a back end that a later entry of the same batch replaces at its gate.
func TestLaterAnnouncementsSupersedeEarlierOnes(t *testing.T) {
	is := is.New(t)
	a, b := announcedEndpoint("a", "1", distribution.Live), announcedEndpoint("b", "1", distribution.Live)
	is.Equal(dropSuperseded([]distribution.Endpoint{a, b}), []distribution.Endpoint{b})
	leaving := announcedEndpoint("a", "1", distribution.Leaving)
	is.Equal(dropSuperseded([]distribution.Endpoint{a, leaving}), []distribution.Endpoint{leaving})
	is.Equal(dropSuperseded([]distribution.Endpoint{a, a, a}), []distribution.Endpoint{a})
	// A removal and its successor at the gate are both kept, and a late announcement of an earlier state
	// doesn't undo a newer one.
	gone := announcedEndpoint("a", "1", distribution.Removed)
	is.Equal(dropSuperseded([]distribution.Endpoint{gone, b}), []distribution.Endpoint{gone, b})
	late := dropSuperseded([]distribution.Endpoint{gone, a})
	is.Equal(late[0], gone)
}
