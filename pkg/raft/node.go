package raft

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Errors of the proposing calls.
var (
	// ErrNotLeader: only the leader takes proposals.
	ErrNotLeader = errors.New("raft: this replica is not the leader")
	// ErrMembershipPending: an earlier membership change is not committed yet.
	ErrMembershipPending = errors.New("raft: a membership change is already under way")
	// ErrTermNotCommitted: the leader has not committed an entry of its term yet.
	ErrTermNotCommitted = errors.New("raft: the leader has not committed in its term yet")
	// ErrMembershipStep: more than one voter would change at once.
	ErrMembershipStep = errors.New("raft: a membership change may add or remove one voter only")
)

// Config sets up a Node.
type Config struct {
	ID ReplicaID
	// ElectionTimeout is the least silence after which an election may start; the
	// actual one is drawn between it and twice it.
	ElectionTimeout time.Duration
	// Uptime is for how long the process has run when New is called: in that time it has
	// not spoken to any leader.
	Uptime time.Duration
	// HeartbeatInterval is how often a leader speaks; well under ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxClockDrift is the largest relative error of any replica's clock rate.
	MaxClockDrift float64
	// MaxAppendBytes bounds the entry data in one message.
	MaxAppendBytes int
	// KeepEntries is how many entries before a snapshot stay for slow followers.
	KeepEntries uint64
	// Random returns a number in [0, n).
	Random func(n int64) int64
}

// State is what was durable when a replica starts.
type State struct {
	HardState HardState
	// Snapshot holds at least the first membership.
	Snapshot Snapshot
	Entries  []Entry
}

// Node is one replica's consensus state machine. It is not safe for concurrent
// use.
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

	rivalry rivalry
	// voteBarrier is the time before which no vote is granted: one election
	// timeout after the last word of a leader, or after the start.
	voteBarrier time.Duration

	heardLeaderAt time.Duration

	// session tells this process's clock readings from those of earlier ones.
	session      uint64
	confirmation confirmation

	messages      []Message
	snapshotToAdd *Snapshot
	lastHardState HardState
	unsent        bool
}

// firstElectionSpread is over how many heartbeat intervals replicas that start together spread
// their first pre-votes. They begin as soon as votes are granted: a pre-vote disturbs no working
// leader, and where there is none everybody waits.
const firstElectionSpread = 2

// New starts a replica from its durable state.
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
			return nil, fmt.Errorf("raft: start: entry %d follows %d", entry.Index, n.log.lastIndex())
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
	// A restarted replica may have acknowledged a leader just before it stopped.
	silent := min(config.Uptime, config.ElectionTimeout)
	n.voteBarrier = now + config.ElectionTimeout - silent
	n.electionDeadline = n.voteBarrier + time.Duration(config.Random(int64(firstElectionSpread*config.HeartbeatInterval)))
	return n, nil
}

// ID returns the replica's ID.
func (n *Node) ID() ReplicaID { return n.config.ID }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Role returns the replica's part in the current term.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader of the current term as far as it is known.
func (n *Node) Leader() ReplicaID { return n.leader }

// Commit returns the highest index known to be committed.
func (n *Node) Commit() uint64 { return n.log.commit }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// Membership returns the membership in force.
func (n *Node) Membership() Membership { return n.memberships.current().membership }

// MembershipCommitted reports whether the membership in force is committed.
func (n *Node) MembershipCommitted() bool {
	return n.memberships.current().index <= n.log.commit
}

// Match returns how far a replica's durable log is known to agree; only a leader
// knows.
func (n *Node) Match(id ReplicaID) uint64 {
	if id == n.config.ID {
		return n.log.persisted
	}
	if p, found := n.progress[id]; found && n.role == Leader {
		return p.match
	}
	return 0
}

