package stream

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"

	"github.com/matryer/is"
)

// silentServer takes connections and says nothing, as one does behind a full link.
func silentServer(t *testing.T) (address string, dialled *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	dialled = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			dialled.Add(1)
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return listener.Addr().String(), dialled
}

// A client keeps its subscription until the one at a nearer server stands: it would miss versions
// for as long as it dials.
func TestClientStaysConfirmedWhileItMoves(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var known atomic.Pointer[[]protocol.Server]
	known.Store(&[]protocol.Server{})
	far := startHub(t, ctx, func() []protocol.Server { return *known.Load() })
	near, dialled := silentServer(t)
	client := subscribeTo(t, ctx, far.address)
	awaitServer(client, far.address)
	known.Store(&[]protocol.Server{{Address: far.address, Zone: "other"}, {Address: near, Zone: "own"}})
	for deadline := time.Now().Add(2*moveIn + pipeTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		is.Equal(client.Server(), far.address)
	}
	is.True(dialled.Load() > 0)           // it tried
	is.Equal(far.opened.Load(), int64(1)) // and never left
	at, confirmed := client.ConfirmedAt()
	is.True(confirmed)
	is.True(client.config.Now()-at < time.Second)
}

// What a subscriber holds when it begins to listen counts, not what it held when it introduced
// itself: another server may have brought it further meanwhile.
func TestSessionBeginsWhereTheFirstPingSays(t *testing.T) {
	is := is.New(t)
	s := NewSession("", distribution.Position{Revision: 5, Active: 2})
	s.TakePing(protocol.Ping{Sequence: 1, Position: distribution.Position{Revision: 9, Active: 4}})
	is.Equal(s.told, distribution.Position{Revision: 9, Active: 4})
	s.TakePing(protocol.Ping{Sequence: 2, Position: distribution.Position{Revision: 5, Active: 2}})
	is.Equal(s.told.Revision, uint64(9)) // what was sent since may still be on its way
	s = NewSession("", distribution.Position{})
	s.TakePing(protocol.Ping{Sequence: 1, Position: distribution.Position{Revision: 9, Active: 4}})
	is.Equal(s.told, distribution.Position{}) // it asked for everything
}
