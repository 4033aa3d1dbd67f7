package stream

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quarantine"
	"bramblelift/pkg/wire"

	"github.com/matryer/is"
)

// hubFixture is a hub with one subscriber connected by a pipe.
type hubFixture struct {
	hub  *Hub
	conn *wire.Conn

	mu          sync.Mutex
	confirmedAt time.Duration
	confirmed   bool
	servers     []protocol.Server
	announced   []protocol.Announce
}

const (
	hubNow      = 10 * time.Second
	pipeTimeout = 2 * time.Second
)

func newHubFixture(t *testing.T, servers ...protocol.Server) *hubFixture {
	t.Helper()
	f := &hubFixture{servers: servers}
	f.hub = NewHub(HubConfig{
		Name: "one", SilenceTimeout: pipeTimeout, Admission: AdmissionConfig{PerSecond: 10, Burst: 10},
		Now: func() time.Duration { return hubNow },
		ConfirmedAt: func() (time.Duration, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.confirmedAt, f.confirmed
		},
		Servers: func() []protocol.Server {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.servers
		},
		OnAnnounce: func(announced protocol.Announce) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.announced = append(f.announced, announced)
		},
	}, &distribution.State{})
	clientEnd, serverEnd := net.Pipe()
	t.Cleanup(func() { clientEnd.Close() })
	f.conn = wire.NewConn(clientEnd, wire.DefaultMaxFrame, pipeTimeout, nil)
	go func() {
		_ = f.hub.Serve(context.Background(), wire.NewConn(serverEnd, wire.DefaultMaxFrame, pipeTimeout, nil),
			protocol.Hello{Name: "node", Role: protocol.RoleNode})
	}()
	return f
}

func (f *hubFixture) set(confirmedAt time.Duration, confirmed bool, servers ...protocol.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt, f.confirmed, f.servers = confirmedAt, confirmed, servers
}

// receive decodes the next frame, which must be of the given kind.
func (f *hubFixture) receive(t *testing.T, kind wire.Kind, value any) {
	t.Helper()
	is := is.New(t)
	got, err := f.conn.Receive(pipeTimeout)
	is.NoErr(err)
	is.Equal(got, kind)
	is.NoErr(f.conn.Decode(value))
}

func (f *hubFixture) ping(t *testing.T, ping protocol.Ping) protocol.Pong {
	t.Helper()
	is.New(t).NoErr(f.conn.Send(protocol.KindPing, ping))
	var pong protocol.Pong
	f.receive(t, protocol.KindPong, &pong)
	is.New(t).Equal(pong.Sequence, ping.Sequence)
	return pong
}

// A hub must not claim a fresher state than it has: a node without a disk would start on an old version,
// and nodes would stay at a server that is cut off.
func TestHubReportsStaleness(t *testing.T) {
	is := is.New(t)
	f := newHubFixture(t)
	var welcome protocol.Welcome
	f.receive(t, protocol.KindWelcome, &welcome)
	pong := f.ping(t, protocol.Ping{Sequence: 1})
	is.True(!pong.Confirmed)
	f.set(7*time.Second, true)
	pong = f.ping(t, protocol.Ping{Sequence: 2})
	is.True(pong.Confirmed)
	is.Equal(pong.Stale, 3*time.Second)
	f.set(hubNow, true)
	is.Equal(f.ping(t, protocol.Ping{Sequence: 3}).Stale, time.Duration(0))
}

func TestHubSendsServerListOnlyOnChange(t *testing.T) {
	is := is.New(t)
	one, two := protocol.Server{Address: "10.0.0.1:1", Zone: "a"}, protocol.Server{Address: "10.0.0.2:1", Zone: "b"}
	f := newHubFixture(t, one)
	var welcome protocol.Welcome
	f.receive(t, protocol.KindWelcome, &welcome)
	is.Equal(welcome.Servers, []protocol.Server{one})
	is.Equal(len(f.ping(t, protocol.Ping{Sequence: 1}).Servers), 0)
	f.set(0, false, one, two)
	is.Equal(f.ping(t, protocol.Ping{Sequence: 2}).Servers, []protocol.Server{one, two})
	is.Equal(len(f.ping(t, protocol.Ping{Sequence: 3}).Servers), 0)
}

func TestHubForwardsAnnouncements(t *testing.T) {
	is := is.New(t)
	f := newHubFixture(t)
	var welcome protocol.Welcome
	f.receive(t, protocol.KindWelcome, &welcome)
	endpoint := distribution.Endpoint{Service: "s", ID: "a", Incarnation: 1, Gate: "10.0.0.1:9"}
	evidence := &quarantine.Evidence{Ends: []quarantine.End{{Request: "r", Instance: "i", Way: quarantine.Way{Caller: "c", Service: "s"}}}}
	f.ping(t, protocol.Ping{Sequence: 1, Announcements: []distribution.Endpoint{endpoint}, Evidence: evidence})
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(f.announced, []protocol.Announce{{Endpoints: []distribution.Endpoint{endpoint}, Evidence: evidence}})
}

// A new list of servers must neither move a client off its server nor drop failure marks.
func TestNewCandidateListKeepsFailureState(t *testing.T) {
	is := is.New(t)
	config := DefaultSelectorConfig()
	config.Random = func() float64 { return 0.5 }
	s := NewSelector(config, []Candidate{{Address: "seed"}})
	first, _ := s.Next(0)
	is.Equal(first.Address, "seed")
	s.SetCandidates([]Candidate{{Address: "far"}, {Address: "near", Near: true}})
	s.Failed(0, 0) // fails the seed, which is no longer listed
	next, _ := s.Next(time.Second)
	is.Equal(next.Address, "near")
	s.Failed(time.Second, 0)
	s.SetCandidates([]Candidate{{Address: "near", Near: true}, {Address: "far"}})
	next, _ = s.Next(time.Second + 200*time.Millisecond)
	is.Equal(next.Address, "far") // near is still marked as failed
}

// timeToLeaveStaleServer returns how long a client stays at a server that is cut off, with the
// longest jittered delays.
func timeToLeaveStaleServer(config SelectorConfig, pingInterval time.Duration) time.Duration {
	config.Random = func() float64 { return 0.999 }
	s := NewSelector(config, []Candidate{{Address: "cut", Near: true}, {Address: "well"}})
	s.Next(0)
	spread := pingInterval + pingInterval/4
	for now := spread - time.Millisecond; ; now += spread {
		if s.ObservePong(now, ServerHealth{Confirmed: true, Stale: now}) {
			return now
		}
	}
}

// A version must be in force 2 s after its acknowledgement, also on a node whose server was cut off
// just before. That takes a shorter StaleLimit than the default.
func TestClientLeavesStaleServerWithinDeadline(t *testing.T) {
	is := is.New(t)
	const pingInterval, inForce, resubscribe = 400 * time.Millisecond, 2 * time.Second, 200 * time.Millisecond
	is.True(timeToLeaveStaleServer(SelectorConfigFor(900*time.Millisecond), pingInterval) < inForce-resubscribe)
	is.True(timeToLeaveStaleServer(DefaultSelectorConfig(), pingInterval) > inForce)
	is.Equal(SelectorConfigFor(2500*time.Millisecond).FailureMarkDuration, DefaultSelectorConfig().FailureMarkDuration)
}
