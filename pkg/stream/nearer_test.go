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

// serveHub serves a hub on loopback and counts its subscribers' openings.
func serveHub(t *testing.T, ctx context.Context, servers func() []protocol.Server) (address string, opened *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	started := time.Now()
	hub := NewHub(HubConfig{
		SilenceTimeout: pipeTimeout, Admission: AdmissionConfig{PerSecond: 100, Burst: 100},
		Now:         func() time.Duration { return time.Since(started) },
		ConfirmedAt: func() (time.Duration, bool) { return time.Since(started), true },
		Servers:     servers,
	}, &distribution.State{Revision: 1})
	opened = &atomic.Int64{}
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				conn := wire.NewConn(raw, wire.DefaultMaxFrame, pipeTimeout, nil)
				defer conn.Close()
				hello, err := protocol.Accept(conn, "test", pipeTimeout)
				if err != nil {
					return
				}
				opened.Add(1)
				_ = hub.Serve(ctx, conn, hello)
			}()
		}
	}()
	return listener.Addr().String(), opened
}

// The move through real connections: the client learns of the server of its zone from the one
// that it is at, and goes there.
func TestSubscriptionMovesOverConnections(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var known []protocol.Server
	servers := func() []protocol.Server { return known }
	far, openedFar := serveHub(t, ctx, servers)
	near, openedNear := serveHub(t, ctx, servers)
	known = []protocol.Server{{Address: far, Zone: "other"}, {Address: near, Zone: "own"}}
	started := time.Now()
	client, err := NewClient(ClientConfig{
		Hello:    protocol.Hello{ClusterID: "test", Role: protocol.RoleNode, Name: "node", Zone: "own"},
		Selector: DefaultSelectorConfig(), PingInterval: 20 * time.Millisecond,
		SilenceTimeout: pipeTimeout, DialTimeout: pipeTimeout,
		Logger: log.NewNopLogger(), Now: func() time.Duration { return time.Since(started) },
	}, &holding{}, []Candidate{{Address: far}})
	is.NoErr(err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx)
	}()
	for client.Server() != near && time.Since(started) < 10*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(client.Server(), near)
	is.Equal(openedFar.Load(), int64(1))
	is.Equal(openedNear.Load(), int64(1))
	cancel()
	<-done
}
