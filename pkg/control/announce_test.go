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

// startSingle runs a replica that is the only one, until the test ends, and waits until it leads.
func startSingle(t *testing.T) *Server {
	t.Helper()
	is := is.New(t)
	config := singleReplica(t)
	is.NoErr(config.Check())
	is.NoErr(Init(config))
	server, err := New(config, log.NewNopLogger(), nil)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended)
	})
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if err := server.readLeased(ctx, func(time.Duration) {}); err == nil {
			return server
		}
	}
	t.Fatal("the replica does not lead")
	return nil
}

func announced(id, gate string, state distribution.EndpointState) distribution.Endpoint {
	return distribution.Endpoint{Service: "orders", ID: id, Incarnation: 1, Gate: gate, State: state}
}

// When hundreds of nodes announce their back ends at once, that must not be hundreds of commits,
// each of which goes to all replicas and all nodes.
func TestAnnouncementsAreGathered(t *testing.T) {
	is := is.New(t)
	const nodes = 280
	more := make(chan []distribution.Endpoint, inboxSize)
	for i := range nodes {
		id := fmt.Sprintf("i-%d", i)
		more <- []distribution.Endpoint{announced(id, id, distribution.Live)}
	}
	is.Equal(len(newestAnnounced(gather(context.Background(), <-more, more, 0))), nodes)
	is.Equal(len(more), 0)
}

// The same through a replica that leads: its log grows by a few entries, not by one a back end.
func TestHerdOfBackendsIsFewCommits(t *testing.T) {
	is := is.New(t)
	server := startSingle(t)
	const nodes = 200
	commit := func() (commit uint64, known int) {
		err := server.inspect(context.Background(), func(time.Duration) {
			commit = server.replica.Node().Commit()
			known = len(server.replica.State().Endpoints["orders"])
		})
		is.NoErr(err)
		return commit, known
	}
	before, _ := commit()
	for i := range nodes {
		id := fmt.Sprintf("i-%d", i)
		server.takeAnnouncements([]distribution.Endpoint{announced(id, id, distribution.Live)})
	}
	after, known := commit()
	for deadline := time.Now().Add(5 * time.Second); known < nodes && time.Now().Before(deadline); after, known = commit() {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(known, nodes)
	is.True(after-before <= 10)
}

// What comes while the time runs is gathered too, and nothing waits longer than that.
func TestGatheringEnds(t *testing.T) {
	is := is.New(t)
	more := make(chan []distribution.Endpoint)
	go func() { more <- []distribution.Endpoint{announced("b", "2", distribution.Live)} }()
	first := []distribution.Endpoint{announced("a", "1", distribution.Live)}
	is.Equal(len(gather(context.Background(), first, more, 200*time.Millisecond)), 2)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(len(gather(ctx, first, more, time.Hour)), 1)
}

// One after the other, a back end that replaced another at its gate would have removed it from
// the list; in one commit the earlier one must not come into the list at all.
func TestLaterAnnouncementsReplaceEarlierOnes(t *testing.T) {
	is := is.New(t)
	a, b := announced("a", "1", distribution.Live), announced("b", "1", distribution.Live)
	is.Equal(newestAnnounced([]distribution.Endpoint{a, b}), []distribution.Endpoint{b})
	leaving := announced("a", "1", distribution.Leaving)
	is.Equal(newestAnnounced([]distribution.Endpoint{a, leaving}), []distribution.Endpoint{leaving})
	is.Equal(newestAnnounced([]distribution.Endpoint{a, a, a}), []distribution.Endpoint{a})
	// The end of the earlier one and its successor both count, and a late word of an earlier
	// state does not undo a newer one.
	gone := announced("a", "1", distribution.Removed)
	is.Equal(newestAnnounced([]distribution.Endpoint{gone, b}), []distribution.Endpoint{gone, b})
	late := newestAnnounced([]distribution.Endpoint{gone, a})
	is.Equal(late[0], gone)
}
