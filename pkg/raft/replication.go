package raft

import "time"

// Step takes in one message from another replica. A message that is not for this
// replica, or that is out of date, is dropped.
func (n *Node) Step(now time.Duration, m Message) {
	if m.To != n.config.ID {
		return
	}
	if m.Term > n.term && !n.adoptTerm(now, m) {
		return
	}
	if m.Term < n.term {
		n.answerOldTerm(now, m)
		return
	}
	n.dispatch(now, m)
}

// adoptTerm follows a higher term, unless the message only asks what would be or
// comes while a leader may hold its lease. It reports whether to go on.
func (n *Node) adoptTerm(now time.Duration, m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if !n.mayVote(now) {
			return false
		}
	}
	n.becomeFollower(now, m.Term, 0)
	return true
}

// answerOldTerm tells a sender of an earlier term that the term is over.
func (n *Node) answerOldTerm(now time.Duration, m Message) {
	switch m.Kind {
	case MessagePreVote:
		n.send(now, Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	case MessageVote:
		n.send(now, Message{Kind: MessageVoteResponse, To: m.From, Reject: true})
	case MessageAppend, MessageSnapshot:
		n.send(now, Message{Kind: MessageAppendResponse, To: m.From, Reject: true, Index: n.log.lastIndex()})
	}
}

func (n *Node) dispatch(now time.Duration, m Message) {
	switch m.Kind {
	case MessagePreVote:
		n.handlePreVote(now, m)
	case MessagePreVoteResponse:
		n.handleVoteResponse(now, m, PreCandidate)
	case MessageVote:
		n.handleVote(now, m)
	case MessageVoteResponse:
		n.handleVoteResponse(now, m, Candidate)
	case MessageAppend:
		n.hearLeader(now, m)
		n.handleAppend(now, m)
	case MessageSnapshot:
		n.hearLeader(now, m)
		n.handleSnapshot(now, m)
	case MessageAppendResponse:
		if n.role == Leader {
			n.handleAppendResponse(now, m)
		}
	}
}

// hearLeader notes a sign of life of the current leader.
func (n *Node) hearLeader(now time.Duration, m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(now, m.Term, m.From)
	}
	n.heardLeaderAt = now
	n.rivalry = rivalry{}
	n.voteBarrier = now + n.config.ElectionTimeout
	n.resetElectionDeadline(now)
}

func (n *Node) handleAppend(now time.Duration, m Message) {
	response := Message{Kind: MessageAppendResponse, To: m.From, EchoAt: m.SentAt}
	if m.Index < n.log.commit {
		// An old message; everything up to commit is known to agree.
		response.Index = n.log.commit
		n.send(now, response)
		return
	}
	term, held := n.log.term(m.Index)
	if !held || term != m.LogTerm {
		response.Reject = true
		response.Index = min(m.Index, n.log.lastIndex()+1) - 1
		n.send(now, response)
		return
	}
	n.mergeEntries(m.Entries)
	response.Index = m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, response.Index))
	if m.EchoSession == n.session {
		n.confirmation.offer(m)
	}
	n.send(now, response)
}

// mergeEntries appends what is new and replaces what conflicts. Entries that agree
// stay, even if more follow: an old message must not shorten the log.
func (n *Node) mergeEntries(entries []Entry) {
	for _, entry := range entries {
		term, held := n.log.term(entry.Index)
		if held && term == entry.Term {
			continue
		}
		if held {
			n.memberships.truncateFrom(entry.Index)
			n.log.truncateFrom(entry.Index)
		}
		if err := n.appendEntry(entry); err != nil {
			// The leader encoded it with the same code; stop taking entries here
			// and let the leader try again.
			return
		}
	}
}

