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

// moveIn is within how long a client that may move does so: the longest jittered delay.
const moveIn = nearDelay + nearDelay/2

// A client that started at a server of another zone goes to one of its own once it knows one,
// and not to the first one at once: others are about to become known.
func TestClientMovesToServerOfItsZone(t *testing.T) {
	is := is.New(t)
	s := NewSelector(DefaultSelectorConfig(), []Candidate{{Address: "seed"}})
	s.Next(0)
	is.True(!s.Nearer(time.Second))
	s.Offer([]Candidate{{Address: "seed"}, {Address: "near", Near: true}})
	is.True(!s.Nearer(2 * time.Second))
	now := 2*time.Second + moveIn
	is.True(s.Nearer(now))
	s.Move(now)
	next, wait := s.Next(now)
	is.Equal(next.Address, "near")
	is.Equal(wait, time.Duration(0))
	is.True(!s.Nearer(now + time.Minute)) // it is there
}

// A server of the own zone that failed is not gone back to before it can have recovered: each
// visit to one that has not costs the time until that is noticed.
func TestFailedServerOfTheZoneIsGivenTime(t *testing.T) {
	is := is.New(t)
	config := DefaultSelectorConfig()
	s := NewSelector(config, []Candidate{{Address: "far"}, {Address: "near", Near: true}})
	first, _ := s.Next(0)
	is.Equal(first.Address, "near")
	s.Failed(0, 0)
	second, _ := s.Next(0)
	is.Equal(second.Address, "far")
	is.True(!s.Nearer(nearMemory))
	later := nearMemory + 2*config.BadMemory
	is.True(!s.Nearer(later))
	is.True(s.Nearer(later + moveIn))
}

// holding is a target that holds nothing but a position.
type holding struct{ revision atomic.Uint64 }

func (h *holding) Position() distribution.Position {
	return distribution.Position{Revision: h.revision.Load()}
}
func (h *holding) Apply(update *distribution.Update) error { h.revision.Store(update.To); return nil }
func (h *holding) Current(revision uint64)                 { h.revision.Store(revision) }

// testHub is a hub that is served on loopback.
type testHub struct {
	address string
	// opened counts subscriptions, updates what was sent to them.
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

// subscribeTo runs a client of the zone "own" that knows one server, until the test ends.
func subscribeTo(t *testing.T, ctx context.Context, server string) *Client {
	t.Helper()
	started := time.Now()
	client, err := NewClient(ClientConfig{
		Hello:    protocol.Hello{ClusterID: "test", Role: protocol.RoleNode, Name: "node", Zone: "own"},
		Selector: DefaultSelectorConfig(), PingInterval: 20 * time.Millisecond,
		SilenceTimeout: pipeTimeout, DialTimeout: pipeTimeout,
		Logger: log.NewNopLogger(), Now: func() time.Duration { return time.Since(started) },
	}, &holding{}, []Candidate{{Address: server}})
	is.New(t).NoErr(err)
	go client.Run(ctx)
	return client
}

func awaitServer(client *Client, address string) {
	for deadline := time.Now().Add(10 * time.Second); client.Server() != address && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
}

// The moves through real connections: a client that learns of a server of its zone later, and
// one that is told when it opens its subscription, which gets nothing from the first server.
func TestSubscriptionMovesOverConnections(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var known atomic.Pointer[[]protocol.Server]
	known.Store(&[]protocol.Server{})
	servers := func() []protocol.Server { return *known.Load() }
	far, near := startHub(t, ctx, servers), startHub(t, ctx, servers)
	early := subscribeTo(t, ctx, far.address)
	awaitServer(early, far.address)
	is.Equal(early.Server(), far.address)
	known.Store(&[]protocol.Server{{Address: far.address, Zone: "other"}, {Address: near.address, Zone: "own"}})
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

// A herd that is only told where to go must not use up the places of those that stay, nor be told
// to come back later.
func TestRedirectedClientsNeedNoAdmission(t *testing.T) {
	is := is.New(t)
	f := newHubFixture(t)
	f.hub.admission = newAdmission(AdmissionConfig{PerSecond: 0.001, Burst: 1})
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
	is.Equal(f.ping(t, protocol.Ping{Sequence: 1}).Sequence, uint64(1)) // the place is still there
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
	is.Equal(kind, protocol.KindRefusal) // but only one
}

// A node that starts before its servers have power finds them soon after they have it: dials that
// nobody answers are given up quickly at first, and given more time if none succeeds.
func TestUnansweredDialsAreGivenUpQuicklyAtFirst(t *testing.T) {
	is := is.New(t)
	c := &Client{config: ClientConfig{DialTimeout: 400 * time.Millisecond}}
	is.Equal(c.dialTimeout(), quickDialTimeout)
	c.failedDials.Store(quickDials)
	is.Equal(c.dialTimeout(), 400*time.Millisecond)
	c.config.DialTimeout = 100 * time.Millisecond
	c.failedDials.Store(0)
	is.Equal(c.dialTimeout(), 100*time.Millisecond) // never more than the settings say
}

// After a loss of everything all servers wait for a leader. A starting client that goes from one to
// the next is late when there is one; a running one must not stay with a server that cannot confirm.
func TestStartingClientWaitsForTheFirstConfirmation(t *testing.T) {
	is := is.New(t)
	s := testSelector("a", "b")
	s.Next(0)
	limit := s.config.StaleLimit
	is.True(!s.Heard(time.Second, Standing{Starting: true, Open: limit}))
	is.True(s.Heard(time.Second, Standing{Starting: true, Open: limit + 1}))
	s = testSelector("a", "b")
	s.Next(0)
	is.True(s.Heard(time.Second, Standing{Open: time.Millisecond}))
	s = testSelector("a", "b")
	s.Next(0)
	is.True(s.Heard(time.Second, Standing{Starting: true, Behind: true}))
}
