package raft

import "time"

// ReplicaID identifies one replica for the lifetime of its disk. Zero means none.
type ReplicaID uint64

// EntryKind is the type of a log entry's data.
type EntryKind uint8

const (
	// EntryCommand carries a state machine command. Data is empty in the entry that a new
	// leader appends at the start of its term.
	EntryCommand EntryKind = iota
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a replica must preserve across restarts. Term and Vote must be durable
// before any message of the same batch is sent; Commit may lag.
type HardState struct {
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// Snapshot is the applied state at Index. It replaces every log entry up to and including
// Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind is the type of a Message.
type MessageKind uint8

const (
	// MessagePreVote asks whether the sender could win an election, without starting a new
	// term.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse is the response to MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests a vote in the sender's term.
	MessageVote
	// MessageVoteResponse is the response to MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	// MessageAppendResponse is the response to MessageAppend and MessageSnapshot.
	MessageAppendResponse
	// MessageSnapshot carries a snapshot to a replica for which the log is already compacted.
	MessageSnapshot
)

// Message is sent from one replica to another. Messages may be lost, duplicated, delayed and
// reordered.
type Message struct {
	Kind MessageKind
	From ReplicaID
	To   ReplicaID
	Term uint64

	// Index and LogTerm identify the entry before Entries in MessageAppend, and the last entry
	// of the candidate's log in vote requests. In MessageAppendResponse, Index is the highest
	// index known to match or, with Reject, a hint at the index up to which the logs may still
	// agree.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry

	Snapshot *Snapshot
	Reject   bool

	// SentAt is the sender's clock reading. EchoAt is the last SentAt that the sender received
	// from the receiver, so that each side can relate acknowledgements to its own clock.
	SentAt time.Duration
	EchoAt time.Duration
	// Session is a random number that identifies the sender's process run. EchoSession is the
	// receiver's session that EchoAt belongs to: clock readings of different process runs are
	// not comparable.
	Session     uint64
	EchoSession uint64
	// Confirmed is set by a leader whose lease was valid when it sent the message: no other
	// leader had committed anything beyond Commit at EchoAt.
	Confirmed bool
}

// Role is a replica's role in the current term.
type Role uint8

const (
	// Follower accepts entries from a leader. Learners are always followers.
	Follower Role = iota
	// PreCandidate asks the voters whether it could win an election.
	PreCandidate
	// Candidate requests votes for itself.
	Candidate
	// Leader appends proposals and replicates its log to the other members.
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

// Effects is one batch of work for the caller. The package comment gives the order in which the
// parts must be processed.
type Effects struct {
	// HardState is set if it changed since the last batch.
	HardState *HardState
	// Snapshot, if set, replaces the whole durable log.
	Snapshot *Snapshot
	// Entries are to be appended. They replace durable entries from Entries[0].Index on.
	Entries []Entry
	// Messages are to be sent once all of the above is durable.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
}

// Empty reports whether the batch contains no work.
func (e Effects) Empty() bool {
	return e.HardState == nil && e.Snapshot == nil && len(e.Entries) == 0 &&
		len(e.Messages) == 0 && len(e.Committed) == 0
}
