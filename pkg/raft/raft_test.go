package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCommittedEntriesReachEveryReplica(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	n.electLeader()
	n.propose("a")
	n.propose("b")
	n.run(time.Second)
	for id := range n.nodes {
		is.Equal(n.applied[id], []string{"a", "b"})
	}
	follower := n.nodes[n.leader().ID()%3+1]
	_, _, err := follower.Propose([]byte("x"))
	is.True(errors.Is(err, ErrNotLeader))
}

func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	leader := n.electLeader()
	term := leader.Term()
	follower := leader.ID()%3 + 1
	n.isolated[follower] = true
	n.run(20 * testElectionTimeout)
	is.Equal(n.nodes[follower].Term(), term) // pre-votes start no term
	delete(n.isolated, follower)
	n.run(3 * testElectionTimeout)
	is.Equal(n.leader().ID(), leader.ID())
	is.Equal(n.leader().Term(), term)
}

func TestIsolatedLeaderLosesLeaseBeforeNextLeader(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	oldLeader := n.electLeader()
	is.True(oldLeader.LeaseValid(n.now))
	n.isolated[oldLeader.ID()] = true
	for range 400 {
		n.run(testStep)
		other := n.leader()
		if other != nil && other.ID() != oldLeader.ID() {
			is.True(!oldLeader.LeaseValid(n.now)) // leases do not overlap
		}
	}
	is.True(n.leader() != nil && n.leader().ID() != oldLeader.ID())
	is.True(oldLeader.Role() != Leader) // check-quorum made the old leader step down
}

func TestUncommittedEntriesOfIsolatedLeaderAreReplaced(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	oldLeader := n.electLeader()
	n.propose("kept")
	n.run(time.Second)
	n.isolated[oldLeader.ID()] = true
	_, _, err := oldLeader.Propose([]byte("lost"))
	is.NoErr(err)
	n.run(5 * testElectionTimeout)
	n.propose("later")
	n.run(time.Second)
	delete(n.isolated, oldLeader.ID())
	n.run(3 * testElectionTimeout)
	for id := range n.nodes {
		is.Equal(n.applied[id], []string{"kept", "later"})
	}
}

func TestLearnerCatchesUpFromSnapshotAndDoesNotVote(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	leader := n.electLeader()
	for i := range 20 {
		n.propose(fmt.Sprint(i))
	}
	n.run(time.Second)
	snapshot, err := leader.SnapshotAt(leader.Commit(), []byte("state"))
	is.NoErr(err)
	is.NoErr(leader.Compact(snapshot))
	n.start(4, State{})
	is.NoErr(leader.ProposeMembership(leader.Membership().WithLearner(Member{ID: 4})))
	n.run(2 * time.Second)
	is.Equal(leader.Match(4), leader.LastIndex())
	is.True(!leader.Membership().IsVoter(4))
	is.Equal(leader.Membership().Quorum(), 2) // a learner does not count
	is.NoErr(leader.ProposeMembership(leader.Membership().WithPromoted(4)))
	n.run(time.Second)
	is.Equal(leader.Membership().Quorum(), 3)
	is.Equal(leader.DurableCopies(n.now), 4)
}

func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	leader := n.electLeader()
	two := leader.Membership().Without(1).Without(2)
	is.True(errors.Is(leader.ProposeMembership(two), ErrMultipleVoterChanges))
	is.NoErr(leader.ProposeMembership(leader.Membership().WithLearner(Member{ID: 9})))
	is.True(errors.Is(leader.ProposeMembership(leader.Membership()), ErrMembershipPending))
}

func TestDurableCopiesCountOnlyResponsiveReplicas(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	leader := n.electLeader()
	n.propose("a")
	n.run(time.Second)
	is.Equal(leader.DurableCopies(n.now), 3)
	n.isolated[leader.ID()%3+1] = true
	n.run(2 * testElectionTimeout)
	is.Equal(leader.DurableCopies(n.now), 2) // an unresponsive replica may have lost its disk
}

func TestVoteSurvivesRestart(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	n.run(2 * testElectionTimeout)
	voter := n.start(1, State{HardState: HardState{Term: 9, Vote: 2}, Snapshot: n.nodes[1].log.snapshot})
	n.now += 10 * testElectionTimeout
	voter.Step(n.now, Message{Kind: MessageVote, From: 3, To: 1, Term: 9, Index: 100, LogTerm: 9})
	responses := voter.Effects(n.now).Messages
	is.Equal(len(responses), 1)
	is.True(responses[0].Reject) // one vote per term, also across a restart
}

