package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testElectionTimeout   = time.Second
	testHeartbeatInterval = 200 * time.Millisecond
	testMaxClockDrift     = 0.05
	testStep              = 10 * time.Millisecond
)

// testNetwork runs replicas in lockstep. Messages arrive one step after they are sent.
type testNetwork struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	nodes  map[ReplicaID]*Node
	// applied holds the data of the commands that each replica applied, in order.
	applied map[ReplicaID][]string
	// isolated replicas neither send nor receive messages.
	isolated map[ReplicaID]bool
}

func newTestNetwork(t *testing.T, size int) *testNetwork {
	t.Helper()
	n := &testNetwork{t: t, random: rand.New(rand.NewPCG(7, 7)), nodes: map[ReplicaID]*Node{}, applied: map[ReplicaID][]string{}, isolated: map[ReplicaID]bool{}}
	var membership Membership
	for id := ReplicaID(1); int(id) <= size; id++ {
		membership.Members = append(membership.Members, Member{ID: id})
	}
	for _, member := range membership.Members {
		n.start(member.ID, State{Snapshot: Snapshot{Index: 1, Membership: membership}})
	}
	return n
}

func (n *testNetwork) start(id ReplicaID, state State) *Node {
	n.t.Helper()
	node, err := New(n.now, Config{
		ID: id, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, MaxClockDrift: testMaxClockDrift,
		MaxAppendBytes: 1 << 16, KeepEntries: 4, Random: n.random.Int64N,
	}, state)
	is.New(n.t).NoErr(err)
	n.nodes[id] = node
	return node
}

// run advances the time by d in steps of testStep.
func (n *testNetwork) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += testStep {
		var messages []Message
		for id := ReplicaID(1); int(id) <= len(n.nodes); id++ {
			messages = append(messages, n.stepNode(id)...)
		}
		for _, m := range messages {
			if node := n.nodes[m.To]; node != nil && !n.isolated[m.To] && !n.isolated[m.From] {
				node.Step(n.now, m)
			}
		}
	}
}

func (n *testNetwork) stepNode(id ReplicaID) []Message {
	node := n.nodes[id]
	node.Tick(n.now)
	var messages []Message
	for effects := node.Effects(n.now); !effects.Empty(); effects = node.Effects(n.now) {
		node.Persisted(effects)
		for _, entry := range effects.Committed {
			if len(entry.Data) > 0 && entry.Kind == EntryCommand {
				n.applied[id] = append(n.applied[id], string(entry.Data))
			}
			node.Applied(entry.Index)
		}
		messages = append(messages, effects.Messages...)
	}
	return messages
}

// leader returns the leader with the highest term among the connected replicas, or nil.
func (n *testNetwork) leader() *Node {
	var found *Node
	for id, node := range n.nodes {
		if node.Role() == Leader && !n.isolated[id] && (found == nil || node.Term() > found.Term()) {
			found = node
		}
	}
	return found
}

func (n *testNetwork) electLeader() *Node {
	n.t.Helper()
	n.run(4 * testElectionTimeout)
	leader := n.leader()
	is.New(n.t).True(leader != nil)
	return leader
}

func (n *testNetwork) propose(data string) {
	n.t.Helper()
	_, _, err := n.leader().Propose([]byte(data))
	is.New(n.t).NoErr(err)
}
