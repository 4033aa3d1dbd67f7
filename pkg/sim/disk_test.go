package sim

import (
	"io"
	"testing"

	"bramblelift/pkg/raft"
	"bramblelift/pkg/storage"

	"github.com/matryer/is"
)

// noFolderSync is a disk on which a process ends before a folder is synced.
type noFolderSync struct{ *disk }

func (noFolderSync) SyncDir() error { return errDisk }

// Guards against a replica that is killed before a sync, acknowledges what it reads back and loses it with its power.
func TestReopenedLogSurvivesPowerLoss(t *testing.T) {
	snapshot := raft.Snapshot{Index: 1, Membership: raft.Membership{Members: []raft.Member{{ID: 1, Name: "one"}}}}
	second := []raft.Entry{{Term: 1, Index: 2, Data: []byte("second")}}
	third := []raft.Entry{{Term: 1, Index: 3, Data: []byte("third")}}
	for name, interrupt := range map[string]func(*disk) error{
		"appended": func(d *disk) error {
			log, _, err := storage.Open(d)
			if err != nil {
				return err
			}
			d.failSync = true
			return log.Save(raft.Effects{Entries: second})
		},
		"replaced": func(d *disk) error {
			log, _, err := storage.Open(d)
			if err != nil {
				return err
			}
			if err := log.Save(raft.Effects{Entries: second}); err != nil {
				return err
			}
			current := storage.FileSystem(noFolderSync{d})
			return storage.WriteFileAtomic(current, "replica.log", d.folder["replica.log"].content)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				d := newDisk(newSimulation(seed, io.Discard))
				is.NoErr(storage.Create(d, storage.Identity{ClusterID: "c", Name: "one", ReplicaID: 1}, snapshot))
				is.True(interrupt(d) != nil)
				log, state, err := storage.Open(d)
				is.NoErr(err)
				is.Equal(len(state.Entries), 1)
				if name == "replaced" {
					is.NoErr(log.Save(raft.Effects{Entries: third}))
				}
				d.crash()
				_, recovered, err := storage.Open(d)
				is.NoErr(err)
				is.True(len(recovered.Entries) > 0)
				is.Equal(len(recovered.Entries) == 2, name == "replaced")
			}
		})
	}
}
