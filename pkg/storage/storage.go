package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"bramblelift/pkg/raft"
)

const (
	logName      = "replica.log"
	identityName = "identity.json"
)

// ErrFailed: an earlier write failed, so it is unknown what is durable.
var ErrFailed = errors.New("storage: an earlier write failed; the process must end")

// ErrNoRoom: the disk did not take a write. Nothing of it counts, and the same write may be
// tried again.
var ErrNoRoom = errors.New("storage: the disk takes no writes")

// ErrNoState: the folder holds no replica.
var ErrNoState = errors.New("storage: data folder holds no replica")

// Identity names the replica that a data folder belongs to. It is written once.
type Identity struct {
	ClusterID string
	Name      string
	ReplicaID raft.ReplicaID
}

// Storage is a replica's open durable state.
type Storage struct {
	files    FileSystem
	identity Identity
	file     File
	// size counts the bytes in the log file.
	size int64
	// hardState is the last one written; a checkpoint must carry it on.
	hardState raft.HardState
	failed    bool
	// torn is set while the file may hold more than size bytes, after a refused write.
	torn bool
}

// Create makes the durable state of a new replica, with its first snapshot.
func Create(files FileSystem, identity Identity, first raft.Snapshot) error {
	content, err := json.Marshal(identity)
	if err != nil {
		return fmt.Errorf("create replica: encode identity: %w", err)
	}
	if _, err := ReadIdentity(files); !errors.Is(err, ErrNoState) {
		return fmt.Errorf("create replica: data folder already holds one (%v)", err)
	}
	// The log goes first: without an identity the folder counts as empty.
	log, err := encodeLog(first, raft.HardState{}, nil)
	if err != nil {
		return fmt.Errorf("create replica: %w", err)
	}
	if err := WriteFileAtomic(files, logName, log); err != nil {
		return fmt.Errorf("create replica: %w: %w", ErrNoRoom, err)
	}
	if err := WriteFileAtomic(files, identityName, content); err != nil {
		return fmt.Errorf("create replica: %w: %w", ErrNoRoom, err)
	}
	return nil
}

// ReadIdentity returns whose folder this is, or ErrNoState.
func ReadIdentity(files FileSystem) (Identity, error) {
	content, err := files.ReadFile(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, ErrNoState
	}
	if err != nil {
		return Identity{}, fmt.Errorf("read identity: %w", err)
	}
	var identity Identity
	if err := json.Unmarshal(content, &identity); err != nil {
		return Identity{}, fmt.Errorf("read identity: %w: %w", ErrCorrupt, err)
	}
	return identity, nil
}

// Open recovers a replica's state, cutting a torn tail off.
func Open(files FileSystem) (*Storage, raft.State, error) {
	identity, err := ReadIdentity(files)
	if err != nil {
		return nil, raft.State{}, err
	}
	content, err := files.ReadFile(logName)
	if err != nil {
		return nil, raft.State{}, fmt.Errorf("read log: %w", err)
	}
	records, wholeSize, err := scanRecords(content)
	if err != nil {
		return nil, raft.State{}, fmt.Errorf("recover log: %w", err)
	}
	state, err := replay(records)
	if err != nil {
		return nil, raft.State{}, fmt.Errorf("recover log: %w", err)
	}
	s := &Storage{files: files, identity: identity, size: int64(wholeSize), hardState: state.HardState}
	if err := s.openLog(wholeSize < len(content)); err != nil {
		return nil, raft.State{}, fmt.Errorf("recover log: %w", err)
	}
	return s, state, nil
}

// openLog opens the log for appending and cuts a torn tail off durably.
func (s *Storage) openLog(torn bool) error {
	file, err := s.files.OpenAppend(logName)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	s.file = file
	if !torn {
		return nil
	}
	if err := file.Truncate(s.size); err != nil {
		return fmt.Errorf("cut torn tail: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync after cutting torn tail: %w", err)
	}
	return nil
}

// replay rebuilds the state from the records of a log file.
func replay(records []record) (raft.State, error) {
	var state raft.State
	if len(records) == 0 || records[0].kind != recordCheckpoint {
		return raft.State{}, fmt.Errorf("%w: no checkpoint at the start", ErrCorrupt)
	}
	for _, next := range records {
		if err := replayRecord(&state, next); err != nil {
			return raft.State{}, err
		}
	}
	return state, nil
}

