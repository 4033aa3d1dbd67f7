// Package protocol defines the messages between the system's own processes and the handshake that
// opens every connection.
//
// The connecting side first sends a Hello; the other side replies with a Welcome or a Refusal.
// Transport security could be added below the handshake, since all later code uses only a
// wire.Conn.
package protocol

import (
	"errors"
	"fmt"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/quarantine"
	"bramblelift/pkg/quota"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/wire"
)

// Version is the version of this protocol. Peers with another version are refused.
const Version = 1

// These constants are the kinds of frames.
const (
	KindHello wire.Kind = iota + 1
	KindWelcome
	KindRefusal
	KindUpdate
	KindPing
	KindPong
	KindAck
	KindRaft
	KindJoin
	KindAnnounce
	KindPackedUpdate
	KindQuotas
)

// KindName returns the name of a frame kind as used in metrics.
func KindName(kind wire.Kind) string {
	names := map[wire.Kind]string{
		KindHello: "hello", KindWelcome: "welcome", KindRefusal: "refusal",
		KindUpdate: "update", KindPing: "ping", KindPong: "pong", KindAck: "ack",
		KindRaft: "raft", KindJoin: "join", KindAnnounce: "announce", KindPackedUpdate: "packed-update", KindQuotas: "quotas",
	}
	if name, found := names[kind]; found {
		return name
	}
	return "unknown"
}

// Role is the role of the connecting process.
type Role uint8

const (
	// RoleReplica is a control replica that exchanges consensus messages.
	RoleReplica Role = iota + 1
	// RoleRelay subscribes to the whole state and serves nodes.
	RoleRelay
	// RoleNode subscribes to the state of one node group.
	RoleNode
)

// Hello is the first message of the connecting side.
type Hello struct {
	ClusterID string
	Protocol  int
	Role      Role
	Name      string
	Zone      string
	// Group is the node's group; relays subscribe to bundle.ScopeAll.
	Group string
	// Position is the position of the state that a subscriber holds.
	Position distribution.Position
	// Address is the address at which a replica accepts connections.
	Address string
	// KnowsSuspects is set by replicas that support log entries about suspects. Replicas that set
	// Level set it too, for peers that read only this field.
	KnowsSuspects bool
	// Level is the level of log entries that a replica supports, or of contents that a node or
	// relay can read. It is zero from releases that do not report one.
	Level catalog.Level
}

// Welcome accepts a connection.
type Welcome struct {
	Name string
	// Servers are all servers that accept subscriptions; empty if they are not known.
	Servers []Server
	// Earlier describes a replica's subscribers of an earlier release, for another replica; nil for
	// none.
	Earlier *EarlierSubscribers
}

// Server is a process that serves subscriptions.
type Server struct {
	Address string
	Zone    string
}

// RefusalReason is why a connection is refused or ended.
type RefusalReason uint8

const (
	// ReasonCluster means that the peer belongs to another cluster.
	ReasonCluster RefusalReason = iota + 1
	// ReasonProtocol means that the peer uses another version of the protocol.
	ReasonProtocol
	// ReasonRole means that this process does not serve peers of that role.
	ReasonRole
	// ReasonBusy means that too many subscribers connected at once; retry after RetryAfter.
	ReasonBusy
	// ReasonStopping means that the process is shutting down.
	ReasonStopping
)

// Refusal rejects a connection or ends an open one.
type Refusal struct {
	Reason     RefusalReason
	Message    string
	RetryAfter time.Duration
}

// RefusedError is returned to the refused side and holds the received Refusal.
type RefusedError struct {
	Peer    string
	Refusal Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused by %s: %s", e.Peer, e.Refusal.Message)
}

// Ping requests a Pong and reports the sender's state.
type Ping struct {
	Sequence uint64
	Position distribution.Position
	// Reports are new reports on the nodes connected to a relay.
	Reports []NodeReport
	// Announcements are back ends of the subscriber whose entry in the state sent to it is missing
	// or outdated.
	Announcements []distribution.Endpoint
	// Evidence is what the subscriber's gate has observed about requests that crash back ends, nil
	// for nothing.
	Evidence *quarantine.Evidence
	// Rollouts are packed RolloutReports of the subscriber, or of the nodes connected to a relay,
	// on running rollouts; empty for none.
	Rollouts []byte
	// Closed is the state of the subscriber's gate while operator orders keep it closed, nil
	// otherwise.
	Closed *ClosedGate
	// Quotas is the subscriber's usage report on tenants that have a limit, nil if there are none.
	Quotas *quota.Report
}

// ClosedGate is the state of a gate that operator orders keep closed.
type ClosedGate struct {
	Reason exchange.Reason
	// Running is the number of calls in flight behind the gate.
	Running int
}

// Pong answers a Ping.
type Pong struct {
	Sequence uint64
	// Revision is the revision up to which the subscriber has received every update relevant to it.
	Revision uint64
	// Confirmed is true if Stale is known.
	Confirmed bool
	// Stale is the time between the last confirmation that the sender's state includes every
	// accepted change and this Pong.
	Stale time.Duration
	// Servers is the list of servers, sent only when it has changed since the last one sent.
	Servers []Server
	// Quotas are the shares of the tenants in the Ping's report and of those whose limit is being
	// enforced (quota.Share.Limited); nil if they are not known.
	Quotas *quota.Shares
	// Ended are the back ends announced in the Ping that the server's state lists as leaving or removed, in the announced
	// incarnation or a later one. The state sent to a node has no removed back ends.
	Ended []distribution.Endpoint
}

// Ack reports the position that a subscriber holds; it needs no response.
type Ack struct {
	Position distribution.Position
}

