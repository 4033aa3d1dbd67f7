package storage

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"bramblelift/pkg/raft"
)

const (
	logFileName      = "replica.log"
	identityFileName = "identity.json"
)

// ErrDurabilityUnknown means that an earlier sync or log replacement failed, so that it is
// unknown what is durable, or that the storage is closed.
var ErrDurabilityUnknown = errors.New("storage: an earlier write failed; the process must exit")

// ErrWriteRejected means that the disk rejected a write, for instance because it is full. A Save or
// Checkpoint that returns it acknowledged nothing and can be repeated; after a crash, Open may recover
// a part of it.
var ErrWriteRejected = errors.New("storage: the disk rejected a write")

// ErrNoState means that the folder contains no replica.
var ErrNoState = errors.New("storage: data folder contains no replica")

// Identity identifies the replica to which a data folder belongs. It is written once, when the
// replica is created.
type Identity struct {
	ClusterID string
	Name      string
	ReplicaID raft.ReplicaID
}

// Storage is the open durable state of a replica. It is not safe for concurrent use.
type Storage struct {
	fsys     FileSystem
	identity Identity
	file     File
	// size is the number of valid bytes in the log file.
	size int64
	// hardState is the last one written. A checkpoint writes it again.
	hardState raft.HardState
	failed    bool
	// tornWrite is set while the file may be longer than size because a write failed.
	tornWrite bool
}

// Create writes the durable state of a new replica with its first snapshot. It fails if the
// folder already contains a replica. A failed write, sync or rename is reported as ErrWriteRejected;
// Create can then be repeated as long as ReadIdentity returns ErrNoState.
func Create(fsys FileSystem, identity Identity, first raft.Snapshot) error {
	content, err := json.Marshal(identity)
	if err != nil {
		return fmt.Errorf("create replica: encode identity: %w", err)
	}
	if _, err := ReadIdentity(fsys); !errors.Is(err, ErrNoState) {
		return fmt.Errorf("create replica: data folder already holds one (%v)", err)
	}
	// The identity is written last: a folder without one contains no replica.
	log, err := encodeLog(first, raft.HardState{}, nil)
	if err != nil {
		return fmt.Errorf("create replica: %w", err)
	}
	if err := WriteFileAtomic(fsys, logFileName, log); err != nil {
		return fmt.Errorf("create replica: %w: %w", ErrWriteRejected, err)
	}
	if err := WriteFileAtomic(fsys, identityFileName, content); err != nil {
		return fmt.Errorf("create replica: %w: %w", ErrWriteRejected, err)
	}
	return nil
}

