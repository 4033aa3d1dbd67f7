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

// silentServer accepts connections and sends nothing, like a server behind a saturated link.
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

// A client must not drop its subscription before the nearer server accepts it: it would miss updates
// while it dials.
func TestClientStaysConfirmedUntilNearerServerAnswers(t *testing.T) {
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
	for deadline := time.Now().Add(2*maxMoveDelay + pipeTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		is.Equal(client.Server(), far.address)
	}
	is.True(dialled.Load() > 0)           // the nearer server was dialled
	is.Equal(far.opened.Load(), int64(1)) // subscribed only once
	at, confirmed := client.ConfirmedAt()
	is.True(confirmed)
	is.True(client.config.Now()-at < time.Second)
}

// Updates must start from the position in the first ping, not the one in the Hello: another server
// may have sent updates in between.
func TestSessionStartsAtPositionOfFirstPing(t *testing.T) {
	is := is.New(t)
	s := NewSession("", distribution.Position{Revision: 5, Active: 2})
	s.HandlePing(protocol.Ping{Sequence: 1, Position: distribution.Position{Revision: 9, Active: 4}})
	is.Equal(s.sent, distribution.Position{Revision: 9, Active: 4})
	s.HandlePing(protocol.Ping{Sequence: 2, Position: distribution.Position{Revision: 5, Active: 2}})
	is.Equal(s.sent.Revision, uint64(9)) // a later ping doesn't move it back: updates may be in transit
	s = NewSession("", distribution.Position{})
	s.HandlePing(protocol.Ping{Sequence: 1, Position: distribution.Position{Revision: 9, Active: 4}})
	is.Equal(s.sent, distribution.Position{}) // an empty position requests the full state
}
