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

// newReplica makes a replica in a folder and appends entries 2 and 3.
func newReplica(t *testing.T) (folder string, files *Folder) {
	t.Helper()
	is := is.New(t)
	folder = filepath.Join(t.TempDir(), "data")
	files, err := OpenFolder(folder)
	is.NoErr(err)
	is.NoErr(Create(files, testIdentity, firstSnapshot()))
	opened, _, err := Open(files)
	is.NoErr(err)
	is.NoErr(opened.Save(raft.Effects{
		HardState: &raft.HardState{Term: 3, Vote: 7, Commit: 1},
		Entries:   []raft.Entry{{Term: 3, Index: 2, Data: []byte("second")}, {Term: 3, Index: 3, Data: []byte("third")}},
	}))
	is.NoErr(opened.Close())
	return folder, files
}

// lastRecordSize is the size of the last record that newReplica writes.
func lastRecordSize() int {
	return len(appendRecord(nil, recordEntry, encodeEntry(raft.Entry{Term: 3, Index: 3, Data: []byte("third")})))
}

func TestStateComesBack(t *testing.T) {
	is := is.New(t)
	_, files := newReplica(t)
	opened, state, err := Open(files)
	is.NoErr(err)
	defer opened.Close()
	is.Equal(opened.Identity(), testIdentity)
	is.Equal(state.HardState, raft.HardState{Term: 3, Vote: 7, Commit: 1})
	is.Equal(len(state.Entries), 2)
	is.Equal(string(state.Entries[1].Data), "third")
}

func TestTornTailIsCutAtEveryByte(t *testing.T) {
	is := is.New(t)
	folder, files := newReplica(t)
	path := filepath.Join(folder, logName)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	last := lastRecordSize()
	for cut := 1; cut < last; cut++ {
		is.NoErr(os.WriteFile(path, whole[:len(whole)-cut], fileMode))
		opened, state, err := Open(files)
		is.NoErr(err)
		is.Equal(len(state.Entries), 1) // only the torn entry is gone
		is.NoErr(opened.Save(raft.Effects{Entries: []raft.Entry{{Term: 4, Index: 3, Data: []byte("other")}}}))
		is.NoErr(opened.Close())
		opened, state, err = Open(files)
		is.NoErr(err)
		is.Equal(string(state.Entries[1].Data), "other") // later writes follow the cut
		is.NoErr(opened.Close())
	}
}

func TestCorruptMiddleIsAnError(t *testing.T) {
	is := is.New(t)
	folder, files := newReplica(t)
	path := filepath.Join(folder, logName)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	last := lastRecordSize()
	for offset := 0; offset < len(whole)-last; offset++ {
		damaged := append([]byte(nil), whole...)
		damaged[offset] ^= 0x40
		is.NoErr(os.WriteFile(path, damaged, fileMode))
		_, _, err := Open(files)
		is.True(errors.Is(err, ErrCorrupt)) // acknowledged state must not be cut away
	}
}

func TestFolderIsNotReused(t *testing.T) {
	is := is.New(t)
	_, files := newReplica(t)
	is.True(Create(files, testIdentity, firstSnapshot()) != nil)
	empty, err := OpenFolder(t.TempDir())
	is.NoErr(err)
	_, _, err = Open(empty)
	is.True(errors.Is(err, ErrNoState))
}

func TestCheckpointReplacesLog(t *testing.T) {
	is := is.New(t)
	_, files := newReplica(t)
	opened, state, err := Open(files)
	is.NoErr(err)
	snapshot := firstSnapshot()
	snapshot.Index, snapshot.Term, snapshot.Data = 2, 3, []byte("state")
	is.NoErr(opened.Checkpoint(snapshot, state.HardState, state.Entries[1:]))
	is.NoErr(opened.Save(raft.Effects{Entries: []raft.Entry{{Term: 3, Index: 4}}}))
	is.NoErr(opened.Close())
	_, state, err = Open(files)
	is.NoErr(err)
	is.Equal(state.Snapshot.Index, uint64(2))
	is.Equal(len(state.Entries), 2)
	is.Equal(state.HardState.Term, uint64(3)) // the vote survives a checkpoint
}

