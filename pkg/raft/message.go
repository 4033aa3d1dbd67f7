package raft

import "time"

// ReplicaID names one replica for the life of its disk. Zero means none.
type ReplicaID uint64

// EntryKind tells what a log entry carries.
type EntryKind uint8

const (
	// EntryCommand carries a command of the state machine; Data may be empty in
	// the entry by which a new leader commits its term.
	EntryCommand EntryKind = iota
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one position of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a replica must remember over a restart. Term and Vote must be
// durable before any message of the same batch is sent; Commit may lag.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Snapshot replaces every log entry up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

const (
	// MessagePreVote asks whether an election could be won, without a new term.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse
	// MessageVote asks for a vote in the sender's term.
	MessageVote
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	// MessageAppendResponse answers MessageAppend and MessageSnapshot.
	MessageAppendResponse
	// MessageSnapshot carries a snapshot to a replica that is too far behind.
	MessageSnapshot
)

// Message goes from one replica to another. Messages may be lost, repeated,
// delayed and reordered.
type Message struct {
	Kind MessageKind
	From ReplicaID
	To   ReplicaID
	Term uint64

	// Index and LogTerm name the entry before Entries in MessageAppend, and the
	// last entry of the candidate's log in the vote requests. In
	// MessageAppendResponse, Index is the highest index known to match or, with
	// Reject, a hint where the logs may still agree.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry

	Snapshot *Snapshot
	Reject   bool

	// SentAt is the sender's clock. EchoAt repeats the newest SentAt the sender
	// has from the receiver, so that each side can date what the other has
	// confirmed on its own clock.
	SentAt time.Duration
	EchoAt time.Duration
	// Session is a number the sender drew when its process started, and
	// EchoSession the receiver's that goes with EchoAt: a clock reading of an
	// earlier process must not date anything in a later one.
	Session     uint64
	EchoSession uint64
	// Confirmed is set by a leader whose lease held when it sent the message: no
	// other leader had committed anything beyond Commit at EchoAt.
	Confirmed bool
}

// Role is a replica's part in its current term.
type Role uint8

const (
	// Follower takes entries from a leader; learners stay followers.
	Follower Role = iota
	// PreCandidate asks whether it could win an election.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader replicates its log.
	Leader
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "unknown"
	}
}

// Effects is one batch of work for the caller; see the package comment for the
// order in which it must be done.
type Effects struct {
	// HardState is set when it changed since the last batch.
	HardState *HardState
	// Snapshot, if set, replaces the whole durable log.
	Snapshot *Snapshot
	// Entries are to be appended; durable entries from Entries[0].Index on are
	// replaced.
	Entries []Entry
	// Messages are to be sent once all of the above is durable.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (e Effects) Empty() bool {
	return e.HardState == nil && e.Snapshot == nil && len(e.Entries) == 0 &&
		len(e.Messages) == 0 && len(e.Committed) == 0
}
