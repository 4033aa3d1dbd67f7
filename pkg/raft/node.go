package raft

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Errors of Propose and ProposeMembership.
var (
	// ErrNotLeader means that this replica is not the leader, which alone accepts proposals.
	ErrNotLeader = errors.New("raft: this replica is not the leader")
	// ErrMembershipPending means that an earlier membership change is not committed yet.
	ErrMembershipPending = errors.New("raft: a membership change is already in progress")
	// ErrTermNotCommitted means that the leader has not committed an entry of its term yet.
	ErrTermNotCommitted = errors.New("raft: the leader has not committed an entry of its term yet")
	// ErrMultipleVoterChanges means that more than one voter would be added or removed at once,
	// or that no voter would remain.
	ErrMultipleVoterChanges = errors.New("raft: a membership change may add or remove at most one voter")
)

// Config holds the parameters of a Node.
type Config struct {
	ID ReplicaID
	// ElectionTimeout is the minimum time without contact to a leader before a follower starts
	// an election. The actual timeout is random, between this value and twice this value.
	ElectionTimeout time.Duration
	// Uptime is how long the process had been running when New was called. It counts toward the
	// delay before the first vote, since the process has acknowledged no leader in that time.
	Uptime time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader; well below
	// ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxClockDrift is the largest relative error of any replica's clock rate.
	MaxClockDrift float64
	// MaxAppendBytes limits the entry data in one message, except that one entry is always
	// sent.
	MaxAppendBytes int
	// KeepEntries is the number of entries before a snapshot that are kept for slow followers.
	KeepEntries uint64
	// Random returns a random number in [0, n).
	Random func(n int64) int64
}

// State is the durable state from which a replica starts.
type State struct {
	HardState HardState
	// Snapshot provides the membership at its index. It is empty for a replica that is joining
	// the cluster.
	Snapshot Snapshot
	Entries  []Entry
}

// Node is the consensus state machine of one replica. It is not safe for concurrent use.
type Node struct {
	config Config

	term   uint64
	vote   ReplicaID
	role   Role
	leader ReplicaID

	log         entryLog
	memberships membershipHistory

	votes    map[ReplicaID]bool
	progress map[ReplicaID]*progress

	electionDeadline time.Duration
	heartbeatDue     time.Duration
	becameLeaderAt   time.Duration
	// termStart is the index of the first entry of the leader's own term.
	termStart uint64

	deferral electionDeferral
	// voteAllowedAt is the earliest time at which this replica grants votes: one election
	// timeout after its last contact with a leader, or after the start of the process.
	voteAllowedAt time.Duration

	heardLeaderAt time.Duration

	// session identifies this process run's clock readings; see Message.Session.
	session      uint64
	confirmation confirmation

	messages         []Message
	pendingSnapshot  *Snapshot
	lastHardState    HardState
	broadcastPending bool
}

// firstElectionSpread is the number of heartbeat intervals over which replicas that start
// together spread their first pre-votes. The range is short, since a pre-vote does not disturb
// a working leader.
const firstElectionSpread = 2

// New creates the Node of a replica from its durable state. It fails if the ID is zero, an
// entry is missing, or a membership entry cannot be decoded.
func New(now time.Duration, config Config, state State) (*Node, error) {
	if config.ID == 0 {
		return nil, errors.New("raft: replica ID must not be zero")
	}
	n := &Node{config: config, session: uint64(config.Random(math.MaxInt64))}
	n.log.restore(state.Snapshot)
	n.memberships.add(state.Snapshot.Index, state.Snapshot.Membership)
	for _, entry := range state.Entries {
		if entry.Index <= state.Snapshot.Index {
			continue
		}
		if entry.Index != n.log.lastIndex()+1 {
			return nil, fmt.Errorf("raft: start: entry %d follows entry %d", entry.Index, n.log.lastIndex())
		}
		if err := n.appendEntry(entry); err != nil {
			return nil, fmt.Errorf("raft: start: %w", err)
		}
	}
	n.log.persisted = n.log.lastIndex()
	n.term = state.HardState.Term
	n.vote = state.HardState.Vote
	n.log.commit = max(n.log.commit, min(state.HardState.Commit, n.log.lastIndex()))
	n.lastHardState = n.hardState()
	// A restarted replica may have acknowledged a leader just before the restart.
	elapsed := min(config.Uptime, config.ElectionTimeout)
	n.voteAllowedAt = now + config.ElectionTimeout - elapsed
	n.electionDeadline = n.voteAllowedAt + time.Duration(config.Random(int64(firstElectionSpread*config.HeartbeatInterval)))
	return n, nil
}

// ID returns the replica's ID.
func (n *Node) ID() ReplicaID { return n.config.ID }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Role returns the replica's role in the current term.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term, or zero if it is not known.
func (n *Node) Leader() ReplicaID { return n.leader }

// Commit returns the highest index known to be committed.
func (n *Node) Commit() uint64 { return n.log.commit }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// Membership returns the current membership: the newest one in the log, committed or not.
func (n *Node) Membership() Membership { return n.memberships.current().membership }

// MembershipCommitted reports whether the current membership is committed.
func (n *Node) MembershipCommitted() bool {
	return n.memberships.current().index <= n.log.commit
}

// Match returns the highest log index known to be durable on a replica. Only the leader knows
// it for other replicas; elsewhere it is zero.
func (n *Node) Match(id ReplicaID) uint64 {
	if id == n.config.ID {
		return n.log.persisted
	}
	if p, found := n.progress[id]; found && n.role == Leader {
		return p.match
	}
	return 0
}

