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

// Errors of proposals.
var (
	// ErrNotLeader: another replica must be asked.
	ErrNotLeader = raft.ErrNotLeader
	// ErrUnknownOutcome: leadership was lost before the command was committed; it
	// may or may not still be.
	ErrUnknownOutcome = errors.New("leadership was lost before the outcome was known")
)

// Config sets up a replica.
type Config struct {
	Raft raft.Config
	// CompactAfter is how many applied entries make a new snapshot due.
	CompactAfter uint64
	// CompactBytes is how many bytes of log do, zero for no bound.
	CompactBytes int64
	// RemoveAfter is after how much silence the leader removes a replica that is not
	// needed for a majority; zero for never.
	RemoveAfter time.Duration
	// ToleratedLosses is how many replicas may be lost at once.
	ToleratedLosses int
}

// ProposalID is the caller's name for a command under way.
type ProposalID uint64

// Completion ends a proposal.
type Completion struct {
	Proposal ProposalID
	Result   catalog.Result
	Err      error
}

// Output is what a Flush leaves for the caller.
type Output struct {
	Messages    []raft.Message
	Completions []Completion
	// StateChanged is set when the distributed state moved on.
	StateChanged bool
}

type waitingProposal struct {
	id   ProposalID
	term uint64
}

// Replica is one control replica. It is not safe for concurrent use.
type Replica struct {
	config  Config
	node    *raft.Node
	storage *storage.Storage
	catalog *catalog.Catalog
	applied uint64
	// waiting holds the proposals under way by log index.
	waiting map[uint64]waitingProposal
	joins   map[string]joinRequest
	// compactedSize is the size of the log right after the last compaction.
	compactedSize int64
	replay        replayWork
	// addresses are where replicas said they are; see Learn.
	addresses map[raft.ReplicaID]string
	// unsaved are effects that the disk did not take yet. Until it does the replica
	// stands still, as if the disk were slow: nothing that depends on them has left it.
	unsaved *raft.Effects
}

// Open starts a replica from its durable state.
func Open(now time.Duration, config Config, files storage.FileSystem) (*Replica, error) {
	opened, state, err := storage.Open(files)
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
		waiting: map[uint64]waitingProposal{},

		compactedSize: opened.Size(),
		joins:         map[string]joinRequest{},
		addresses:     map[raft.ReplicaID]string{},
	}, nil
}

// Node returns the consensus core, for reading.
func (r *Replica) Node() *raft.Node { return r.node }

// Catalog returns the state machine, for reading.
func (r *Replica) Catalog() *catalog.Catalog { return r.catalog }

// State returns the distributed state.
func (r *Replica) State() *distribution.State { return r.catalog.State() }

// Identity returns whose replica this is.
func (r *Replica) Identity() storage.Identity { return r.storage.Identity() }

// Applied returns the index of the last applied entry.
func (r *Replica) Applied() uint64 { return r.applied }

// LogBytes returns the size of the durable log.
func (r *Replica) LogBytes() int64 { return r.storage.Size() }

// Tick lets time-driven work happen.
func (r *Replica) Tick(now time.Duration) {
	if r.Stalled() {
		return
	}
	r.node.Tick(now)
	r.reconcileMembership(now)
}

// Step takes in a message from another replica.
func (r *Replica) Step(now time.Duration, m raft.Message) {
	if r.Stalled() {
		return
	}
	r.node.Step(now, m)
}

// Learn notes where a replica said it is. A joining replica holds no membership yet
// and could not answer its leader otherwise.
func (r *Replica) Learn(id raft.ReplicaID, address string) {
	r.addresses[id] = address
}

// Address returns where a replica is reached: as the membership says or, for one that
// is not in it here, as it said itself.
func (r *Replica) Address(id raft.ReplicaID) (string, bool) {
	if member, found := r.node.Membership().Find(id); found {
		return member.Address, true
	}
	address, found := r.addresses[id]
	return address, found
}

// Propose starts a command. Its end is told by a Completion.
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
	r.waiting[index] = waitingProposal{id: id, term: term}
	return nil
}

// Flush makes everything pending durable and applies what is committed.
func (r *Replica) Flush(now time.Duration) (Output, error) {
	var output Output
	before := r.catalog.State().Revision
	for {
		effects := r.nextEffects(now)
		if effects.Empty() {
			break
		}
		if err := r.storage.Save(effects); err != nil {
			if !errors.Is(err, storage.ErrNoRoom) {
				return Output{}, fmt.Errorf("make effects durable: %w", err)
			}
			r.unsaved = &effects
			r.abandonWaiting(&output)
			return output, nil
		}
		r.node.Persisted(effects)
		output.Messages = append(output.Messages, effects.Messages...)
		if err := r.apply(now, effects, &output); err != nil {
			return Output{}, err
		}
	}
	if r.node.Role() != raft.Leader {
		r.abandonWaiting(&output)
	}
	if err := r.compactIfDue(now); err != nil {
		return Output{}, err
	}
	output.StateChanged = r.catalog.State().Revision != before
	return output, nil
}

// Stalled reports whether the disk refuses what the replica must write. It then takes no
// part in anything; Flush tries again.
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
		r.replay = replayWork{}
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
		r.replay.note(now, command)
	}
	proposal, found := r.waiting[entry.Index]
	if !found {
		return nil
	}
	delete(r.waiting, entry.Index)
	done := Completion{Proposal: proposal.id, Result: result}
	if proposal.term != entry.Term {
		done = Completion{Proposal: proposal.id, Err: ErrUnknownOutcome}
	}
	output.Completions = append(output.Completions, done)
	return nil
}

func (r *Replica) abandonWaiting(output *Output) {
	for _, index := range slices.Sorted(maps.Keys(r.waiting)) {
		lost := Completion{Proposal: r.waiting[index].id, Err: ErrUnknownOutcome}
		output.Completions = append(output.Completions, lost)
	}
	clear(r.waiting)
}

// compactionDue reports whether the log holds enough entries or bytes after its
// snapshot, or it is quiet and a restart would have much to apply again.
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
	r.replay = replayWork{}
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
	if err != nil && !errors.Is(err, storage.ErrNoRoom) {
		return fmt.Errorf("compact: %w", err)
	}
	// Without room the old log stays in force; the next compaction tries again.
	r.compactedSize = r.storage.Size()
	return nil
}

// Close closes the durable state.
func (r *Replica) Close() error { return r.storage.Close() }