// NodeReport is a report on one node for the control plane.
type NodeReport struct {
	Node      string
	Group     string
	Zone      string
	Position  distribution.Position
	Connected bool
	// Closed is the state of the node's gate while operator orders keep it closed, nil otherwise.
	Closed *ClosedGate
	// Level is the level of contents that the node can read.
	Level catalog.Level
}

// RaftMessage carries one consensus message.
type RaftMessage struct {
	Message raft.Message
}

// Join requests that the sender replace the replica of the same name.
type Join struct {
	Member raft.Member
	// Forwarded is set by a replica that forwards the request to its leader: a replica with an
	// empty disk may not know the leader's address.
	Forwarded bool
}

// Announce carries announcements of subscribers, and messages between replicas. Back ends, evidence about
// requests that crash them, and rollout reports are forwarded to the leader.
type Announce struct {
	Endpoints []distribution.Endpoint
	Evidence  *quarantine.Evidence
	Rollouts  []RolloutReport
	// Closed is the state of the subscriber's gate while orders keep it closed. It is not forwarded to the leader.
	Closed *ClosedGate
	// Earlier describes the replica's subscribers of an earlier release, nil for none.
	Earlier *EarlierSubscribers
	// Quotas is the usage report of a node or relay, which is not forwarded. Sum combines a replica's reports,
	// for the leader. Shares are the shares that the leader allots to a replica's subscribers. nil means none.
	Quotas *quota.Report
	Sum    *quota.Sum
	Shares *quota.Shares
}

// EarlierSubscribers describes a replica's subscribers that cannot read every content.
type EarlierSubscribers struct {
	// Count is the number of such subscribers, at least 1.
	Count int
	// Level is the lowest level of contents among them.
	Level catalog.Level
}

// Empty reports whether there are no endpoints, rollout reports or evidence; the other fields are
// not considered.
func (a Announce) Empty() bool {
	return len(a.Endpoints) == 0 && len(a.Rollouts) == 0 && (a.Evidence == nil || a.Evidence.Empty())
}

// ErrUnexpected reports a frame of a kind that is not allowed at this point.
var ErrUnexpected = errors.New("unexpected frame")

// maxHandshakeFrame bounds the first frame of a peer in bytes: before it, anything may be at the other end.
const maxHandshakeFrame = 1 << 20

// Open performs the connecting side of the handshake. It returns a *RefusedError if the peer
// refuses the connection.
func Open(conn *wire.Conn, hello Hello, timeout time.Duration) (Welcome, error) {
	hello.Protocol = Version
	if err := conn.Send(KindHello, hello); err != nil {
		return Welcome{}, fmt.Errorf("handshake: %w", err)
	}
	kind, err := conn.ReceiveAtMost(timeout, maxHandshakeFrame)
	if err != nil {
		return Welcome{}, fmt.Errorf("handshake: %w", err)
	}
	switch kind {
	case KindWelcome:
		var welcome Welcome
		if err := conn.Decode(&welcome); err != nil {
			return Welcome{}, fmt.Errorf("handshake: %w", err)
		}
		return welcome, nil
	case KindRefusal:
		return Welcome{}, receiveRefusal(conn)
	default:
		return Welcome{}, fmt.Errorf("handshake with %s: kind %s: %w", conn.Peer(), KindName(kind), ErrUnexpected)
	}
}

// receiveRefusal decodes a Refusal and returns it as a *RefusedError.
func receiveRefusal(conn *wire.Conn) error {
	var refusal Refusal
	if err := conn.Decode(&refusal); err != nil {
		return fmt.Errorf("refusal: %w", err)
	}
	return &RefusedError{Peer: conn.Peer(), Refusal: refusal}
}

// ReceiveRefusal decodes a Refusal that ends an open connection and returns it as a *RefusedError.
func ReceiveRefusal(conn *wire.Conn) error { return receiveRefusal(conn) }

// Accept reads the Hello of the connecting side and checks cluster, protocol and role. On a
// mismatch it refuses the peer and returns an error.
func Accept(conn *wire.Conn, clusterID string, timeout time.Duration) (Hello, error) {
	kind, err := conn.ReceiveAtMost(timeout, maxHandshakeFrame)
	if err != nil {
		return Hello{}, fmt.Errorf("handshake: %w", err)
	}
	if kind != KindHello {
		return Hello{}, fmt.Errorf("handshake with %s: kind %s: %w", conn.Peer(), KindName(kind), ErrUnexpected)
	}
	var hello Hello
	if err := conn.Decode(&hello); err != nil {
		return Hello{}, fmt.Errorf("handshake: %w", err)
	}
	if hello.Protocol != Version {
		return hello, Refuse(conn, Refusal{Reason: ReasonProtocol, Message: fmt.Sprintf("protocol %d, here it is %d", hello.Protocol, Version)})
	}
	if hello.ClusterID != clusterID {
		return hello, Refuse(conn, Refusal{Reason: ReasonCluster, Message: fmt.Sprintf("cluster %q, here it is %q", hello.ClusterID, clusterID)})
	}
	if hello.Group == bundle.ScopeAll && hello.Role == RoleNode {
		return hello, Refuse(conn, Refusal{Reason: ReasonRole, Message: "a node may not subscribe to everything"})
	}
	return hello, nil
}

// Refuse sends a refusal. It always returns an error, which describes the refusal or the failure to
// send it.
func Refuse(conn *wire.Conn, refusal Refusal) error {
	if err := conn.Send(KindRefusal, refusal); err != nil {
		return fmt.Errorf("refuse: %w", err)
	}
	return fmt.Errorf("refused %s: %s", conn.Peer(), refusal.Message)
}
