package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/metrics"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/wire"
)

const (
	// peerQueue is how many messages wait for one peer. Beyond it messages are
	// dropped, which consensus takes for loss on the way.
	peerQueue        = 256
	peerDialTimeout  = 500 * time.Millisecond
	peerRedialPause  = 50 * time.Millisecond
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
	p.queue(m.To, protocolFrame{kind: protocol.KindRaft, value: protocol.RaftMessage{Message: m}})
}

func (p *peerSet) queue(to raft.ReplicaID, frame protocolFrame) {
	queue, found := p.queues[to]
	if !found {
		address, known := p.server.replica.Address(to)
		if !known {
			return
		}
		queue = make(chan protocolFrame, peerQueue)
		p.queues[to] = queue
		p.group.Go(func() { p.keepSending(address, queue) })
	}
	select {
	case queue <- frame:
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
	raw, err := wire.Dial(p.context, address, peerDialTimeout)
	if err != nil {
		return nil, fmt.Errorf("dial replica %s: %w", address, err)
	}
	link := &metrics.Link{}
	link.Set(metrics.LinkReplica)
	conn := wire.NewConn(raw, wire.DefaultMaxFrame, peerWriteTimeout, p.server.traffic.Observe(link))
	hello := protocol.Hello{ClusterID: p.server.settings.Cluster, Role: protocol.RoleReplica, Name: p.server.settings.Name, Zone: p.server.settings.Zone,
		Address: ownAddress(p.server.settings), KnowsSuspects: true, Level: catalog.NewestLevel}
	welcome, err := protocol.Open(conn, hello, handshakeTimeout)
	if err != nil {
		conn.Close()
		return nil, err
	}
	// A replica that was just started and leads at once must know it, too.
	p.server.noteEarlier(welcome.Earlier)
	return conn, nil
}

// announce queues what nodes announced for the leader. It runs in the driver's goroutine.
func (p *peerSet) announce(leader raft.ReplicaID, announced protocol.Announce) {
	p.queue(leader, protocolFrame{kind: protocol.KindAnnounce, value: announced})
}

// announceToAll queues an announcement for every other member. It runs in the driver's goroutine.
func (p *peerSet) announceToAll(announced protocol.Announce) {
	node := p.server.replica.Node()
	for _, member := range node.Membership().Members {
		if member.ID != node.ID() {
			p.announce(member.ID, announced)
		}
	}
}

// serveReplica takes in another replica's messages.
func (s *Server) serveReplica(ctx context.Context, conn *wire.Conn, hello protocol.Hello) error {
	s.noteLevel(hello)
	if err := conn.Send(protocol.KindWelcome, protocol.Welcome{Name: s.settings.Name, Earlier: s.nodes.earlier()}); err != nil {
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
			if !hand(ctx, s.joins, frame) {
				return ctx.Err()
			}
		case protocol.KindAnnounce:
			var frame protocol.Announce
			if err := conn.Decode(&frame); err != nil {
				return err
			}
			s.takeAnnounced(frame)
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
