package stream

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/wire"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// maxMoveDelay is the longest jittered nearMoveDelay.
const maxMoveDelay = nearMoveDelay + nearMoveDelay/2

// A client at a server of another zone must move to its own zone, but only after a delay, in which
// further servers of the zone become known.
func TestSelectorMovesToOwnZoneAfterDelay(t *testing.T) {
	is := is.New(t)
	s := NewSelector(DefaultSelectorConfig(), []Candidate{{Address: "seed"}})
	s.Next(0)
	is.True(!s.ShouldMoveNearer(time.Second))
	s.SetCandidates([]Candidate{{Address: "seed"}, {Address: "near", Near: true}})
	is.True(!s.ShouldMoveNearer(2 * time.Second))
	now := 2*time.Second + maxMoveDelay
	is.True(s.ShouldMoveNearer(now))
	s.SelectNearest(now)
	next, wait := s.Next(now)
	is.Equal(next.Address, "near")
	is.Equal(wait, time.Duration(0))
	is.True(!s.ShouldMoveNearer(now + time.Minute)) // already in its zone
}

// A client must not return to a failed server of the own zone before that can have recovered.
func TestFailedOwnZoneServerIsAvoidedUntilRecovered(t *testing.T) {
	is := is.New(t)
	config := DefaultSelectorConfig()
	s := NewSelector(config, []Candidate{{Address: "far"}, {Address: "near", Near: true}})
	first, _ := s.Next(0)
	is.Equal(first.Address, "near")
	s.Failed(0, 0)
	second, _ := s.Next(0)
	is.Equal(second.Address, "far")
	is.True(!s.ShouldMoveNearer(nearRecoveryTime))
	later := nearRecoveryTime + 2*config.FailureMarkDuration
	is.True(!s.ShouldMoveNearer(later))
	is.True(s.ShouldMoveNearer(later + maxMoveDelay))
}

// positionTarget is a target that stores only a revision.
type positionTarget struct{ revision atomic.Uint64 }

func (h *positionTarget) Position() distribution.Position {
	return distribution.Position{Revision: h.revision.Load()}
}
func (h *positionTarget) Apply(update *distribution.Update) error {
	h.revision.Store(update.To)
	return nil
}
func (h *positionTarget) Current(revision uint64) { h.revision.Store(revision) }

// testHub is a hub served on loopback.
type testHub struct {
	address string
	// opened counts subscriptions, updates the updates sent to them.
	opened, updates atomic.Int64
}

func (h *testHub) observe(kind wire.Kind, direction wire.Direction, _ int) {
	if direction == wire.Sent && (kind == protocol.KindUpdate || kind == protocol.KindPackedUpdate) {
		h.updates.Add(1)
	}
}

func (h *testHub) accept(ctx context.Context, listener net.Listener, hub *Hub) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		go h.serve(ctx, wire.NewConn(raw, wire.DefaultMaxFrame, pipeTimeout, h.observe), hub)
	}
}

func (h *testHub) serve(ctx context.Context, conn *wire.Conn, hub *Hub) {
	defer conn.Close()
	hello, err := protocol.Accept(conn, "test", pipeTimeout)
	if err != nil {
		return
	}
	h.opened.Add(1)
	_ = hub.Serve(ctx, conn, hello)
}

// startHub serves a hub until the test ends.
func startHub(t *testing.T, ctx context.Context, servers func() []protocol.Server) *testHub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	started := time.Now()
	h := &testHub{address: listener.Addr().String()}
	hub := NewHub(HubConfig{
		SilenceTimeout: pipeTimeout, Admission: AdmissionConfig{PerSecond: 100, Burst: 100},
		Now:         func() time.Duration { return time.Since(started) },
		ConfirmedAt: func() (time.Duration, bool) { return time.Since(started), true },
		Servers:     servers,
	}, &distribution.State{Revision: 1, Endpoints: distribution.EndpointTable{}})
	go h.accept(ctx, listener, hub)
	return h
}

// subscribeTo runs a client of zone "own" that knows one server, until the context ends.
func subscribeTo(t *testing.T, ctx context.Context, server string) *Client {
	t.Helper()
	started := time.Now()
	client, err := NewClient(ClientConfig{
		Hello:    protocol.Hello{ClusterID: "test", Role: protocol.RoleNode, Name: "node", Zone: "own"},
		Selector: DefaultSelectorConfig(), PingInterval: 20 * time.Millisecond,
		SilenceTimeout: pipeTimeout, DialInterval: pipeTimeout,
		Logger: log.NewNopLogger(), Now: func() time.Duration { return time.Since(started) },
	}, &positionTarget{}, []Candidate{{Address: server}})
	is.New(t).NoErr(err)
	go client.Run(ctx)
	return client
}

