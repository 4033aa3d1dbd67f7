package raft

import "time"

// rivalry lets one of several replicas that would all be elected stand alone. In a large cluster
// that returns at once, many ask for pre-votes, and the last one of a majority to start grants
// all of them in the same moment. If all stood, each would get some votes and none a majority,
// and an election timeout would pass without a leader.
type rivalry struct {
	// until is until when another replica that goes first counts as asking for pre-votes.
	until time.Duration
	// yielded is set once this replica has let another go first. It does so once only until it
	// hears from a leader: the other may ask and never be heard of again.
	yielded bool
}

// noteRival takes in a request for a pre-vote by a replica that goes first: its log is as good
// as this one's, and better or its ID lower.
func (n *Node) noteRival(now time.Duration, m Message) {
	if m.Term <= n.term || !n.log.upToDate(m.Index, m.LogTerm) {
		return
	}
	same := m.Index == n.log.lastIndex() && m.LogTerm == n.log.lastTerm()
	if same && m.From > n.config.ID {
		return
	}
	// It asks again within two intervals if it still wants to be elected.
	n.rivalry.until = now + 2*n.config.HeartbeatInterval
}

// yields reports whether to let another replica stand first.
func (n *Node) yields(now time.Duration) bool {
	return now < n.rivalry.until && !n.rivalry.yielded
}

// yield goes back to waiting, for about as long as it takes the other to be elected.
func (n *Node) yield(now time.Duration) {
	n.rivalry.yielded = true
	n.becomeFollower(now, n.term, 0)
	n.electionDeadline = now + n.config.HeartbeatInterval + n.heartbeatJitter()
}

func (n *Node) heartbeatJitter() time.Duration {
	return time.Duration(n.config.Random(int64(n.config.HeartbeatInterval)))
}
