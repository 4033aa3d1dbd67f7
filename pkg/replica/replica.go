package replica

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/storage"
)

// Errors of Propose and of a Completion.
var (
	// ErrNotLeader means that this replica is not the leader, or that its disk rejects writes.
	ErrNotLeader = raft.ErrNotLeader
	// ErrUnknownOutcome means that leadership was lost before the command was committed. The
	// command may still be committed later.
	ErrUnknownOutcome = errors.New("leadership was lost before the outcome was known")
)

// Config holds the parameters of a Replica.
type Config struct {
	Raft raft.Config
	// CompactAfter is the number of applied entries after which a new snapshot is due.
	CompactAfter uint64
	// CompactBytes is the number of bytes by which the log grows until a new snapshot is due;
	// zero means no limit.
	CompactBytes int64
	// RemoveAfter is the time without contact after which the leader removes a member, if the
	// remaining voters can still lose ToleratedLosses replicas; zero means never.
	RemoveAfter time.Duration
	// ToleratedLosses is the number of replicas that may be lost at the same time.
	ToleratedLosses int
}

// ProposalID identifies a proposal. The caller chooses it.
type ProposalID uint64

// Completion is the outcome of a proposal: a result or an error.
type Completion struct {
	Proposal ProposalID
	Result   catalog.Result
	Err      error
}

// Output is what the caller of Flush must process.
type Output struct {
	Messages    []raft.Message
	Completions []Completion
	// StateChanged is set if the revision of the distributed state changed.
	StateChanged bool
}

// pendingProposal is a proposal in flight, with the term of its log entry.
type pendingProposal struct {
	id   ProposalID
	term uint64
}

// Replica is one replica of the control plane. It is not safe for concurrent use.
type Replica struct {
	config  Config
	node    *raft.Node
	storage *storage.Storage
	catalog *catalog.Catalog
	applied uint64
	// pending holds the proposals in flight by log index.
	pending      map[uint64]pendingProposal
	joinRequests map[string]joinRequest
	// compactedSize is the size of the log after the last compaction, in bytes.
	compactedSize int64
	replay        replayCost
	// addresses holds the addresses that replicas reported themselves; see RecordAddress.
	addresses map[raft.ReplicaID]string
	// unsaved holds effects that the disk rejected. Until they are saved the replica processes
	// nothing, and no message that depends on them is sent.
	unsaved *raft.Effects
}

// Open opens a replica from its durable state. It returns storage.ErrNoState if there is none.
func Open(now time.Duration, config Config, fsys storage.FileSystem) (*Replica, error) {
	opened, state, err := storage.Open(fsys)
	if err != nil {
		return nil, fmt.Errorf("open replica: %w", err)
	}
	config.Raft.ID = opened.Identity().ReplicaID
	node, err := raft.New(now, config.Raft, state)
	if err != nil {
		return nil, fmt.Errorf("open replica: %w", err)
	}
	restored, err := catalog.Restore(state.Snapshot.Data)
	if err != nil {
		return nil, fmt.Errorf("open replica: %w", err)
	}
	return &Replica{
		config: config, node: node, storage: opened, catalog: restored,
		applied: state.Snapshot.Index,
		pending: map[uint64]pendingProposal{},

		compactedSize: opened.Size(),
		joinRequests:  map[string]joinRequest{},
		addresses:     map[raft.ReplicaID]string{},
	}, nil
}

// Node returns the consensus core. Callers must only read it.
func (r *Replica) Node() *raft.Node { return r.node }

// Catalog returns the state machine. Callers must only read it.
func (r *Replica) Catalog() *catalog.Catalog { return r.catalog }

// State returns the state that is distributed to the nodes.
func (r *Replica) State() *distribution.State { return r.catalog.State() }

// Identity returns the replica's durable identity.
func (r *Replica) Identity() storage.Identity { return r.storage.Identity() }

// Applied returns the index of the last applied entry.
func (r *Replica) Applied() uint64 { return r.applied }

// LogBytes returns the size of the log file in bytes.
func (r *Replica) LogBytes() int64 { return r.storage.Size() }

// Tick performs due heartbeats, elections and membership changes.
func (r *Replica) Tick(now time.Duration) {
	if r.Stalled() {
		return
	}
	r.node.Tick(now)
	r.reconcileMembership(now)
}

// Step processes a message from another replica.
func (r *Replica) Step(now time.Duration, m raft.Message) {
	if r.Stalled() {
		return
	}
	r.node.Step(now, m)
}

// RecordAddress records the address that a replica reported itself. A joining replica has no membership
// yet and needs the address to respond to its leader.
func (r *Replica) RecordAddress(id raft.ReplicaID, address string) {
	r.addresses[id] = address
}

// Address returns the address of a replica from the membership or, for one that is not a
// member, as recorded by RecordAddress. It returns false if there is none.
func (r *Replica) Address(id raft.ReplicaID) (string, bool) {
	if member, found := r.node.Membership().Find(id); found {
		return member.Address, true
	}
	address, found := r.addresses[id]
	return address, found
}