// brokenFiles fails the sync of every file.
type brokenFiles struct{ *Folder }

type brokenFile struct{ File }

var errBrokenSync = errors.New("sync failed")

func (brokenFile) Sync() error { return errBrokenSync }

func (b brokenFiles) OpenAppend(name string) (File, error) {
	file, err := b.Folder.OpenAppend(name)
	return brokenFile{file}, err
}

func TestFailedSyncEndsStorage(t *testing.T) {
	is := is.New(t)
	_, files := newReplica(t)
	opened, _, err := Open(brokenFiles{files})
	is.NoErr(err)
	effects := raft.Effects{Entries: []raft.Entry{{Term: 3, Index: 4}}}
	is.True(errors.Is(opened.Save(effects), errBrokenSync))
	is.True(errors.Is(opened.Save(effects), ErrFailed)) // a second try must not pass
	is.True(errors.Is(opened.Checkpoint(firstSnapshot(), raft.HardState{}, nil), ErrFailed))
}

// FuzzRecoverLog checks that no file content makes recovery panic, and that what is
// recovered is what the whole records say.
func FuzzRecoverLog(f *testing.F) {
	whole, err := encodeLog(firstSnapshot(), raft.HardState{Term: 2}, []raft.Entry{{Term: 2, Index: 2, Data: []byte("x")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, size, err := scanRecords(data)
		if err != nil {
			return
		}
		var again []byte
		for _, next := range records {
			again = appendRecord(again, next.kind, next.payload)
		}
		if string(again) != string(data[:size]) {
			t.Fatalf("the whole part of %d bytes does not read back", size)
		}
		_, _ = replay(records)
	})
}

// fullFiles refuses every write while full is set; what was written before stays.
type fullFiles struct {
	*Folder
	full *bool
}

type fullFile struct {
	File
	full *bool
}

var errFull = errors.New("no space left")

// Write takes a part of what it is given, as a full disk may.
func (f fullFile) Write(data []byte) (int, error) {
	if !*f.full {
		return f.File.Write(data)
	}
	taken, _ := f.File.Write(data[:len(data)/2])
	return taken, errFull
}

func (f fullFiles) Create(name string) (File, error) {
	file, err := f.Folder.Create(name)
	return fullFile{file, f.full}, err
}

func (f fullFiles) OpenAppend(name string) (File, error) {
	file, err := f.Folder.OpenAppend(name)
	return fullFile{file, f.full}, err
}

// A disk without room must not end the replica: the same write passes once there is room,
// and what the refused one left behind does not count.
func TestFullDiskHeals(t *testing.T) {
	is := is.New(t)
	_, files := newReplica(t)
	full := false
	opened, state, err := Open(fullFiles{files, &full})
	is.NoErr(err)
	effects := raft.Effects{Entries: []raft.Entry{{Term: 3, Index: 4, Data: []byte("fourth")}}}
	full = true
	for range 3 {
		is.True(errors.Is(opened.Save(effects), ErrNoRoom))
		is.True(errors.Is(opened.Checkpoint(firstSnapshot(), state.HardState, state.Entries), ErrNoRoom))
	}
	full = false
	is.NoErr(opened.Save(effects))
	is.NoErr(opened.Save(raft.Effects{Entries: []raft.Entry{{Term: 3, Index: 5, Data: []byte("fifth")}}}))
	is.NoErr(opened.Close())
	_, state, err = Open(files)
	is.NoErr(err)
	is.Equal(len(state.Entries), 4)
	is.Equal(string(state.Entries[3].Data), "fifth")
}

func TestFullDiskAtTheFirstStart(t *testing.T) {
	is := is.New(t)
	files, err := OpenFolder(t.TempDir())
	is.NoErr(err)
	full := true
	limited := fullFiles{files, &full}
	is.True(errors.Is(Create(limited, testIdentity, firstSnapshot()), ErrNoRoom))
	full = false
	is.NoErr(Create(limited, testIdentity, firstSnapshot()))
}
