package raft

import "time"

func (n *Node) resetElectionDeadline(now time.Duration) {
	jitter := time.Duration(n.config.Random(int64(n.config.ElectionTimeout)))
	n.electionDeadline = now + n.config.ElectionTimeout + jitter
}

func (n *Node) becomeFollower(now time.Duration, term uint64, leader ReplicaID) {
	if term > n.term {
		n.term = term
		n.vote = 0
	}
	if n.role == Leader {
		// A leader does not update its election deadline, so it may have passed.
		n.resetElectionDeadline(now)
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
}

// startPreVote asks the other voters whether this replica could win an election. It changes no
// durable state, so a replica that returns from a partition does not depose a working leader.
// It retries after one to two heartbeat intervals, since the other voters may still be starting
// or not yet be allowed to vote.
func (n *Node) startPreVote(now time.Duration) {
	n.electionDeadline = now + n.config.HeartbeatInterval + n.heartbeatJitter()
	n.role = PreCandidate
	n.leader = 0
	n.votes = map[ReplicaID]bool{n.config.ID: true}
	n.requestVotes(now, MessagePreVote, n.term+1)
	n.countVotes(now)
}

func (n *Node) startElection(now time.Duration) {
	n.resetElectionDeadline(now)
	n.role = Candidate
	n.term++
	n.vote = n.config.ID
	n.votes = map[ReplicaID]bool{n.config.ID: true}
	n.requestVotes(now, MessageVote, n.term)
	n.countVotes(now)
}

func (n *Node) requestVotes(now time.Duration, kind MessageKind, term uint64) {
	for _, id := range n.Membership().Voters() {
		if id == n.config.ID {
			continue
		}
		n.send(now, Message{
			Kind: kind, To: id, Term: term,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) countVotes(now time.Duration) {
	granted := 0
	for _, id := range n.Membership().Voters() {
		if n.votes[id] {
			granted++
		}
	}
	if granted < n.Membership().Quorum() {
		return
	}
	switch {
	case n.role == PreCandidate && n.shouldDefer(now):
		n.deferElection(now)
		return
	case n.role == PreCandidate:
		n.startElection(now)
		return
	}
	n.becomeLeader(now)
}

func (n *Node) becomeLeader(now time.Duration) {
	n.role = Leader
	n.leader = n.config.ID
	n.votes = nil
	n.becameLeaderAt = now
	n.heartbeatDue = now
	n.progress = map[ReplicaID]*progress{}
	n.ensureProgress()
	// Committing this empty entry of the new term also commits all entries before it.
	n.termStart = n.log.lastIndex() + 1
	n.log.append(Entry{Term: n.term, Index: n.termStart, Kind: EntryCommand})
	n.broadcastPending = true
}

// mayVote reports whether this replica may grant votes: no leader can still hold a lease that
// relies on its acknowledgements.
func (n *Node) mayVote(now time.Duration) bool {
	return n.role != Leader && now >= n.voteAllowedAt
}

func (n *Node) handlePreVote(now time.Duration, m Message) {
	n.recordPreVoteRequest(now, m)
	if !n.mayVote(now) {
		return
	}
	granted := m.Term > n.term && n.log.isOtherUpToDate(m.Index, m.LogTerm)
	response := Message{Kind: MessagePreVoteResponse, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		response.Term = n.term
	}
	n.send(now, response)
}

func (n *Node) handleVote(now time.Duration, m Message) {
	voteAvailable := n.vote == 0 || n.vote == m.From
	granted := voteAvailable && n.mayVote(now) && n.log.isOtherUpToDate(m.Index, m.LogTerm)
	if granted {
		n.vote = m.From
		n.resetElectionDeadline(now)
	}
	n.send(now, Message{Kind: MessageVoteResponse, To: m.From, Reject: !granted})
}

func (n *Node) handleVoteResponse(now time.Duration, m Message, role Role) {
	if n.role != role {
		return
	}
	if role == PreCandidate && m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes(now)
}
