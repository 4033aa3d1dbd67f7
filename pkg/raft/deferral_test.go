package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// largeClusterSize corresponds to three replicas in each of six zones.
const largeClusterSize = 18

// startingCluster is a cluster whose replicas start at different times. On its start a replica
// receives the messages sent to it before.
type startingCluster struct {
	*testNetwork
	deliveryOrder *rand.Rand
	// unreachable is a replica that receives no messages; zero for none.
	unreachable ReplicaID
	startAt     map[ReplicaID]time.Duration
	// undelivered holds the newest message of each sender to a replica that has not started.
	undelivered map[ReplicaID]map[ReplicaID]Message
}

func newStartingCluster(t *testing.T, size int, spread time.Duration, seed uint64) *startingCluster {
	t.Helper()
	r := &startingCluster{testNetwork: newTestNetwork(t, size), startAt: map[ReplicaID]time.Duration{}, undelivered: map[ReplicaID]map[ReplicaID]Message{}}
	r.random = rand.New(rand.NewPCG(seed, seed))
	r.deliveryOrder = rand.New(rand.NewPCG(seed, seed+1))
	for id := range r.nodes {
		r.startAt[id] = time.Duration(r.random.Int64N(int64(spread)))
		r.undelivered[id] = map[ReplicaID]Message{}
	}
	return r
}

// step advances the time by one step. Messages arrive one step after they are sent.
func (r *startingCluster) step(state State) {
	var messages []Message
	for id := ReplicaID(1); int(id) <= len(r.nodes); id++ {
		if at, pending := r.startAt[id]; pending && r.now >= at {
			r.startReplica(id, state)
		}
		if _, pending := r.startAt[id]; !pending {
			messages = append(messages, r.stepNode(id)...)
		}
	}
	// Each replica receives the messages in a different order.
	for _, i := range r.deliveryOrder.Perm(len(messages)) {
		m := messages[i]
		if m.To == r.unreachable {
			continue
		}
		if _, pending := r.startAt[m.To]; pending {
			r.undelivered[m.To][m.From] = m
			continue
		}
		r.nodes[m.To].Step(r.now, m)
	}
	r.now += testStep
}

func (r *startingCluster) startReplica(id ReplicaID, state State) {
	delete(r.startAt, id)
	// The process has been running for an election timeout, so the replica may vote at once.
	node, err := New(r.now, Config{
		ID: id, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, MaxClockDrift: testMaxClockDrift,
		MaxAppendBytes: 1 << 16, KeepEntries: 4, Random: r.random.Int64N, Uptime: testElectionTimeout,
	}, state)
	is.New(r.t).NoErr(err)
	r.nodes[id] = node
	for from := ReplicaID(1); int(from) <= len(r.nodes); from++ {
		if m, found := r.undelivered[id][from]; found {
			node.Step(r.now, m)
		}
	}
}

// timeToLeader returns the time until a started replica leads, or ten election timeouts if none
// does.
func timeToLeader(t *testing.T, size int, spread time.Duration, seed uint64) time.Duration {
	t.Helper()
	r := newStartingCluster(t, size, spread, seed)
	state := State{Snapshot: Snapshot{Index: 1, Membership: r.nodes[1].Membership()}}
	for r.now < 10*testElectionTimeout {
		r.step(state)
		if leader := r.leader(); leader != nil && r.startAt[leader.ID()] == 0 {
			break
		}
	}
	return r.now
}

// When all replicas of a large cluster start at once, several win their pre-votes in the same
// moment. They must not all start elections and split the votes.
func TestLargeClusterStartDoesNotSplitVotes(t *testing.T) {
	const seeds, spread = 60, 300 * time.Millisecond
	slow := 0
	for seed := range uint64(seeds) {
		if timeToLeader(t, largeClusterSize, spread, seed+1) > spread+2*testHeartbeatInterval {
			slow++
		}
	}
	if slow > 0 {
		t.Errorf("%d of %d cluster starts took longer than %s", slow, seeds, spread+2*testHeartbeatInterval)
	}
}

// A preferred replica that receives no messages must not delay the election of others forever.
func TestReplicaDefersOnlyOnceToUnreachableReplica(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		r := newStartingCluster(t, largeClusterSize, 300*time.Millisecond, seed+1)
		r.unreachable = 1
		state := State{Snapshot: Snapshot{Index: 1, Membership: r.nodes[1].Membership()}}
		for r.leader() == nil && r.now < 3*testElectionTimeout {
			r.step(state)
		}
		is.True(r.leader() != nil && r.leader().ID() != r.unreachable)
	}
}
