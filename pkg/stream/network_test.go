package stream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/wire"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

const (
	nodeSilence    = 1200 * time.Millisecond
	nodePing       = 400 * time.Millisecond
	nodeStaleLimit = 900 * time.Millisecond
	packetBytes    = 1400
)

// network connects clients to hubs in memory. It runs in a synctest bubble.
type network struct {
	ctx     context.Context
	started time.Time

	mu      sync.Mutex
	servers map[string]*networkServer
}

// networkServer is a hub on a network. While it is silent it accepts and sends nothing.
type networkServer struct {
	*Hub
	silent chan struct{}
	// cutOffSince is when the server was cut off from the control plane, on the network's clock; zero for never.
	cutOffSince atomic.Int64
}

func newNetwork(ctx context.Context) *network {
	return &network{ctx: ctx, started: time.Now(), servers: map[string]*networkServer{}}
}

// newNetworkOf returns a network with some servers of one state, and their addresses.
func newNetworkOf(ctx context.Context, servers int, state *distribution.State) (n *network, addresses []string) {
	n = newNetwork(ctx)
	for i := range servers {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		n.addServer(address, state)
		addresses = append(addresses, address)
	}
	return n, addresses
}

// stateAtRevision returns a state without a bundle.
func stateAtRevision(revision uint64) *distribution.State {
	return &distribution.State{Revision: revision, Endpoints: distribution.EndpointTable{}}
}

// acceptAt gives a state to all servers except one, which may be nil.
func (n *network) acceptAt(state *distribution.State, except *networkServer) {
	for _, server := range n.servers {
		if server != except {
			server.SetState(state)
		}
	}
}

func (n *network) now() time.Duration { return time.Since(n.started) }

// addServer starts a hub.
func (n *network) addServer(address string, state *distribution.State) *networkServer {
	server := &networkServer{silent: make(chan struct{})}
	server.Hub = NewHub(HubConfig{
		Name: address, SilenceTimeout: 5 * time.Second, Admission: AdmissionConfig{PerSecond: 200, Burst: 200}, Now: n.now,
		ConfirmedAt: func() (time.Duration, bool) { return server.confirmedAt(n.now()), true },
		Servers:     n.list,
	}, state)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = server
	return server
}

func (s *networkServer) confirmedAt(now time.Duration) time.Duration {
	if since := s.cutOffSince.Load(); since > 0 {
		return time.Duration(since)
	}
	return now
}

// silence makes the server vanish without closing its connections, like a loss of power.
func (s *networkServer) silence() { close(s.silent) }

// list returns the servers; all of them are in the clients' zone.
func (n *network) list() []protocol.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	var servers []protocol.Server
	for address := range n.servers {
		servers = append(servers, protocol.Server{Address: address, Zone: "own"})
	}
	return servers
}

// link is a client's link to the network.
type link struct {
	// delay is how long a packet waits in each direction, bytesPerSecond what is left for the client's subscription.
	delay          time.Duration
	bytesPerSecond int
	// cut, if set, is set while the link loses all packets.
	cut *atomic.Bool
}

// isCut reports whether the link loses all packets.
func (l link) isCut() bool { return l.cut != nil && l.cut.Load() }

// dial connects a client to a server over the client's link.
func (n *network) dial(ctx context.Context, over link, address string) (net.Conn, error) {
	n.mu.Lock()
	server := n.servers[address]
	n.mu.Unlock()
	if err := connect(ctx, over, server.silent); err != nil {
		return nil, err
	}
	clientEnd, fromServer := net.Pipe()
	serverEnd, fromClient := net.Pipe()
	go relayPackets(fromServer, fromClient, over, server.silent)
	go relayPackets(fromClient, fromServer, over, server.silent)
	go func() {
		conn := wire.NewConn(serverEnd, wire.DefaultMaxFrame, 2*time.Second, nil)
		defer conn.Close()
		if hello, err := protocol.Accept(conn, "test", 3*time.Second); err == nil {
			_ = server.Serve(n.ctx, conn, hello)
		}
	}()
	return clientEnd, nil
}

// connect takes as long as a TCP handshake: a lost SYN is sent again after 1, 3 and 7 s.
func connect(ctx context.Context, over link, silent <-chan struct{}) error {
	for retransmitAfter := time.Second; ; retransmitAfter *= 2 {
		lost := over.isCut() || isClosed(silent)
		wait := 2 * over.delay
		if lost {
			wait = retransmitAfter
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		if !lost {
			return nil
		}
	}
}

// packet is a part of a connection's bytes that is under way.
type packet struct {
	data    []byte
	arrives time.Time
}

// relayPackets passes bytes on with the delay and the rate of a link, until either end closes or the server is silent.
func relayPackets(from, to net.Conn, over link, silent <-chan struct{}) {
	underWay := make(chan packet, 1<<12)
	go func() {
		defer to.Close()
		for p := range underWay {
			time.Sleep(time.Until(p.arrives))
			if isClosed(silent) || over.isCut() {
				continue
			}
			if _, err := to.Write(p.data); err != nil {
				break
			}
		}
	}()
	defer close(underWay)
	defer from.Close()
	sentAt := time.Now()
	for {
		data := make([]byte, packetBytes)
		size, err := from.Read(data)
		if err != nil {
			return
		}
		sentAt = laterOf(sentAt, time.Now()).Add(time.Duration(size) * time.Second / time.Duration(over.bytesPerSecond))
		underWay <- packet{data: data[:size], arrives: sentAt.Add(over.delay)}
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addClient runs a client that holds the given target and knows the servers, until the context ends.
func (n *network) addClient(t *testing.T, over link, target Target, servers ...string) *Client {
	t.Helper()
	var candidates []Candidate
	for _, address := range servers {
		candidates = append(candidates, Candidate{Address: address, Near: true})
	}
	client, err := NewClient(ClientConfig{
		Hello:    protocol.Hello{ClusterID: "test", Role: protocol.RoleNode, Name: "node", Zone: "own"},
		Selector: SelectorConfigFor(nodeStaleLimit), PingInterval: nodePing, SilenceTimeout: nodeSilence,
		DialInterval: 400 * time.Millisecond, Logger: log.NewNopLogger(), Now: n.now,
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, over, address) },
	}, target, candidates)
	is.New(t).NoErr(err)
	go client.Run(n.ctx)
	return client
}

// awaitRevision returns how long a target takes to reach a revision, at most limit.
func awaitRevision(target Target, revision uint64, limit time.Duration) time.Duration {
	began := time.Now()
	for target.Position().Revision < revision && time.Since(began) < limit {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}
