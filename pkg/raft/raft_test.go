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
	n.elect()
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

func TestPreVoteKeepsAReturningReplicaFromDisturbing(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	leader := n.elect()
	term := leader.Term()
	away := leader.ID()%3 + 1
	n.cut[away] = true
	n.run(20 * testElection)
	is.Equal(n.nodes[away].Term(), term) // it asked, but opened no term
	delete(n.cut, away)
	n.run(3 * testElection)
	is.Equal(n.leader().ID(), leader.ID())
	is.Equal(n.leader().Term(), term)
}

func TestCutLeaderLosesItsLeaseBeforeAnotherLeads(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	old := n.elect()
	is.True(old.LeaseValid(n.now))
	n.cut[old.ID()] = true
	for range 400 {
		n.run(testStep)
		other := n.leader()
		if other != nil && other.ID() != old.ID() {
			is.True(!old.LeaseValid(n.now)) // no two at the same moment
		}
	}
	is.True(n.leader() != nil && n.leader().ID() != old.ID())
	is.True(old.Role() != Leader) // check-quorum made it step down
}

func TestLogOfACutLeaderIsRepaired(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	old := n.elect()
	n.propose("kept")
	n.run(time.Second)
	n.cut[old.ID()] = true
	_, _, err := old.Propose([]byte("lost"))
	is.NoErr(err)
	n.run(5 * testElection)
	n.propose("later")
	n.run(time.Second)
	delete(n.cut, old.ID())
	n.run(3 * testElection)
	for id := range n.nodes {
		is.Equal(n.applied[id], []string{"kept", "later"})
	}
}

func TestLearnerCatchesUpBySnapshotAndDoesNotVote(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	leader := n.elect()
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
	is.Equal(leader.Membership().Quorum(), 2) // a learner counts for nothing
	is.NoErr(leader.ProposeMembership(leader.Membership().WithPromoted(4)))
	n.run(time.Second)
	is.Equal(leader.Membership().Quorum(), 3)
	is.Equal(leader.DurableCopies(n.now), 4)
}

func TestMembershipChangesOneVoterAtATime(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	leader := n.elect()
	two := leader.Membership().Without(1).Without(2)
	is.True(errors.Is(leader.ProposeMembership(two), ErrMembershipStep))
	is.NoErr(leader.ProposeMembership(leader.Membership().WithLearner(Member{ID: 9})))
	is.True(errors.Is(leader.ProposeMembership(leader.Membership()), ErrMembershipPending))
}

func TestDurableCopiesCountOnlyReplicasThatAnswer(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	leader := n.elect()
	n.propose("a")
	n.run(time.Second)
	is.Equal(leader.DurableCopies(n.now), 3)
	n.cut[leader.ID()%3+1] = true
	n.run(2 * testElection)
	is.Equal(leader.DurableCopies(n.now), 2) // what a lost disk once held counts no more
}

func TestAVoteOutlivesARestart(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	n.run(2 * testElection)
	voter := n.start(1, State{HardState: HardState{Term: 9, Vote: 2}, Snapshot: n.nodes[1].log.snapshot})
	n.now += 10 * testElection
	voter.Step(n.now, Message{Kind: MessageVote, From: 3, To: 1, Term: 9, Index: 100, LogTerm: 9})
	answer := voter.Effects(n.now).Messages
	is.Equal(len(answer), 1)
	is.True(answer[0].Reject) // one vote a term, also over a restart
}

func TestARestartedReplicaVotesForNobodyAtFirst(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 3)
	fresh := n.start(1, State{Snapshot: n.nodes[1].log.snapshot})
	fresh.Step(n.now+testElection/2, Message{Kind: MessageVote, From: 3, To: 1, Term: 5, Index: 100, LogTerm: 5})
	for _, m := range fresh.Effects(n.now + testElection/2).Messages {
		is.True(m.Reject) // a leader may still hold a lease on its earlier word
	}
	is.Equal(fresh.Term(), uint64(0))
}

// What counts is how long the process has spoken to nobody, not when its state was read.
func TestVoteBarrierCountsFromTheProcessesStart(t *testing.T) {
	is := is.New(t)
	asked := Message{Kind: MessageVote, From: 3, To: 1, Term: 5, Index: 100, LogTerm: 5}
	for uptime, votesAt := range map[time.Duration]time.Duration{0: testElection, testElection / 2: testElection / 2, 3 * testElection: 0} {
		n := newTestNetwork(t, 3)
		config := n.nodes[1].config
		config.Uptime = uptime
		for _, early := range []time.Duration{testStep, 0} {
			fresh, err := New(0, config, State{Snapshot: n.nodes[1].log.snapshot})
			is.NoErr(err)
			if votesAt < early {
				continue
			}
			fresh.Step(votesAt-early, asked)
			answers := fresh.Effects(votesAt - early).Messages
			granted := len(answers) == 1 && !answers[0].Reject
			is.Equal(granted, early == 0)
		}
	}
}

func TestCompactKeepsTheTailAndRefusesTheFuture(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t, 1)
	leader := n.elect()
	for i := range 10 {
		n.propose(fmt.Sprint(i))
	}
	n.run(time.Second)
	is.True(leader.Compact(Snapshot{Index: leader.Commit() + 1}) != nil)
	snapshot, err := leader.SnapshotAt(leader.Commit(), nil)
	is.NoErr(err)
	is.NoErr(leader.Compact(snapshot))
	_, _, kept := leader.Retained()
	is.Equal(len(kept), 0) // a new durable log needs only what follows the snapshot
	is.True(leader.Compact(snapshot) != nil)
}

// Replicas that come back one after the other must not wait out whole election timeouts: one
// that asked for votes before anybody could give them asks again soon.
func TestPreCandidateAsksAgainSoon(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		n := newTestNetwork(t, 3)
		n.random = rand.New(rand.NewPCG(seed, 1))
		for id, node := range n.nodes {
			n.start(id, State{Snapshot: node.log.snapshot})
		}
		n.cut = map[ReplicaID]bool{1: true, 2: true, 3: true}
		n.run(2*testElection + testHeartbeat) // all have asked, and nobody heard them
		n.cut = nil
		n.run(3 * testHeartbeat)
		is.True(n.leader() != nil)
	}
}

// When all replicas return at once there is no leader to disturb, and everybody waits for one.
func TestReplicasThatReturnTogetherElectSoon(t *testing.T) {
	is := is.New(t)
	late := 0
	const rounds = 50
	for seed := range uint64(rounds) {
		n := newTestNetwork(t, 3)
		n.random = rand.New(rand.NewPCG(seed, 2))
		for id, node := range n.nodes {
			n.start(id, State{Snapshot: node.log.snapshot})
		}
		n.run(testElection + testHeartbeat*3/2)
		if n.leader() == nil {
			late++
		}
	}
	is.True(late <= rounds/5) // votes may be split
}
