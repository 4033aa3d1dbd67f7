package raft

import "time"

// electionDeferral orders the elections of replicas that win their pre-votes at the same time.
// In a large cluster that starts at once, many replicas can win in the same moment. If all of
// them started an election, the votes would be split and an election timeout would pass without
// a leader.
type electionDeferral struct {
	// preferredUntil is the time until which another, preferred replica is assumed to be asking
	// for pre-votes.
	preferredUntil time.Duration
	// deferred is set once this replica has deferred to another one. It does so only once until
	// it has contact with a leader, since the other replica may have crashed.
	deferred bool
}

// recordPreVoteRequest records a pre-vote request of a preferred replica: one whose log is more
// up to date, or equal and its ID lower.
func (n *Node) recordPreVoteRequest(now time.Duration, m Message) {
	if m.Term <= n.term || !n.log.isOtherUpToDate(m.Index, m.LogTerm) {
		return
	}
	same := m.Index == n.log.lastIndex() && m.LogTerm == n.log.lastTerm()
	if same && m.From > n.config.ID {
		return
	}
	// A replica that still wants to be elected repeats its request within two heartbeat
	// intervals.
	n.deferral.preferredUntil = now + 2*n.config.HeartbeatInterval
}

// shouldDefer reports whether to let a preferred replica start its election first.
func (n *Node) shouldDefer(now time.Duration) bool {
	return now < n.deferral.preferredUntil && !n.deferral.deferred
}

// deferElection makes this replica a follower for about as long as the other one needs to be
// elected.
func (n *Node) deferElection(now time.Duration) {
	n.deferral.deferred = true
	n.becomeFollower(now, n.term, 0)
	n.electionDeadline = now + n.config.HeartbeatInterval + n.heartbeatJitter()
}

func (n *Node) heartbeatJitter() time.Duration {
	return time.Duration(n.config.Random(int64(n.config.HeartbeatInterval)))
}