func TestRestartedReplicaDelaysVoting(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	restarted := n.start(1, State{Snapshot: n.nodes[1].log.snapshot})
	restarted.Step(n.now+testElectionTimeout/2, Message{Kind: MessageVote, From: 3, To: 1, Term: 5, Index: 100, LogTerm: 5})
	for _, m := range restarted.Effects(n.now + testElectionTimeout/2).Messages {
		is.True(m.Reject) // a leader may still hold a lease
	}
	is.Equal(restarted.Term(), uint64(0))
}

// The time since the process started counts toward the voting delay: the process has
// acknowledged no leader in that time.
func TestVotingDelayCountsFromProcessStart(t *testing.T) {
	is := is.New(t)
	request := Message{Kind: MessageVote, From: 3, To: 1, Term: 5, Index: 100, LogTerm: 5}
	for uptime, voteAllowedAt := range map[time.Duration]time.Duration{0: testElectionTimeout, testElectionTimeout / 2: testElectionTimeout / 2, 3 * testElectionTimeout: 0} {
		n := newTestNetwork(t, 3)
		config := n.nodes[1].config
		config.Uptime = uptime
		for _, before := range []time.Duration{testStep, 0} {
			restarted, err := New(0, config, State{Snapshot: n.nodes[1].log.snapshot})
			is.NoErr(err)
			if voteAllowedAt < before {
				continue
			}
			restarted.Step(voteAllowedAt-before, request)
			responses := restarted.Effects(voteAllowedAt - before).Messages
			granted := len(responses) == 1 && !responses[0].Reject
			is.Equal(granted, before == 0)
		}
	}
}

func TestCompactAcceptsOnlyNewerAppliedSnapshot(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 1)
	leader := n.electLeader()
	for i := range 10 {
		n.propose(fmt.Sprint(i))
	}
	n.run(time.Second)
	is.True(leader.Compact(Snapshot{Index: leader.Commit() + 1}) != nil)
	snapshot, err := leader.SnapshotAt(leader.Commit(), nil)
	is.NoErr(err)
	is.NoErr(leader.Compact(snapshot))
	_, _, entries := leader.Retained()
	is.Equal(len(entries), 0) // a new log file contains only entries after the snapshot
	is.True(leader.Compact(snapshot) != nil)
}

// A pre-candidate whose first requests were not received must retry within a few heartbeats,
// not after an election timeout.
func TestPreCandidateRetriesWithinHeartbeats(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		n := newTestNetwork(t, 3)
		n.random = rand.New(rand.NewPCG(seed, 1))
		for id, node := range n.nodes {
			n.start(id, State{Snapshot: node.log.snapshot})
		}
		n.isolated = map[ReplicaID]bool{1: true, 2: true, 3: true}
		n.run(2*testElectionTimeout + testHeartbeatInterval) // every replica has sent pre-votes that nobody received
		n.isolated = nil
		n.run(3 * testHeartbeatInterval)
		is.True(n.leader() != nil)
	}
}

// Replicas that start together without a leader must not wait for election timeouts.
func TestReplicasStartedTogetherElectLeaderQuickly(t *testing.T) {
	is := is.New(t)
	slow := 0
	const rounds = 50
	for seed := range uint64(rounds) {
		n := newTestNetwork(t, 3)
		n.random = rand.New(rand.NewPCG(seed, 2))
		for id, node := range n.nodes {
			n.start(id, State{Snapshot: node.log.snapshot})
		}
		n.run(testElectionTimeout + testHeartbeatInterval*3/2)
		if n.leader() == nil {
			slow++
		}
	}
	is.True(slow <= rounds/5) // some elections end in a split vote
}

// Guards against a follower that acknowledges entries which its log does not hold.
func TestFollowerAcknowledgesOnlyEntriesThatItHolds(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	first := n.nodes[1].log.snapshot
	follower := n.start(1, State{Snapshot: first})
	term := first.Term + 1
	follower.Step(n.now, Message{
		Kind: MessageAppend, From: 2, To: 1, Term: term, Index: first.Index, LogTerm: first.Term, Commit: first.Index + 3,
		Entries: []Entry{
			{Term: term, Index: first.Index + 1, Data: []byte("held")},
			{Term: term, Index: first.Index + 2, Kind: EntryMembership, Data: []byte("no membership")},
			{Term: term, Index: first.Index + 3, Data: []byte("after it")},
		},
	})
	is.Equal(follower.log.lastIndex(), first.Index+1)
	responses := follower.Effects(n.now).Messages
	is.Equal(len(responses), 1)
	is.Equal(responses[0].Index, first.Index+1)
	is.Equal(follower.Commit(), first.Index+1)
}
