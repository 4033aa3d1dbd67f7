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

	"github.com/matryer/is"
)

// staleHub is a hub served on loopback whose state has the configured staleness.
type staleHub struct {
	*Hub
	address string
	stale   atomic.Int64
	opened  atomic.Int64
}

func startStaleHub(t *testing.T, ctx context.Context, servers func() []protocol.Server) *staleHub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	started := time.Now()
	h := &staleHub{address: listener.Addr().String()}
	now := func() time.Duration { return time.Since(started) }
	h.Hub = NewHub(HubConfig{
		SilenceTimeout: pipeTimeout, Admission: AdmissionConfig{PerSecond: 100, Burst: 100}, Now: now,
		ConfirmedAt: func() (time.Duration, bool) { return now() - time.Duration(h.stale.Load()), true },
		Servers:     servers,
	}, &distribution.State{Revision: 1, Endpoints: distribution.EndpointTable{}})
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			h.opened.Add(1)
			go func() {
				conn := wire.NewConn(raw, wire.DefaultMaxFrame, pipeTimeout, nil)
				defer conn.Close()
				if hello, err := protocol.Accept(conn, "test", pipeTimeout); err == nil {
					_ = h.Serve(ctx, conn, hello)
				}
			}()
		}
	}()
	return h
}

// A client must not drop a stale server before another one accepts it: it would miss the updates that
// the stale server receives when a partition heals.
func TestClientKeepsStaleServerUntilAnotherIsReachable(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silent, dialled := silentServer(t)
	var servers []protocol.Server
	stale := startStaleHub(t, ctx, func() []protocol.Server { return servers })
	servers = []protocol.Server{{Address: stale.address, Zone: "other"}, {Address: silent, Zone: "other"}}
	client := subscribeTo(t, ctx, stale.address)
	awaitServer(client, stale.address)
	stale.stale.Store(int64(10 * time.Second))
	for deadline := time.Now().Add(10 * time.Second); dialled.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(dialled.Load() > 0)              // it dials another server
	is.Equal(client.Server(), stale.address) // the client keeps the stale one
	stale.SetState(&distribution.State{Revision: 2, Endpoints: distribution.EndpointTable{}})
	for deadline := time.Now().Add(pipeTimeout / 2); client.target.Position().Revision < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(client.target.Position().Revision, uint64(2))
	is.Equal(stale.opened.Load(), int64(1)) // subscribed only once
}

// A client must move from a stale server once another one accepts its subscription.
func TestClientMovesFromStaleToReachableServer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []protocol.Server
	known := func() []protocol.Server { return servers }
	stale, fresh := startStaleHub(t, ctx, known), startStaleHub(t, ctx, known)
	servers = []protocol.Server{{Address: stale.address, Zone: "other"}, {Address: fresh.address, Zone: "other"}}
	client := subscribeTo(t, ctx, stale.address)
	awaitServer(client, stale.address)
	stale.stale.Store(int64(10 * time.Second))
	awaitServer(client, fresh.address)
	is.Equal(client.Server(), fresh.address)
}

// A server that is behind must be replaced even by a candidate marked as failed.
func TestBehindServerIsReplacedByAnyOther(t *testing.T) {
	is := is.New(t)
	s := testSelector("behind", "b", "c")
	s.Next(0)
	s.MarkUnreachable(0, "c")
	s.MarkUnreachable(time.Second, "b")
	_, known := s.AlternativeFor(2*time.Second, ServerHealth{})
	is.True(!known) // a stale server is not left for a failed one
	other, known := s.AlternativeFor(2*time.Second, ServerHealth{Behind: true})
	is.True(known)
	is.Equal(other.Address, "c")
	_, known = testSelector("behind").AlternativeFor(0, ServerHealth{Behind: true})
	is.True(!known)
}

// The logged reason for a move must not name staleness from which the server has recovered.
func TestMoveReasonReflectsCurrentState(t *testing.T) {
	is := is.New(t)
	s := &clientSession{client: &Client{
		config:   ClientConfig{Now: func() time.Duration { return time.Minute }},
		selector: testSelector("a", "b"),
	}}
	s.openingSuccessor = true // prevents dialling
	s.client.selector.Next(0)
	s.considerMove(context.Background(), ServerHealth{Confirmed: true, Stale: time.Hour})
	is.True(s.moveReason() != errNearerServer.Error())
	s.considerMove(context.Background(), ServerHealth{Confirmed: true})
	is.Equal(s.moveReason(), errNearerServer.Error())
}

// Guards against a change that is committed and not received in time, since the server lags behind the control plane a
// little.
func TestAwaitingClientLeavesServerThatLags(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	current := startStaleHub(t, ctx, nil)
	lagging := startStaleHub(t, ctx, func() []protocol.Server { return []protocol.Server{{Address: current.address}} })
	lagging.stale.Store(int64(awaitedStaleLimit + 100*time.Millisecond))
	client := subscribeTo(t, ctx, lagging.address)
	awaitServer(client, lagging.address)
	time.Sleep(500 * time.Millisecond)
	is.Equal(client.Server(), lagging.address) // nothing is awaited
	done := client.Await()
	defer done()
	awaitServer(client, current.address)
	is.Equal(client.Server(), current.address)
}

// Guards against a client that is stuck, while a change is awaited, at the one server that stays stale after the others
// were stale for a moment.
func TestAwaitedChangeIsSoughtAtServersThatWereStale(t *testing.T) {
	is := is.New(t)
	s := NewSelector(DefaultSelectorConfig(), []Candidate{{Address: "a"}, {Address: "b"}})
	health := ServerHealth{Confirmed: true, Stale: 2 * awaitedStaleLimit, Awaited: true}
	is.True(!s.ObservePong(0, health)) // just opened: it may catch up
	health.Open = awaitedStaleLimit
	is.True(s.ObservePong(0, health))
	first, known := s.AlternativeFor(0, health)
	is.True(known)
	s.SetCurrent(first.Address)
	is.True(s.ObservePong(0, health)) // both are marked as failed
	second, known := s.AlternativeFor(0, health)
	is.True(known)
	is.True(second.Address != first.Address)
	health.Awaited = false
	is.True(!s.ObservePong(0, health))
}
