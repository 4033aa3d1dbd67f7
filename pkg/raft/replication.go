package raft

import "time"

// Step processes one message from another replica. It ignores a message for a different replica
// and rejects requests of an earlier term.
func (n *Node) Step(now time.Duration, m Message) {
	if m.To != n.config.ID {
		return
	}
	if m.Term > n.term && !n.adoptTerm(now, m) {
		return
	}
	if m.Term < n.term {
		n.rejectStaleTerm(now, m)
		return
	}
	n.dispatch(now, m)
}

// adoptTerm handles a message of a higher term and reports whether to process it further. The
// replica moves to that term, except for pre-votes, which start no term, and for vote requests
// while a leader may still hold its lease, which are dropped.
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

// rejectStaleTerm rejects a request of an earlier term. The response carries the current term.
func (n *Node) rejectStaleTerm(now time.Duration, m Message) {
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
		n.recordLeaderContact(now, m)
		n.handleAppend(now, m)
	case MessageSnapshot:
		n.recordLeaderContact(now, m)
		n.handleSnapshot(now, m)
	case MessageAppendResponse:
		if n.role == Leader {
			n.handleAppendResponse(now, m)
		}
	}
}

// recordLeaderContact follows the sender as the current leader. It postpones votes by an
// election timeout and this replica's next election by one to two.
func (n *Node) recordLeaderContact(now time.Duration, m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(now, m.Term, m.From)
	}
	n.heardLeaderAt = now
	n.deferral = electionDeferral{}
	n.voteAllowedAt = now + n.config.ElectionTimeout
	n.resetElectionDeadline(now)
}

func (n *Node) handleAppend(now time.Duration, m Message) {
	response := Message{Kind: MessageAppendResponse, To: m.From, EchoAt: m.SentAt}
	if m.Index < n.log.commit {
		// A delayed message: the entries up to commit are known to match.
		response.Index = n.log.commit
		n.send(now, response)
		return
	}
	term, found := n.log.term(m.Index)
	if !found || term != m.LogTerm {
		response.Reject = true
		response.Index = min(m.Index, n.log.lastIndex()+1) - 1
		n.send(now, response)
		return
	}
	response.Index = m.Index + uint64(n.mergeEntries(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, response.Index))
	if m.EchoSession == n.session {
		n.confirmation.observe(m)
	}
	n.send(now, response)
}

// mergeEntries appends new entries and replaces conflicting ones. Matching entries stay, even
// if more follow: a delayed message must not shorten the log. It returns how many of the entries the log then holds.
func (n *Node) mergeEntries(entries []Entry) int {
	for i, entry := range entries {
		term, found := n.log.term(entry.Index)
		if found && term == entry.Term {
			continue
		}
		if found {
			n.memberships.truncateFrom(entry.Index)
			n.log.truncateFrom(entry.Index)
		}
		if err := n.appendEntry(entry); err != nil {
			// Not expected, since the leader encodes memberships with the same code.
			return i
		}
	}
	return len(entries)
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
	n.pendingSnapshot = m.Snapshot
	response.Index = m.Snapshot.Index
	n.send(now, response)
}

func (n *Node) handleAppendResponse(now time.Duration, m Message) {
	p, found := n.progress[m.From]
	if !found {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, m.EchoAt)
	p.peerClock = m.SentAt
	p.peerSession = m.Session
	if m.Reject {
		p.decreaseNext(m.Index)
		n.sendAppend(now, m.From, p)
		return
	}
	p.updateMatch(m.Index)
	n.maybeCommit()
	if p.next <= n.log.lastIndex() {
		n.sendAppend(now, m.From, p)
	}
}

func (n *Node) tickLeader(now time.Duration) {
	if now < n.heartbeatDue {
		return
	}
	lastContact := max(n.quorumAckedSentAt(now), n.becameLeaderAt)
	if now-lastContact > n.config.ElectionTimeout {
		// Check-quorum: a leader without contact to a majority steps down.
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

// ensureProgress adds the progress of new members and drops that of removed ones.
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

// sendAppend sends the entries that the replica lacks or, if they are compacted, a snapshot.
// Without new entries the message is a heartbeat.
func (n *Node) sendAppend(now time.Duration, to ReplicaID, p *progress) {
	if p == nil {
		return
	}
	if p.firstSentAt == 0 {
		p.firstSentAt = now
	}
	prevTerm, found := n.log.term(p.next - 1)
	if !found {
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
	inFlight := p.snapshotIndex != 0 && now-p.snapshotSentAt < n.config.ElectionTimeout
	if inFlight {
		return
	}
	snapshot := n.log.snapshot
	p.snapshotIndex = snapshot.Index
	p.snapshotSentAt = now
	n.send(now, Message{Kind: MessageSnapshot, To: to, Snapshot: &snapshot})
}

// maybeCommit advances the commit index to the highest index that a majority of voters holds
// durably, if the entry there is of the current term.
func (n *Node) maybeCommit() {
	var matches []uint64
	for _, id := range n.Membership().Voters() {
		matches = append(matches, n.Match(id))
	}
	index := nthHighest(matches, n.Membership().Quorum())
	term, found := n.log.term(index)
	if index <= n.log.commit || !found || term != n.term {
		return
	}
	n.log.commit = index
	n.broadcastPending = true
}