func replayRecord(state *raft.State, next record) error {
	switch next.kind {
	case recordCheckpoint:
		snapshot, err := decodeSnapshot(next.payload)
		if err != nil {
			return err
		}
		state.Snapshot = snapshot
		state.Entries = nil
	case recordHardState:
		hard, err := decodeHardState(next.payload)
		if err != nil {
			return err
		}
		state.HardState = hard
	case recordEntry:
		entry, err := decodeEntry(next.payload)
		if err != nil {
			return err
		}
		return replayEntry(state, entry)
	default:
		return fmt.Errorf("%w: unknown record kind %d", ErrCorrupt, next.kind)
	}
	return nil
}

// replayEntry appends an entry; one that stands there already is replaced with all
// that follow it.
func replayEntry(state *raft.State, entry raft.Entry) error {
	base := state.Snapshot.Index
	if entry.Index <= base || entry.Index > base+uint64(len(state.Entries))+1 {
		return fmt.Errorf("%w: entry %d does not follow", ErrCorrupt, entry.Index)
	}
	state.Entries = append(state.Entries[:entry.Index-base-1], entry)
	return nil
}

// Identity returns whose state this is.
func (s *Storage) Identity() Identity { return s.identity }

// Size returns the bytes in the log file.
func (s *Storage) Size() int64 { return s.size }

// Save makes the durable part of a batch of effects durable.
func (s *Storage) Save(effects raft.Effects) error {
	if s.failed {
		return ErrFailed
	}
	if effects.HardState != nil {
		s.hardState = *effects.HardState
	}
	if effects.Snapshot != nil {
		return s.Checkpoint(*effects.Snapshot, s.hardState, effects.Entries)
	}
	var buffer []byte
	if effects.HardState != nil {
		buffer = appendRecord(buffer, recordHardState, encodeHardState(*effects.HardState))
	}
	for _, entry := range effects.Entries {
		buffer = appendRecord(buffer, recordEntry, encodeEntry(entry))
	}
	if len(buffer) == 0 {
		return nil
	}
	if err := s.cutTornWrite(); err != nil {
		return err
	}
	if _, err := s.file.Write(buffer); err != nil {
		s.torn = true
		return fmt.Errorf("append to log: %w: %w", ErrNoRoom, err)
	}
	if err := s.file.Sync(); err != nil {
		s.failed = true
		return fmt.Errorf("sync log: %w", err)
	}
	s.size += int64(len(buffer))
	return nil
}

// cutTornWrite takes back what a refused write may have left behind.
func (s *Storage) cutTornWrite() error {
	if !s.torn {
		return nil
	}
	if err := s.file.Truncate(s.size); err != nil {
		return fmt.Errorf("cut refused write: %w: %w", ErrNoRoom, err)
	}
	s.torn = false
	return nil
}

// Checkpoint replaces the log file by one that starts with a snapshot. With ErrNoRoom the
// old file stays in force.
func (s *Storage) Checkpoint(snapshot raft.Snapshot, hard raft.HardState, entries []raft.Entry) error {
	if s.failed {
		return ErrFailed
	}
	content, err := encodeLog(snapshot, hard, entries)
	if err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	if err := writeTemporary(s.files, logName, content); err != nil {
		return fmt.Errorf("checkpoint: %w: %w", ErrNoRoom, err)
	}
	// From here until the new file is open, an error leaves it unknown which file
	// is in force.
	s.failed = true
	if err := s.file.Close(); err != nil {
		return fmt.Errorf("checkpoint: close old log: %w", err)
	}
	if err := replaceByTemporary(s.files, logName); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	file, err := s.files.OpenAppend(logName)
	if err != nil {
		return fmt.Errorf("checkpoint: open new log: %w", err)
	}
	s.file = file
	s.size = int64(len(content))
	s.hardState = hard
	s.failed = false
	s.torn = false
	return nil
}

// Close closes the log file.
func (s *Storage) Close() error {
	s.failed = true
	return s.file.Close()
}

func encodeLog(snapshot raft.Snapshot, hard raft.HardState, entries []raft.Entry) ([]byte, error) {
	payload, err := encodeSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	content := appendRecord(nil, recordCheckpoint, payload)
	content = appendRecord(content, recordHardState, encodeHardState(hard))
	for _, entry := range entries {
		content = appendRecord(content, recordEntry, encodeEntry(entry))
	}
	return content, nil
}
