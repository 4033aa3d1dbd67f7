package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"bramblelift/pkg/raft"

	"github.com/matryer/is"
)

var testIdentity = Identity{ClusterID: "cluster", Name: "one", ReplicaID: 7}

func firstSnapshot() raft.Snapshot {
	return raft.Snapshot{Index: 1, Membership: raft.Membership{Members: []raft.Member{{ID: 7, Name: "one"}}}}
}

// newReplica creates a replica in a folder and appends entries 2 and 3.
func newReplica(t *testing.T) (folder string, fsys *Dir) {
	t.Helper()
	is := is.New(t)
	folder = filepath.Join(t.TempDir(), "data")
	fsys, err := OpenDir(folder)
	is.NoErr(err)
	is.NoErr(Create(fsys, testIdentity, firstSnapshot()))
	opened, _, err := Open(fsys)
	is.NoErr(err)
	is.NoErr(opened.Save(raft.Effects{
		HardState: &raft.HardState{Term: 3, Vote: 7, Commit: 1},
		Entries:   []raft.Entry{{Term: 3, Index: 2, Data: []byte("second")}, {Term: 3, Index: 3, Data: []byte("third")}},
	}))
	is.NoErr(opened.Close())
	return folder, fsys
}

// lastRecordSize returns the size of the last record that newReplica writes.
func lastRecordSize() int {
	return len(appendRecord(nil, recordEntry, encodeEntry(raft.Entry{Term: 3, Index: 3, Data: []byte("third")})))
}

func TestOpenRecoversState(t *testing.T) {
	is := is.New(t)
	_, fsys := newReplica(t)
	opened, state, err := Open(fsys)
	is.NoErr(err)
	defer opened.Close()
	is.Equal(opened.Identity(), testIdentity)
	is.Equal(state.HardState, raft.HardState{Term: 3, Vote: 7, Commit: 1})
	is.Equal(len(state.Entries), 2)
	is.Equal(string(state.Entries[1].Data), "third")
}

func TestOpenTruncatesTornWriteAtEveryByte(t *testing.T) {
	is := is.New(t)
	folder, fsys := newReplica(t)
	path := filepath.Join(folder, logFileName)
	content, err := os.ReadFile(path)
	is.NoErr(err)
	last := lastRecordSize()
	for missing := 1; missing < last; missing++ {
		is.NoErr(os.WriteFile(path, content[:len(content)-missing], fileMode))
		opened, state, err := Open(fsys)
		is.NoErr(err)
		is.Equal(len(state.Entries), 1) // only the torn entry is lost
		is.NoErr(opened.Save(raft.Effects{Entries: []raft.Entry{{Term: 4, Index: 3, Data: []byte("other")}}}))
		is.NoErr(opened.Close())
		opened, state, err = Open(fsys)
		is.NoErr(err)
		is.Equal(string(state.Entries[1].Data), "other") // later writes continue after the truncation
		is.NoErr(opened.Close())
	}
}

func TestOpenRejectsCorruptRecordBeforeValidOne(t *testing.T) {
	is := is.New(t)
	folder, fsys := newReplica(t)
	path := filepath.Join(folder, logFileName)
	content, err := os.ReadFile(path)
	is.NoErr(err)
	last := lastRecordSize()
	for offset := 0; offset < len(content)-last; offset++ {
		damaged := append([]byte(nil), content...)
		damaged[offset] ^= 0x40
		is.NoErr(os.WriteFile(path, damaged, fileMode))
		_, _, err := Open(fsys)
		is.True(errors.Is(err, ErrCorrupt)) // acknowledged state must not be truncated
	}
}

func TestCreateRejectsUsedFolderAndOpenRejectsEmptyOne(t *testing.T) {
	is := is.New(t)
	_, fsys := newReplica(t)
	is.True(Create(fsys, testIdentity, firstSnapshot()) != nil)
	emptyFolder, err := OpenDir(t.TempDir())
	is.NoErr(err)
	_, _, err = Open(emptyFolder)
	is.True(errors.Is(err, ErrNoState))
}

func TestCheckpointReplacesLog(t *testing.T) {
	is := is.New(t)
	_, fsys := newReplica(t)
	opened, state, err := Open(fsys)
	is.NoErr(err)
	snapshot := firstSnapshot()
	snapshot.Index, snapshot.Term, snapshot.Data = 2, 3, []byte("state")
	is.NoErr(opened.Checkpoint(snapshot, state.HardState, state.Entries[1:]))
	is.NoErr(opened.Save(raft.Effects{Entries: []raft.Entry{{Term: 3, Index: 4}}}))
	is.NoErr(opened.Close())
	_, state, err = Open(fsys)
	is.NoErr(err)
	is.Equal(state.Snapshot.Index, uint64(2))
	is.Equal(len(state.Entries), 2)
	is.Equal(state.HardState.Term, uint64(3)) // the term survives a checkpoint
}

