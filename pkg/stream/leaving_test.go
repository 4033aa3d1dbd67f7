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

// staleHub is a server that was cut off from the others: it answers, and what it serves is as old as
// stale says. SetState brings it up to date.
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

// While no other server can be reached, as over a link that is full, a client stays where it is: what
// its server learns when a cut heals comes over the stream that stands.
func TestClientStaysAtStaleServerUntilAnotherStands(t *testing.T) {
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
	is.True(dialled.Load() > 0)              // it looks for another
	is.Equal(client.Server(), stale.address) // and stays meanwhile
	stale.SetState(&distribution.State{Revision: 2, Endpoints: distribution.EndpointTable{}})
	for deadline := time.Now().Add(pipeTimeout / 2); client.target.Position().Revision < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(client.target.Position().Revision, uint64(2))
	is.Equal(stale.opened.Load(), int64(1)) // it never left
}

// Once another server stands, a stale one is left.
func TestClientLeavesStaleServerForOneThatStands(t *testing.T) {
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

// A link that carries much makes a dial take longer than any short time-out: one that failed often is
// given more time, up to a bound.
func TestDialsThatFailedOftenAreGivenMoreTime(t *testing.T) {
	is := is.New(t)
	c := &Client{config: ClientConfig{DialTimeout: 400 * time.Millisecond}}
	is.Equal(c.dialTimeout(), quickDialTimeout)
	c.failedDials.Store(quickDials)
	is.Equal(c.dialTimeout(), 400*time.Millisecond)
	c.failedDials.Store(quickDials + dialsAtTimeout)
	is.Equal(c.dialTimeout(), 800*time.Millisecond)
	c.failedDials.Store(1000)
	is.Equal(c.dialTimeout(), maxDialTimeout)
	c.config.DialTimeout = 5 * time.Second
	is.Equal(c.dialTimeout(), 5*time.Second) // what the settings allow is not cut
}

// A server that is behind is left for any other, also for one that failed before.
func TestServerThatIsBehindIsLeftForAnyOther(t *testing.T) {
	is := is.New(t)
	s := testSelector("behind", "b", "c")
	s.Next(0)
	s.TriedInVain(0, "c")
	s.TriedInVain(time.Second, "b")
	_, known := s.OtherFor(2*time.Second, Standing{})
	is.True(!known) // a stale one is not left for one that is known to be bad
	other, known := s.OtherFor(2*time.Second, Standing{Behind: true})
	is.True(known)
	is.Equal(other.Address, "c")
	_, known = testSelector("behind").OtherFor(0, Standing{Behind: true})
	is.True(!known)
}

// Why a client moves is what holds when it does: a server that was stale once is not stale for ever.
func TestServerThatWasStaleOnceIsNotSaidToBe(t *testing.T) {
	is := is.New(t)
	s := &session{client: &Client{
		config:   ClientConfig{Now: func() time.Duration { return time.Minute }},
		selector: testSelector("a", "b"),
	}}
	s.opening = true // no other is dialled here
	s.client.selector.Next(0)
	s.lookForAnother(context.Background(), Standing{Confirmed: true, Stale: time.Hour})
	is.True(s.whyMoved() != errNearerServer.Error())
	s.lookForAnother(context.Background(), Standing{Confirmed: true})
	is.Equal(s.whyMoved(), errNearerServer.Error())
}