// DurableCopies counts the voters known to hold everything that is committed. A
// repair is complete only when every voter does. A voter that has not answered this
// leader lately does not count, whatever it once held: its disk may be gone.
func (n *Node) DurableCopies(now time.Duration) int {
	copies := 0
	for _, id := range n.Membership().Voters() {
		if n.answersNow(now, id) && n.Match(id) >= n.log.commit {
			copies++
		}
	}
	return copies
}

// NextDeadline returns when Tick must be called next.
func (n *Node) NextDeadline() time.Duration {
	if n.role == Leader {
		return n.heartbeatDue
	}
	return n.electionDeadline
}

// Tick lets time-driven work happen.
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

// Propose appends a command. It returns the index and term at which the command
// stands if it is ever committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = n.log.lastIndex() + 1
	n.log.append(Entry{Term: n.term, Index: index, Kind: EntryCommand, Data: data})
	n.unsent = true
	return index, n.term, nil
}

// ProposeMembership appends a new membership that differs from the one in force
// by at most one voter.
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
		return ErrMembershipStep
	}
	data, err := encodeMembership(m)
	if err != nil {
		return fmt.Errorf("raft: encode membership: %w", err)
	}
	entry := Entry{Term: n.term, Index: n.log.lastIndex() + 1, Kind: EntryMembership, Data: data}
	if err := n.appendEntry(entry); err != nil {
		return fmt.Errorf("raft: append membership: %w", err)
	}
	n.unsent = true
	n.ensureProgress()
	return nil
}

// Effects takes the pending batch.
func (n *Node) Effects(now time.Duration) Effects {
	if n.role == Leader && n.unsent {
		n.broadcastAppend(now)
	}
	n.unsent = false
	effects := Effects{
		Snapshot:  n.snapshotToAdd,
		Entries:   n.log.between(n.log.persisted, n.log.lastIndex()),
		Messages:  n.messages,
		Committed: n.log.between(n.log.handedOut, n.log.commit),
	}
	if hard := n.hardState(); hard != n.lastHardState {
		effects.HardState = &hard
		n.lastHardState = hard
	}
	n.log.handedOut = n.log.commit
	n.snapshotToAdd = nil
	n.messages = nil
	return effects
}

// Persisted tells the node that a batch is durable. Until then its own copy of the
// entries counts for nothing.
func (n *Node) Persisted(effects Effects) {
	if len(effects.Entries) == 0 {
		return
	}
	last := effects.Entries[len(effects.Entries)-1]
	term, held := n.log.term(last.Index)
	if !held || term != last.Term {
		return
	}
	n.log.persisted = max(n.log.persisted, last.Index)
	if n.role == Leader {
		n.maybeCommit()
	}
}

// Applied tells the node how far the state machine has come.
func (n *Node) Applied(index uint64) {
	n.log.applied = max(n.log.applied, index)
}

// Compact drops old entries once the caller has made a snapshot durable. The
// snapshot must be of applied state.
func (n *Node) Compact(s Snapshot) error {
	if s.Index > n.log.applied || s.Index <= n.log.snapshot.Index {
		return fmt.Errorf("raft: compact at %d: applied %d, snapshot %d", s.Index, n.log.applied, n.log.snapshot.Index)
	}
	n.log.compact(s, n.config.KeepEntries)
	n.memberships.compactTo(s.Index)
	return nil
}

// SnapshotAt builds the header of a snapshot at an applied index.
func (n *Node) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, held := n.log.term(index)
	if !held || index > n.log.applied {
		return Snapshot{}, fmt.Errorf("raft: snapshot at %d: applied %d", index, n.log.applied)
	}
	return Snapshot{Index: index, Term: term, Membership: n.memberships.at(index), Data: data}, nil
}

// Retained returns the snapshot and the entries the node still holds, as a new
// durable log would have to contain them.
func (n *Node) Retained() (Snapshot, HardState, []Entry) {
	after := max(n.log.snapshot.Index, n.log.prevIndex)
	return n.log.snapshot, n.hardState(), n.log.between(after, n.log.persisted)
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// appendEntry adds an entry and puts a membership in it into force.
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
