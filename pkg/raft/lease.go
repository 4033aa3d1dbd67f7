package raft

import "time"

// confirmation dates, on a follower's own clock, how current it is.
type confirmation struct {
	// at is the newest own clock reading that a leader with a valid lease echoed;
	// the state is at least that new once commit is applied.
	at     time.Duration
	commit uint64
	// settledAt is the newest reading whose commit has been applied.
	settledAt time.Duration
	settled   bool
}

func (c *confirmation) offer(m Message) {
	if !m.Confirmed || m.EchoAt <= c.at {
		return
	}
	c.at = m.EchoAt
	c.commit = m.Commit
}

func (c *confirmation) settle(applied uint64) {
	if c.at > 0 && applied >= c.commit {
		c.settledAt = c.at
		c.settled = true
	}
}

// quorumAckedAt returns the newest clock reading by which a majority of voters is
// known to have recognised this leader.
func (n *Node) quorumAckedAt(now time.Duration) time.Duration {
	var acked []time.Duration
	for _, id := range n.Membership().Voters() {
		if id == n.config.ID {
			acked = append(acked, now)
			continue
		}
		if p, found := n.progress[id]; found {
			acked = append(acked, p.ackedAt)
		} else {
			acked = append(acked, 0)
		}
	}
	return nthHighest(acked, n.Membership().Quorum())
}

func (n *Node) committedInTerm() bool {
	return n.log.commit >= n.termStart
}

// leaseDuration is how long after a confirmed heartbeat no other leader can arise,
// measured on this replica's clock. A voter's clock may run fast and this one
// slow, each by MaxClockDrift.
func (n *Node) leaseDuration() time.Duration {
	drift := n.config.MaxClockDrift
	return time.Duration(float64(n.config.ElectionTimeout) * (1 - drift) / (1 + drift))
}

// LeaseValid reports whether this replica is a leader that no other can have
// replaced yet and that knows everything committed before its term.
func (n *Node) LeaseValid(now time.Duration) bool {
	if n.role != Leader || !n.committedInTerm() {
		return false
	}
	acked := n.quorumAckedAt(now)
	return acked > 0 && now < acked+n.leaseDuration()
}

// ConfirmedAt returns the newest reading of this replica's clock for which its
// applied state is known to include everything committed by then, and false when
// there is none yet. On a leader whose lease holds that is now, since nobody else
// can have committed anything; on a follower, the time of its own last word that
// such a leader echoed.
func (n *Node) ConfirmedAt(now time.Duration) (time.Duration, bool) {
	if n.LeaseValid(now) && n.log.applied >= n.log.commit {
		return now, true
	}
	n.confirmation.settle(n.log.applied)
	return n.confirmation.settledAt, n.confirmation.settled
}

// Alive reports whether the leader heard from a replica within the election timeout.
// A new leader gives every replica that long to speak first.
func (n *Node) Alive(now time.Duration, id ReplicaID) bool {
	return now-n.becameLeaderAt < n.config.ElectionTimeout || n.answersNow(now, id)
}

// SilentFor returns how long this leader has not heard from a replica, counted from when
// it first addressed it at the earliest.
func (n *Node) SilentFor(now time.Duration, id ReplicaID) time.Duration {
	p, found := n.progress[id]
	if id == n.config.ID || !found || p.addressedAt == 0 {
		return 0
	}
	return now - max(p.ackedAt, p.addressedAt)
}

// HeardLeaderAt returns when this replica last heard from a leader, or was one itself;
// zero for never.
func (n *Node) HeardLeaderAt(now time.Duration) time.Duration {
	if n.role == Leader {
		return now
	}
	return n.heardLeaderAt
}

// answersNow reports whether a replica has answered this leader within the election
// timeout.
func (n *Node) answersNow(now time.Duration, id ReplicaID) bool {
	if id == n.config.ID {
		return true
	}
	p, found := n.progress[id]
	return found && p.ackedAt > 0 && now-p.ackedAt < n.config.ElectionTimeout
}