// syncFailingFileSystem fails every sync of files opened for appending while failing is set.
type syncFailingFileSystem struct {
	*Dir
	failing *bool
}

type syncFailingFile struct {
	File
	failing *bool
}

var errSyncFailed = errors.New("sync failed")

func (f syncFailingFile) Sync() error {
	if *f.failing {
		return errSyncFailed
	}
	return f.File.Sync()
}

func (b syncFailingFileSystem) OpenAppend(name string) (File, error) {
	file, err := b.Dir.OpenAppend(name)
	return syncFailingFile{file, b.failing}, err
}

func TestStorageRejectsCallsAfterFailedSync(t *testing.T) {
	is := is.New(t)
	_, fsys := newReplica(t)
	failing := true
	_, _, err := Open(syncFailingFileSystem{fsys, &failing})
	is.True(errors.Is(err, errSyncFailed)) // what was read may not be durable
	failing = false
	opened, _, err := Open(syncFailingFileSystem{fsys, &failing})
	is.NoErr(err)
	failing = true
	effects := raft.Effects{Entries: []raft.Entry{{Term: 3, Index: 4}}}
	is.True(errors.Is(opened.Save(effects), errSyncFailed))
	is.True(errors.Is(opened.Save(effects), ErrDurabilityUnknown)) // a retry must not succeed
	is.True(errors.Is(opened.Checkpoint(firstSnapshot(), raft.HardState{}, nil), ErrDurabilityUnknown))
}

// FuzzRecoverLog checks that no file content makes recovery panic, and that the recovered
// records encode to the valid part of the file.
func FuzzRecoverLog(f *testing.F) {
	content, err := encodeLog(firstSnapshot(), raft.HardState{Term: 2}, []raft.Entry{{Term: 2, Index: 2, Data: []byte("x")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add(content[:len(content)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, size, err := scanRecords(data)
		if err != nil {
			return
		}
		var reencoded []byte
		for _, rec := range records {
			reencoded = appendRecord(reencoded, rec.kind, rec.payload)
		}
		if string(reencoded) != string(data[:size]) {
			t.Fatalf("the recovered records differ from the first %d bytes of the file", size)
		}
		_, _ = replay(records)
	})
}

// fullFileSystem fails every write while full is set; earlier data stays.
type fullFileSystem struct {
	*Dir
	full *bool
}

type fullFile struct {
	File
	full *bool
}

var errDiskFull = errors.New("no space left")

// Write writes half of the data before it fails, as a full disk may.
func (f fullFile) Write(data []byte) (int, error) {
	if !*f.full {
		return f.File.Write(data)
	}
	written, _ := f.File.Write(data[:len(data)/2])
	return written, errDiskFull
}

func (f fullFileSystem) Create(name string) (File, error) {
	file, err := f.Dir.Create(name)
	return fullFile{file, f.full}, err
}

func (f fullFileSystem) OpenAppend(name string) (File, error) {
	file, err := f.Dir.OpenAppend(name)
	return fullFile{file, f.full}, err
}

// A full disk must not stop the replica for good: the failed write leaves no data, and succeeds
// once there is free space.
func TestStorageRecoversFromFullDisk(t *testing.T) {
	is := is.New(t)
	_, fsys := newReplica(t)
	full := false
	opened, state, err := Open(fullFileSystem{fsys, &full})
	is.NoErr(err)
	effects := raft.Effects{Entries: []raft.Entry{{Term: 3, Index: 4, Data: []byte("fourth")}}}
	full = true
	for range 3 {
		is.True(errors.Is(opened.Save(effects), ErrWriteRejected))
		is.True(errors.Is(opened.Checkpoint(firstSnapshot(), state.HardState, state.Entries), ErrWriteRejected))
	}
	full = false
	is.NoErr(opened.Save(effects))
	is.NoErr(opened.Save(raft.Effects{Entries: []raft.Entry{{Term: 3, Index: 5, Data: []byte("fifth")}}}))
	is.NoErr(opened.Close())
	_, state, err = Open(fsys)
	is.NoErr(err)
	is.Equal(len(state.Entries), 4)
	is.Equal(string(state.Entries[3].Data), "fifth")
}

func TestCreateSucceedsAfterFullDisk(t *testing.T) {
	is := is.New(t)
	fsys, err := OpenDir(t.TempDir())
	is.NoErr(err)
	full := true
	limited := fullFileSystem{fsys, &full}
	is.True(errors.Is(Create(limited, testIdentity, firstSnapshot()), ErrWriteRejected))
	full = false
	is.NoErr(Create(limited, testIdentity, firstSnapshot()))
}