// ReadIdentity returns the identity of the replica in the folder, or ErrNoState.
func ReadIdentity(fsys FileSystem) (Identity, error) {
	content, err := fsys.ReadFile(identityFileName)
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

// Open recovers a replica's state, truncates a torn write at the end of the log and makes the rest durable. It
// returns ErrNoState for a folder without a replica and ErrCorrupt for a damaged log.
func Open(fsys FileSystem) (*Storage, raft.State, error) {
	identity, err := ReadIdentity(fsys)
	if err != nil {
		return nil, raft.State{}, err
	}
	content, err := fsys.ReadFile(logFileName)
	if err != nil {
		return nil, raft.State{}, fmt.Errorf("read log: %w", err)
	}
	records, validSize, err := scanRecords(content)
	if err != nil {
		return nil, raft.State{}, fmt.Errorf("recover log: %w", err)
	}
	state, err := replay(records)
	if err != nil {
		return nil, raft.State{}, fmt.Errorf("recover log: %w", err)
	}
	s := &Storage{fsys: fsys, identity: identity, size: int64(validSize), hardState: state.HardState}
	if err := s.openLog(validSize < len(content)); err != nil {
		return nil, raft.State{}, fmt.Errorf("recover log: %w", err)
	}
	return s, state, nil
}

// openLog opens the log for appending and truncates a torn write. It syncs the log and its folder, since the process
// before may have been killed between a write or a rename and its sync.
func (s *Storage) openLog(torn bool) error {
	file, err := s.fsys.OpenAppend(logFileName)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	s.file = file
	if torn {
		if err := file.Truncate(s.size); err != nil {
			return fmt.Errorf("truncate torn write: %w", err)
		}
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	if err := s.fsys.SyncDir(); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

// replay reconstructs the state from the records of a log file.
func replay(records []record) (raft.State, error) {
	var state raft.State
	if len(records) == 0 || records[0].kind != recordCheckpoint {
		return raft.State{}, fmt.Errorf("%w: log does not start with a checkpoint", ErrCorrupt)
	}
	for _, rec := range records {
		if err := replayRecord(&state, rec); err != nil {
			return raft.State{}, err
		}
	}
	return state, nil
}

func replayRecord(state *raft.State, rec record) error {
	switch rec.kind {
	case recordCheckpoint:
		snapshot, err := decodeSnapshot(rec.payload)
		if err != nil {
			return err
		}
		state.Snapshot = snapshot
		state.Entries = nil
	case recordHardState:
		hard, err := decodeHardState(rec.payload)
		if err != nil {
			return err
		}
		state.HardState = hard
	case recordEntry:
		entry, err := decodeEntry(rec.payload)
		if err != nil {
			return err
		}
		return replayEntry(state, entry)
	default:
		return fmt.Errorf("%w: unknown record kind %d", ErrCorrupt, rec.kind)
	}
	return nil
}

// replayEntry appends an entry. It replaces an existing entry of the same index and all entries
// after it.
func replayEntry(state *raft.State, entry raft.Entry) error {
	base := state.Snapshot.Index
	if entry.Index <= base || entry.Index > base+uint64(len(state.Entries))+1 {
		return fmt.Errorf("%w: entry %d does not follow the previous entry", ErrCorrupt, entry.Index)
	}
	state.Entries = append(state.Entries[:entry.Index-base-1], entry)
	return nil
}

// Identity returns the identity of the replica whose state this is.
func (s *Storage) Identity() Identity { return s.identity }

// Size returns the number of valid bytes in the log file.
func (s *Storage) Size() int64 { return s.size }

// Save makes the hard state, snapshot and entries of a batch of effects durable. After
// ErrWriteRejected the same batch can be saved again.
func (s *Storage) Save(effects raft.Effects) error {
	if s.failed {
		return ErrDurabilityUnknown
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
	if err := s.truncateTornWrite(); err != nil {
		return err
	}
	if _, err := s.file.Write(buffer); err != nil {
		s.tornWrite = true
		return fmt.Errorf("append to log: %w: %w", ErrWriteRejected, err)
	}
	if err := s.file.Sync(); err != nil {
		s.failed = true
		return fmt.Errorf("sync log: %w", err)
	}
	s.size += int64(len(buffer))
	return nil
}

// truncateTornWrite removes what a failed write may have appended.
func (s *Storage) truncateTornWrite() error {
	if !s.tornWrite {
		return nil
	}
	if err := s.file.Truncate(s.size); err != nil {
		return fmt.Errorf("truncate failed write: %w: %w", ErrWriteRejected, err)
	}
	s.tornWrite = false
	return nil
}

// Checkpoint replaces the log file with one that starts with a snapshot. After ErrWriteRejected the
// old file remains in use.
func (s *Storage) Checkpoint(snapshot raft.Snapshot, hard raft.HardState, entries []raft.Entry) error {
	if s.failed {
		return ErrDurabilityUnknown
	}
	content, err := encodeLog(snapshot, hard, entries)
	if err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	if err := writeTemporary(s.fsys, logFileName, content); err != nil {
		return fmt.Errorf("checkpoint: %w: %w", ErrWriteRejected, err)
	}
	// Until the new file is open, an error leaves it unknown which file is in use.
	s.failed = true
	if err := s.file.Close(); err != nil {
		return fmt.Errorf("checkpoint: close old log: %w", err)
	}
	if err := renameTemporary(s.fsys, logFileName); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	file, err := s.fsys.OpenAppend(logFileName)
	if err != nil {
		return fmt.Errorf("checkpoint: open new log: %w", err)
	}
	s.file = file
	s.size = int64(len(content))
	s.hardState = hard
	s.failed = false
	s.tornWrite = false
	return nil
}

// Close closes the log file. Later calls of Save and Checkpoint fail.
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
