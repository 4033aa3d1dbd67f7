package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"bramblelift/pkg/metrics"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/wire"
)

const (
	// peerQueue is how many messages wait for one peer. Beyond it messages are
	// dropped, which consensus takes for loss on the way.
	peerQueue        = 256
	peerDialTimeout  = time.Second
	peerRedialPause  = 200 * time.Millisecond
	replicaIdleLimit = 30 * time.Second
)

// peerSet sends messages to the other replicas, one connection each way.
type peerSet struct {
	server  *Server
	context context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// queues is only used by the driver.
	queues map[raft.ReplicaID]chan protocolFrame
}

// protocolFrame is one message to a replica.
type protocolFrame struct {
	kind  wire.Kind
	value any
}

func newPeerSet(server *Server) *peerSet {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peerSet{server: server, context: ctx, cancel: cancel, queues: map[raft.ReplicaID]chan protocolFrame{}}
	p.group.Go(func() { p.keepJoining() })
	return p
}

// send queues a message; a receiver whose address is unknown gets nothing. It runs in
// the driver's goroutine.
func (p *peerSet) send(m raft.Message) {
	queue, found := p.queues[m.To]
	if !found {
		address, known := p.server.replica.Address(m.To)
		if !known {
			return
		}
		queue = make(chan protocolFrame, peerQueue)
		p.queues[m.To] = queue
		p.group.Go(func() { p.keepSending(address, queue) })
	}
	select {
	case queue <- protocolFrame{kind: protocol.KindRaft, value: protocol.RaftMessage{Message: m}}:
	default:
	}
}

func (p *peerSet) close() {
	p.cancel()
	p.group.Wait()
}

// keepSending holds one connection to a peer and opens it again when it breaks.
func (p *peerSet) keepSending(address string, queue <-chan protocolFrame) {
	for p.context.Err() == nil {
		err := p.sendAll(address, queue)
		if p.context.Err() != nil {
			return
		}
		p.server.logger.Log("event", "peer_lost", "peer", address, "error", err)
		select {
		case <-p.context.Done():
		case <-time.After(peerRedialPause):
		}
		drain(queue)
	}
}

// drain drops what waited while the peer was away: it is out of date.
func drain(queue <-chan protocolFrame) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// sendAll connects once there is something to send, so that a replica that was replaced
// costs nothing, and sends until the connection breaks.
func (p *peerSet) sendAll(address string, queue <-chan protocolFrame) error {
	frame, open := p.next(queue)
	if !open {
		return nil
	}
	conn, err := p.dial(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	for open {
		if err := conn.Send(frame.kind, frame.value); err != nil {
			return err
		}
		frame, open = p.next(queue)
	}
	return nil
}

// next waits for a message; it returns false when the process stops.
func (p *peerSet) next(queue <-chan protocolFrame) (protocolFrame, bool) {
	select {
	case <-p.context.Done():
		return protocolFrame{}, false
	case frame := <-queue:
		return frame, true
	}
}

func (p *peerSet) dial(address string) (*wire.Conn, error) {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	raw, err := dialer.DialContext(p.context, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial replica %s: %w", address, err)
	}
	link := &metrics.Link{}
	link.Set(metrics.LinkReplica)
	conn := wire.NewConn(raw, wire.DefaultMaxFrame, peerWriteTimeout, p.server.traffic.Observe(link))
	hello := protocol.Hello{ClusterID: p.server.settings.Cluster, Role: protocol.RoleReplica, Name: p.server.settings.Name, Zone: p.server.settings.Zone,
		Address: p.server.ownAddress()}
	if _, err := protocol.Open(conn, hello, handshakeTimeout); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// keepJoining asks the other replicas for membership for as long as this one does not
// vote.
func (p *peerSet) keepJoining() {
	for p.context.Err() == nil {
		var member raft.Member
		err := p.server.inspect(p.context, func(time.Duration) { member = p.server.joinRequest() })
		if err != nil {
			return
		}
		if member.ID != 0 {
			p.askToJoin(member)
		}
		select {
		case <-p.context.Done():
		case <-time.After(joinInterval):
		}
	}
}

// joinRequest returns what to ask for, or the zero member when this replica votes
// already. It runs in the driver's goroutine.
func (s *Server) joinRequest() raft.Member {
	node := s.replica.Node()
	if node.Membership().IsVoter(node.ID()) {
		return raft.Member{}
	}
	return raft.Member{ID: node.ID(), Name: s.settings.Name, Zone: s.settings.Zone, Address: s.ownAddress()}
}

// ownAddress is where the other replicas reach this one.
func (s *Server) ownAddress() string {
	for _, peer := range s.settings.Replicas {
		if peer.Name == s.settings.Name {
			return peer.Address
		}
	}
	return s.settings.Listen
}

func (p *peerSet) askToJoin(member raft.Member) {
	for _, peer := range p.server.settings.Replicas {
		if peer.Name == p.server.settings.Name {
			continue
		}
		conn, err := p.dial(peer.Address)
		if err != nil {
			continue
		}
		if err := conn.Send(protocol.KindJoin, protocol.Join{Member: member}); err != nil {
			p.server.logger.Log("event", "join_request_failed", "peer", peer.Address, "error", err)
		}
		conn.Close()
	}
}

// serveReplica takes in another replica's messages.
func (s *Server) serveReplica(ctx context.Context, conn *wire.Conn, hello protocol.Hello) error {
	if err := conn.Send(protocol.KindWelcome, protocol.Welcome{Name: s.settings.Name}); err != nil {
		return err
	}
	for {
		kind, err := conn.Receive(replicaIdleLimit)
		if err != nil {
			return err
		}
		switch kind {
		case protocol.KindRaft:
			var frame protocol.RaftMessage
			if err := conn.Decode(&frame); err != nil {
				return err
			}
			if !hand(ctx, s.messages, received{message: frame.Message, address: hello.Address}) {
				return ctx.Err()
			}
		case protocol.KindJoin:
			var frame protocol.Join
			if err := conn.Decode(&frame); err != nil {
				return err
			}
			if !hand(ctx, s.joins, frame.Member) {
				return ctx.Err()
			}
		default:
			return fmt.Errorf("from %s: kind %s: %w", conn.Peer(), protocol.KindName(kind), protocol.ErrUnexpected)
		}
	}
}

func hand[T any](ctx context.Context, queue chan<- T, value T) bool {
	select {
	case queue <- value:
		return true
	case <-ctx.Done():
		return false
	}
}
