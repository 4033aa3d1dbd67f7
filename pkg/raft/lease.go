package raft

import "time"

// confirmation tracks how current a follower's applied state is, in readings of the follower's
// own clock.
type confirmation struct {
	// at is the newest SentAt of this replica that a leader with a valid lease has echoed, zero
	// if none.
	at time.Duration
	// commit is the leader's commit index in that message. Once it is applied, the state
	// includes everything that was committed at the time at.
	commit uint64
	// confirmedAt is the newest value of at for which commit was applied; valid if
	// hasConfirmed is set.
	confirmedAt  time.Duration
	hasConfirmed bool
}

func (c *confirmation) observe(m Message) {
	if !m.Confirmed || m.EchoAt <= c.at {
		return
	}
	c.at = m.EchoAt
	c.commit = m.Commit
}

func (c *confirmation) markApplied(applied uint64) {
	if c.at > 0 && applied >= c.commit {
		c.confirmedAt = c.at
		c.hasConfirmed = true
	}
}

// quorumAckedSentAt returns the newest send time on the leader's clock that a quorum of voters has
// acknowledged. The leader itself counts as acknowledging now.
func (n *Node) quorumAckedSentAt(now time.Duration) time.Duration {
	var acked []time.Duration
	for _, id := range n.Membership().Voters() {
		if id == n.config.ID {
			acked = append(acked, now)
			continue
		}
		if p, found := n.progress[id]; found {
			acked = append(acked, p.ackedSentAt)
		} else {
			acked = append(acked, 0)
		}
	}
	return nthHighest(acked, n.Membership().Quorum())
}

func (n *Node) committedInTerm() bool {
	return n.log.commit >= n.termStart
}

// leaseDuration returns how long after an acknowledged send no other leader can be elected, on
// this replica's clock: one election timeout, shortened in case a voter's clock is fast and
// this one slow, each by MaxClockDrift.
func (n *Node) leaseDuration() time.Duration {
	drift := n.config.MaxClockDrift
	return time.Duration(float64(n.config.ElectionTimeout) * (1 - drift) / (1 + drift))
}

// LeaseValid reports whether this replica is a leader with an unexpired lease that has
// committed an entry of its own term. No other leader can have committed anything that this
// replica does not know.
func (n *Node) LeaseValid(now time.Duration) bool {
	if n.role != Leader || !n.committedInTerm() {
		return false
	}
	acked := n.quorumAckedSentAt(now)
	return acked > 0 && now < acked+n.leaseDuration()
}

// ConfirmedAt returns the newest reading of this replica's clock at which its applied state is
// known to include everything committed, and false if there is none yet. For a leader with a
// valid lease that is now; for a follower, the send time of its newest message that such a
// leader echoed.
func (n *Node) ConfirmedAt(now time.Duration) (time.Duration, bool) {
	if n.LeaseValid(now) && n.log.applied >= n.log.commit {
		return now, true
	}
	n.confirmation.markApplied(n.log.applied)
	return n.confirmation.confirmedAt, n.confirmation.hasConfirmed
}

// Alive reports whether the leader received a response from a replica within the election
// timeout. During the first election timeout of its leadership every replica counts as alive.
func (n *Node) Alive(now time.Duration, id ReplicaID) bool {
	return now-n.becameLeaderAt < n.config.ElectionTimeout || n.respondedRecently(now, id)
}

// SinceLastContact returns the time since this leader sent the newest message that a replica
// has acknowledged or, if there is none, since it first sent the replica one. It is zero for
// the leader itself and for a replica to which nothing has been sent.
func (n *Node) SinceLastContact(now time.Duration, id ReplicaID) time.Duration {
	p, found := n.progress[id]
	if id == n.config.ID || !found || p.firstSentAt == 0 {
		return 0
	}
	return now - max(p.ackedSentAt, p.firstSentAt)
}

// LastLeaderContact returns when this replica last received a message from a leader, or now if it
// is the leader; zero if never.
func (n *Node) LastLeaderContact(now time.Duration) time.Duration {
	if n.role == Leader {
		return now
	}
	return n.heardLeaderAt
}

// respondedRecently reports whether a replica has acknowledged a message that this leader sent
// within the last election timeout.
func (n *Node) respondedRecently(now time.Duration, id ReplicaID) bool {
	if id == n.config.ID {
		return true
	}
	p, found := n.progress[id]
	return found && p.ackedSentAt > 0 && now-p.ackedSentAt < n.config.ElectionTimeout
}