// Propose proposes a command. Unless it returns an error, a Completion with the same ID reports
// the outcome.
func (r *Replica) Propose(id ProposalID, command catalog.Command) error {
	if r.Stalled() {
		return ErrNotLeader
	}
	data, err := command.Encode()
	if err != nil {
		return err
	}
	index, term, err := r.node.Propose(data)
	if err != nil {
		return err
	}
	r.pending[index] = pendingProposal{id: id, term: term}
	return nil
}

// Flush makes pending effects durable and applies committed entries until none are pending, and
// compacts the log if that is due. If the disk rejects the write, the replica is stalled and
// Flush returns no error.
func (r *Replica) Flush(now time.Duration) (Output, error) {
	var output Output
	before := r.catalog.State().Revision
	for {
		effects := r.nextEffects(now)
		if effects.Empty() {
			break
		}
		if err := r.storage.Save(effects); err != nil {
			if !errors.Is(err, storage.ErrWriteRejected) {
				return Output{}, fmt.Errorf("make effects durable: %w", err)
			}
			r.unsaved = &effects
			r.failPending(&output)
			return output, nil
		}
		r.node.Persisted(effects)
		output.Messages = append(output.Messages, effects.Messages...)
		if err := r.apply(now, effects, &output); err != nil {
			return Output{}, err
		}
	}
	if r.node.Role() != raft.Leader {
		r.failPending(&output)
	}
	if err := r.compactIfDue(now); err != nil {
		return Output{}, err
	}
	output.StateChanged = r.catalog.State().Revision != before
	return output, nil
}

// Stalled reports whether the disk rejected effects that the replica must save. A stalled
// replica ignores messages and proposals; each Flush retries the write.
func (r *Replica) Stalled() bool { return r.unsaved != nil }

func (r *Replica) nextEffects(now time.Duration) raft.Effects {
	if r.unsaved == nil {
		return r.node.Effects(now)
	}
	effects := *r.unsaved
	r.unsaved = nil
	return effects
}

func (r *Replica) apply(now time.Duration, effects raft.Effects, output *Output) error {
	if effects.Snapshot != nil {
		restored, err := catalog.Restore(effects.Snapshot.Data)
		if err != nil {
			return fmt.Errorf("install snapshot at %d: %w", effects.Snapshot.Index, err)
		}
		r.catalog = restored
		r.applied = effects.Snapshot.Index
		r.replay = replayCost{}
	}
	for _, entry := range effects.Committed {
		if err := r.applyEntry(now, entry, output); err != nil {
			return fmt.Errorf("apply entry %d: %w", entry.Index, err)
		}
	}
	r.node.Applied(r.applied)
	return nil
}

func (r *Replica) applyEntry(now time.Duration, entry raft.Entry, output *Output) error {
	r.applied = entry.Index
	var result catalog.Result
	if entry.Kind == raft.EntryCommand && len(entry.Data) > 0 {
		command, err := catalog.DecodeCommand(entry.Data)
		if err != nil {
			return err
		}
		result = r.catalog.Apply(command)
		r.replay.record(now, command)
	}
	proposal, found := r.pending[entry.Index]
	if !found {
		return nil
	}
	delete(r.pending, entry.Index)
	done := Completion{Proposal: proposal.id, Result: result}
	if proposal.term != entry.Term {
		done = Completion{Proposal: proposal.id, Err: ErrUnknownOutcome}
	}
	output.Completions = append(output.Completions, done)
	return nil
}

// failPending completes all proposals in flight with ErrUnknownOutcome.
func (r *Replica) failPending(output *Output) {
	for _, index := range slices.Sorted(maps.Keys(r.pending)) {
		lost := Completion{Proposal: r.pending[index].id, Err: ErrUnknownOutcome}
		output.Completions = append(output.Completions, lost)
	}
	clear(r.pending)
}

// compactionDue reports whether enough entries or bytes follow the last snapshot, or no version
// arrived recently and a snapshot would shorten a restart.
func (r *Replica) compactionDue(now time.Duration) bool {
	if r.applied <= r.node.SnapshotIndex() {
		return false
	}
	if r.replay.compactionDue(now, r.node.ID()) {
		return true
	}
	entries := r.applied - r.node.SnapshotIndex()
	grown := r.storage.Size() - r.compactedSize
	return entries >= r.config.CompactAfter || (r.config.CompactBytes > 0 && grown >= r.config.CompactBytes)
}

func (r *Replica) compactIfDue(now time.Duration) error {
	if !r.compactionDue(now) {
		return nil
	}
	r.replay = replayCost{}
	data, err := r.catalog.Snapshot()
	if err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	snapshot, err := r.node.SnapshotAt(r.applied, data)
	if err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	if err := r.node.Compact(snapshot); err != nil {
		return fmt.Errorf("compact: %w", err)
	}
	kept, hard, entries := r.node.Retained()
	err = r.storage.Checkpoint(kept, hard, entries)
	if err != nil && !errors.Is(err, storage.ErrWriteRejected) {
		return fmt.Errorf("compact: %w", err)
	}
	// After ErrWriteRejected the old log remains in use and the next compaction retries.
	r.compactedSize = r.storage.Size()
	return nil
}

// Close closes the log file.
func (r *Replica) Close() error { return r.storage.Close() }
