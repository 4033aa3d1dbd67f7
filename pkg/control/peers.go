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
	// peerQueueSize bounds the messages queued for one peer. Further messages are dropped, which
	// consensus tolerates like loss in the network.
	peerQueueSize    = 256
	peerDialTimeout  = 500 * time.Millisecond
	peerRedialPause  = 50 * time.Millisecond
	replicaIdleLimit = 30 * time.Second
)

// peerSet sends messages to the other replicas over one outgoing connection for each.
type peerSet struct {
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// queues is owned by the event loop.
	queues map[raft.ReplicaID]chan outboundFrame
}

// outboundFrame is one message to a replica.
type outboundFrame struct {
	kind  wire.Kind
	value any
}

func newPeerSet(server *Server) *peerSet {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peerSet{server: server, ctx: ctx, cancel: cancel, queues: map[raft.ReplicaID]chan outboundFrame{}}
	p.group.Go(func() { p.runJoinLoop() })
	return p
}

// send queues a consensus message, and drops it if the receiver's address is unknown. It runs on the
// event loop.
func (p *peerSet) send(m raft.Message) {
	p.queue(m.To, outboundFrame{kind: protocol.KindRaft, value: protocol.RaftMessage{Message: m}})
}

func (p *peerSet) queue(to raft.ReplicaID, frame outboundFrame) {
	queue, found := p.queues[to]
	if !found {
		address, known := p.server.replica.Address(to)
		if !known {
			return
		}
		queue = make(chan outboundFrame, peerQueueSize)
		p.queues[to] = queue
		p.group.Go(func() { p.runSender(address, queue) })
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

// runSender keeps one connection to a peer and reopens it with a pause after each failure.
func (p *peerSet) runSender(address string, queue <-chan outboundFrame) {
	for p.ctx.Err() == nil {
		err := p.sendQueued(address, queue)
		if p.ctx.Err() != nil {
			return
		}
		p.server.logger.Log("event", "peer_lost", "peer", address, "error", err)
		select {
		case <-p.ctx.Done():
		case <-time.After(peerRedialPause):
		}
		discardQueued(queue)
	}
}

// discardQueued drops messages that were queued while the peer was unreachable, as they are outdated.
func discardQueued(queue <-chan outboundFrame) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// sendQueued connects when the first message is queued, so that a replaced replica causes no connection
// attempts, and sends until the connection fails.
func (p *peerSet) sendQueued(address string, queue <-chan outboundFrame) error {
	frame, open := p.nextFrame(queue)
	if !open {
		return nil
	}
	return p.withConn(address, func(conn *wire.Conn) error {
		for open {
			if err := conn.Send(frame.kind, frame.value); err != nil {
				return err
			}
			frame, open = p.nextFrame(queue)
		}
		return nil
	})
}

// nextFrame waits for a message. It returns false once the peer set is closed.
func (p *peerSet) nextFrame(queue <-chan outboundFrame) (outboundFrame, bool) {
	select {
	case <-p.ctx.Done():
		return outboundFrame{}, false
	case frame := <-queue:
		return frame, true
	}
}

// withConn calls use with a new connection to a replica, and closes it afterwards or when the peer set is closed.
func (p *peerSet) withConn(address string, use func(*wire.Conn) error) error {
	raw, err := wire.Dial(p.ctx, address, peerDialTimeout)
	if err != nil {
		return fmt.Errorf("dial replica %s: %w", address, err)
	}
	role := &metrics.PeerRole{}
	role.Set(metrics.LinkReplica)
	conn := wire.NewConn(raw, wire.DefaultMaxFrame, peerWriteTimeout, p.server.traffic.Observe(role))
	defer conn.Close()
	stop := context.AfterFunc(p.ctx, func() { conn.Close() })
	defer stop()
	hello := protocol.Hello{ClusterID: p.server.settings.Cluster, Role: protocol.RoleReplica, Name: p.server.settings.Name, Zone: p.server.settings.Zone,
		Address: ownAddress(p.server.settings), KnowsSuspects: true, Level: catalog.NewestLevel}
	welcome, err := protocol.Open(conn, hello, handshakeTimeout)
	if err != nil {
		return err
	}
	// A replica that restarted and becomes the leader needs the level of the others' subscribers.
	p.server.recordSubscriberLevel(welcome.Earlier)
	return use(conn)
}

// announce queues an announcement for a replica. It runs on the event loop.
func (p *peerSet) announce(to raft.ReplicaID, announced protocol.Announce) {
	p.queue(to, outboundFrame{kind: protocol.KindAnnounce, value: announced})
}

// announceToAll queues an announcement for every other member. It runs on the event loop.
func (p *peerSet) announceToAll(announced protocol.Announce) {
	node := p.server.replica.Node()
	for _, member := range node.Membership().Members {
		if member.ID != node.ID() {
			p.announce(member.ID, announced)
		}
	}
}

// serveReplica handles the messages of another replica until the connection fails.
func (s *Server) serveReplica(ctx context.Context, conn *wire.Conn, hello protocol.Hello) error {
	s.recordReplicaLevel(hello)
	if err := conn.Send(protocol.KindWelcome, protocol.Welcome{Name: s.settings.Name, Earlier: s.nodes.earlierSubscribers()}); err != nil {
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
			if !sendOrDone(ctx, s.messages, inboundMessage{message: frame.Message, address: hello.Address}) {
				return ctx.Err()
			}
		case protocol.KindJoin:
			var frame protocol.Join
			if err := conn.Decode(&frame); err != nil {
				return err
			}
			if !sendOrDone(ctx, s.joins, frame) {
				return ctx.Err()
			}
		case protocol.KindAnnounce:
			var frame protocol.Announce
			if err := conn.Decode(&frame); err != nil {
				return err
			}
			s.handleAnnounce(frame)
		default:
			return fmt.Errorf("replica %s sent a message of kind %s: %w", conn.Peer(), protocol.KindName(kind), protocol.ErrUnexpected)
		}
	}
}

// sendOrDone sends a value to a channel and reports false if the context ended first.
func sendOrDone[T any](ctx context.Context, queue chan<- T, value T) bool {
	select {
	case queue <- value:
		return true
	case <-ctx.Done():
		return false
	}
}