func awaitServer(client *Client, address string) {
	for deadline := time.Now().Add(10 * time.Second); client.Server() != address && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
}

// A client must move when it learns of a server in its zone later, and one that learns of it in the
// Welcome must receive no update from the first server.
func TestClientMovesToOwnZoneOverTCP(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var knownServers atomic.Pointer[[]protocol.Server]
	knownServers.Store(&[]protocol.Server{})
	servers := func() []protocol.Server { return *knownServers.Load() }
	far, near := startHub(t, ctx, servers), startHub(t, ctx, servers)
	early := subscribeTo(t, ctx, far.address)
	awaitServer(early, far.address)
	is.Equal(early.Server(), far.address)
	knownServers.Store(&[]protocol.Server{{Address: far.address, Zone: "other"}, {Address: near.address, Zone: "own"}})
	awaitServer(early, near.address)
	is.Equal(early.Server(), near.address)
	sent := far.updates.Load()
	late := subscribeTo(t, ctx, far.address)
	awaitServer(late, near.address)
	is.Equal(late.Server(), near.address)
	is.Equal(far.opened.Load(), int64(2))
	is.Equal(far.updates.Load(), sent)
	is.Equal(near.opened.Load(), int64(2))
}

// Clients that are only redirected must not use up the admission tokens of those that stay.
func TestRedirectedClientsUseNoAdmissionTokens(t *testing.T) {
	is := is.New(t)
	f := newHubFixture(t)
	f.hub.admission = newAdmissionLimiter(AdmissionConfig{PerSecond: 0.001, Burst: 1})
	var welcome protocol.Welcome
	f.receive(t, protocol.KindWelcome, &welcome)
	for range 50 {
		near, far := net.Pipe()
		go func() {
			_ = f.hub.Serve(context.Background(), wire.NewConn(far, wire.DefaultMaxFrame, pipeTimeout, nil),
				protocol.Hello{Name: "passing", Role: protocol.RoleNode})
		}()
		conn := wire.NewConn(near, wire.DefaultMaxFrame, pipeTimeout, nil)
		kind, err := conn.Receive(pipeTimeout)
		is.NoErr(err)
		is.Equal(kind, protocol.KindWelcome)
		conn.Close()
	}
	is.Equal(f.ping(t, protocol.Ping{Sequence: 1}).Sequence, uint64(1)) // the token is still available
	late, far := net.Pipe()
	defer late.Close()
	go func() {
		_ = f.hub.Serve(context.Background(), wire.NewConn(far, wire.DefaultMaxFrame, pipeTimeout, nil),
			protocol.Hello{Name: "late", Role: protocol.RoleNode})
	}()
	conn := wire.NewConn(late, wire.DefaultMaxFrame, pipeTimeout, nil)
	_, err := conn.Receive(pipeTimeout)
	is.NoErr(err)
	is.NoErr(conn.Decode(&welcome))
	is.NoErr(conn.Send(protocol.KindPing, protocol.Ping{Sequence: 1}))
	kind, err := conn.Receive(pipeTimeout)
	is.NoErr(err)
	is.Equal(kind, protocol.KindRefusal) // only one token
}

// A client that starts before its servers must find them soon after they start, so the first dials
// follow one another at a short interval.
func TestFirstDialsUseShortInterval(t *testing.T) {
	is := is.New(t)
	c := &Client{config: ClientConfig{DialInterval: 400 * time.Millisecond}}
	is.Equal(c.dialInterval(), quickDialInterval)
	c.unansweredDials.Store(quickDialAttempts)
	is.Equal(c.dialInterval(), 400*time.Millisecond)
	c.unansweredDials.Store(1000)
	is.Equal(c.dialInterval(), 400*time.Millisecond)
	c.config.DialInterval = 100 * time.Millisecond
	c.unansweredDials.Store(0)
	is.Equal(c.dialInterval(), 100*time.Millisecond) // at most the configured interval
}

// After a full restart all servers wait for a leader. A starting client must not switch between
// them, but a running one must leave a server that cannot confirm its state.
func TestStartingClientWaitsForFirstConfirmation(t *testing.T) {
	is := is.New(t)
	s := testSelector("a", "b")
	s.Next(0)
	limit := s.config.StaleLimit
	is.True(!s.ObservePong(time.Second, ServerHealth{Starting: true, Open: limit}))
	is.True(s.ObservePong(time.Second, ServerHealth{Starting: true, Open: limit + 1}))
	s = testSelector("a", "b")
	s.Next(0)
	is.True(s.ObservePong(time.Second, ServerHealth{Open: time.Millisecond}))
	s = testSelector("a", "b")
	s.Next(0)
	is.True(s.ObservePong(time.Second, ServerHealth{Starting: true, Behind: true}))
}