// DurableCopies returns the number of voters known to hold all committed entries durably. A
// voter without a recent response does not count, since its disk may be lost.
func (n *Node) DurableCopies(now time.Duration) int {
	copies := 0
	for _, id := range n.Membership().Voters() {
		if n.respondedRecently(now, id) && n.Match(id) >= n.log.commit {
			copies++
		}
	}
	return copies
}

// NextDeadline returns the time at which Tick must be called next.
func (n *Node) NextDeadline() time.Duration {
	if n.role == Leader {
		return n.heartbeatDue
	}
	return n.electionDeadline
}

// Tick performs due heartbeats, quorum checks and elections.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now < n.electionDeadline {
		return
	}
	if !n.Membership().IsVoter(n.config.ID) {
		n.resetElectionDeadline(now)
		return
	}
	n.startPreVote(now)
}

// Propose appends a command to the leader's log. It returns the index and term of its entry,
// which identify the command if it is committed, or ErrNotLeader.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = n.log.lastIndex() + 1
	n.log.append(Entry{Term: n.term, Index: index, Kind: EntryCommand, Data: data})
	n.broadcastPending = true
	return index, n.term, nil
}

// ProposeMembership appends a membership that differs from the current one by at most one voter.
// It returns ErrNotLeader, ErrMembershipPending, ErrTermNotCommitted or ErrMultipleVoterChanges
// if the change is not possible.
func (n *Node) ProposeMembership(m Membership) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.MembershipCommitted() {
		return ErrMembershipPending
	}
	if !n.committedInTerm() {
		return ErrTermNotCommitted
	}
	if votersChanged(n.Membership(), m) > 1 || len(m.Voters()) == 0 {
		return ErrMultipleVoterChanges
	}
	data, err := encodeMembership(m)
	if err != nil {
		return fmt.Errorf("raft: encode membership: %w", err)
	}
	entry := Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: EntryMembership, Data: data}
	if err := n.appendEntry(entry); err != nil {
		return fmt.Errorf("raft: append membership: %w", err)
	}
	n.broadcastPending = true
	n.ensureProgress()
	return nil
}

// Effects returns the pending batch and clears it.
func (n *Node) Effects(now time.Duration) Effects {
	if n.role == Leader && n.broadcastPending {
		n.broadcastAppend(now)
	}
	n.broadcastPending = false
	effects := Effects{
		Snapshot:  n.pendingSnapshot,
		Entries:   n.log.between(n.log.persisted, n.log.lastIndex()),
		Messages:  n.messages,
		Committed: n.log.between(n.log.delivered, n.log.commit),
	}
	if hard := n.hardState(); hard != n.lastHardState {
		effects.HardState = &hard
		n.lastHardState = hard
	}
	n.log.delivered = n.log.commit
	n.pendingSnapshot = nil
	n.messages = nil
	return effects
}

// Persisted tells the node that a batch is durable. Until then the node does not count its own copy
// of the entries toward a quorum.
func (n *Node) Persisted(effects Effects) {
	if len(effects.Entries) == 0 {
		return
	}
	last := effects.Entries[len(effects.Entries)-1]
	term, found := n.log.term(last.Index)
	if !found || term != last.Term {
		return
	}
	n.log.persisted = max(n.log.persisted, last.Index)
	if n.role == Leader {
		n.maybeCommit()
	}
}

// Applied reports that the state machine has applied the entries up to index.
func (n *Node) Applied(index uint64) {
	n.log.applied = max(n.log.applied, index)
}

// Compact sets a new snapshot and drops entries that it covers, except the last KeepEntries.
// The snapshot must be newer than the previous one and contain applied entries only.
func (n *Node) Compact(s Snapshot) error {
	if s.Index > n.log.applied || s.Index <= n.log.snapshot.Index {
		return fmt.Errorf("raft: compact at index %d: applied up to %d, previous snapshot at %d", s.Index, n.log.applied, n.log.snapshot.Index)
	}
	n.log.compact(s, n.config.KeepEntries)
	n.memberships.compactTo(s.Index)
	return nil
}

// SnapshotAt returns a snapshot at an applied index, with data as the state machine's state.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, found := n.log.term(index)
	if !found || index > n.log.applied {
		return Snapshot{}, fmt.Errorf("raft: snapshot at index %d: entry is compacted or not applied, applied up to %d", index, n.log.applied)
	}
	return Snapshot{Index: index, Term: term, Membership: n.memberships.at(index), Data: data}, nil
}

// Retained returns the snapshot, the hard state and the durable entries after the snapshot,
// which are the content of a new log file.
func (n *Node) Retained() (Snapshot, HardState, []Entry) {
	after := max(n.log.snapshot.Index, n.log.prevIndex)
	return n.log.snapshot, n.hardState(), n.log.between(after, n.log.persisted)
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// appendEntry appends an entry. A membership takes effect as soon as it is appended.
func (n *Node) appendEntry(entry Entry) error {
	if entry.Kind == EntryMembership {
		m, err := DecodeMembership(entry.Data)
		if err != nil {
			return err
		}
		n.memberships.add(entry.Index, m)
	}
	n.log.append(entry)
	return nil
}

func (n *Node) send(now time.Duration, m Message) {
	m.From = n.config.ID
	m.SentAt = now
	m.Session = n.session
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}