func (n *Node) handleSnapshot(now time.Duration, m Message) {
	response := Message{Kind: MessageAppendResponse, To: m.From, EchoAt: m.SentAt}
	if m.Snapshot == nil || m.Snapshot.Index <= n.log.commit {
		response.Index = n.log.commit
		n.send(now, response)
		return
	}
	n.log.restore(*m.Snapshot)
	n.memberships = membershipHistory{}
	n.memberships.add(m.Snapshot.Index, m.Snapshot.Membership)
	n.snapshotToAdd = m.Snapshot
	response.Index = m.Snapshot.Index
	n.send(now, response)
}

func (n *Node) handleAppendResponse(now time.Duration, m Message) {
	p, found := n.progress[m.From]
	if !found {
		return
	}
	p.ackedAt = max(p.ackedAt, m.EchoAt)
	p.peerClock = m.SentAt
	p.peerSession = m.Session
	if m.Reject {
		p.rejected(m.Index)
		n.sendAppend(now, m.From, p)
		return
	}
	p.accepted(m.Index)
	n.maybeCommit()
	if p.next <= n.log.lastIndex() {
		n.sendAppend(now, m.From, p)
	}
}

func (n *Node) tickLeader(now time.Duration) {
	if now < n.heartbeatDue {
		return
	}
	lastContact := max(n.quorumAckedAt(now), n.becameLeaderAt)
	if now-lastContact > n.config.ElectionTimeout {
		// Check-quorum: a leader that reaches no majority stops being one.
		n.becomeFollower(now, n.term, 0)
		return
	}
	n.heartbeatDue = now + n.config.HeartbeatInterval
	n.ensureProgress()
	n.broadcastAppend(now)
}

func (n *Node) broadcastAppend(now time.Duration) {
	for _, member := range n.Membership().Members {
		if member.ID != n.config.ID {
			n.sendAppend(now, member.ID, n.progress[member.ID])
		}
	}
}

// ensureProgress gives each member a progress and drops those of others.
func (n *Node) ensureProgress() {
	m := n.Membership()
	for _, member := range m.Members {
		if _, found := n.progress[member.ID]; !found && member.ID != n.config.ID {
			n.progress[member.ID] = &progress{next: n.log.lastIndex() + 1}
		}
	}
	for id := range n.progress {
		if _, found := m.Find(id); !found {
			delete(n.progress, id)
		}
	}
}

// sendAppend sends what the replica lacks, or an empty heartbeat.
func (n *Node) sendAppend(now time.Duration, to ReplicaID, p *progress) {
	if p == nil {
		return
	}
	if p.addressedAt == 0 {
		p.addressedAt = now
	}
	prevTerm, held := n.log.term(p.next - 1)
	if !held {
		n.sendSnapshot(now, to, p)
		return
	}
	entries := n.log.slice(p.next, n.config.MaxAppendBytes)
	n.send(now, Message{
		Kind: MessageAppend, To: to,
		Index: p.next - 1, LogTerm: prevTerm,
		Entries: entries, Commit: n.log.commit,
		EchoAt: p.peerClock, EchoSession: p.peerSession, Confirmed: n.LeaseValid(now),
	})
	p.next += uint64(len(entries))
}

func (n *Node) sendSnapshot(now time.Duration, to ReplicaID, p *progress) {
	waiting := p.snapshotIndex != 0 && now-p.snapshotSentAt < n.config.ElectionTimeout
	if waiting {
		return
	}
	snapshot := n.log.snapshot
	p.snapshotIndex = snapshot.Index
	p.snapshotSentAt = now
	n.send(now, Message{Kind: MessageSnapshot, To: to, Snapshot: &snapshot})
}

// maybeCommit advances commit to the highest entry of this term that a majority
// of voters holds durably.
func (n *Node) maybeCommit() {
	var matches []uint64
	for _, id := range n.Membership().Voters() {
		matches = append(matches, n.Match(id))
	}
	index := nthHighest(matches, n.Membership().Quorum())
	term, held := n.log.term(index)
	if index <= n.log.commit || !held || term != n.term {
		return
	}
	n.log.commit = index
	n.unsent = true
}
