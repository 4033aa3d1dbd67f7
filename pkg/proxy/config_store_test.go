package proxy

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/storage"

	"github.com/matryer/is"
)

type acceptAllVerifier struct{}

func (acceptAllVerifier) Verify(bundle.Manifest, bundle.Approval) error { return nil }

// fullUpdate returns an update from an empty state to a version.
func fullUpdate(t *testing.T, version uint64) *distribution.Update {
	t.Helper()
	state := &distribution.State{}
	for number := uint64(1); number <= version; number++ {
		state = state.Activate(signedVersion(t, number))
	}
	update, err := distribution.NewPlanner(state).Plan("shop", distribution.Position{})
	is.New(t).NoErr(err)
	return update
}

// startStore returns a started store, the versions that it has activated and its save error.
func startStore(t *testing.T, files storage.FileSystem) (*ConfigStore, *[]uint64, *error) {
	t.Helper()
	var activated []uint64
	var failure error
	s, err := NewConfigStore(StoreConfig{
		Files: files, Group: "shop", Verifier: acceptAllVerifier{},
		OnActivate: func(state *distribution.State) { activated = append(activated, state.Active.Manifest.Version) },
		OnFailure:  func(err error) { failure = err },
	})
	is.New(t).NoErr(err)
	s.Start()
	return s, &activated, &failure
}

// A node without a disk must not serve a version that may be older than one that it served
// before a restart.
func TestNodeWithoutDiskServesOnlyConfirmedConfiguration(t *testing.T) {
	is := is.New(t)
	s, activated, _ := startStore(t, nil)
	is.NoErr(s.Apply(fullUpdate(t, 3)))
	is.Equal(len(*activated), 0)
	is.True(!s.Serving())
	s.Confirmed(time.Second)
	is.Equal(*activated, []uint64{3})
	is.True(s.Serving())
}

func TestNodeWithDiskServesSavedConfigurationAtStart(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	files, err := storage.OpenDir(folder)
	is.NoErr(err)
	s, activated, _ := startStore(t, files)
	is.NoErr(s.Apply(fullUpdate(t, 3)))
	s.Confirmed(time.Second)
	is.Equal(*activated, []uint64{3})

	restarted, activated, _ := startStore(t, files)
	is.Equal(*activated, []uint64{3}) // the saved configuration is active without a connection
	older := fullUpdate(t, 2)
	older.To = 99 // a relay with a wrong revision
	is.True(errors.Is(restarted.Apply(older), distribution.ErrOlderVersion))
	is.Equal(*activated, []uint64{3})

	is.NoErr(os.WriteFile(filepath.Join(folder, stateFile), []byte("{half"), 0o600))
	_, err = NewConfigStore(StoreConfig{Files: files, Group: "shop", Verifier: acceptAllVerifier{}})
	is.True(err != nil) // a damaged file is an error, not a first start
}

// failingSyncDir fails every sync of the folder.
type failingSyncDir struct{ *storage.Dir }

var errSync = errors.New("sync failed")

func (failingSyncDir) SyncDir() error { return errSync }

func TestUnsavedConfigurationIsNotServed(t *testing.T) {
	is := is.New(t)
	folder, err := storage.OpenDir(filepath.Join(t.TempDir(), "data"))
	is.NoErr(err)
	s, activated, failure := startStore(t, failingSyncDir{folder})
	s.Confirmed(time.Second)
	is.True(errors.Is(s.Apply(fullUpdate(t, 1)), errSync))
	is.Equal(len(*activated), 0)
	is.True(errors.Is(*failure, errSync)) // the process must exit
}

// Guards against serving a configuration that a power loss would replace by an older one.
func TestSavedConfigurationIsDurableBeforeItIsServed(t *testing.T) {
	is := is.New(t)
	folder, err := storage.OpenDir(filepath.Join(t.TempDir(), "data"))
	is.NoErr(err)
	s, _, _ := startStore(t, folder)
	is.NoErr(s.Apply(fullUpdate(t, 1)))
	_, err = NewConfigStore(StoreConfig{Files: failingSyncDir{folder}, Group: "shop", Verifier: acceptAllVerifier{}})
	is.True(errors.Is(err, errSync))
}

// A state saved by an earlier release lacks data that its revision covers; after the upgrade the node
// must receive the full state.
func TestStateSavedByEarlierReleaseIsSentAgainInFull(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	files, err := storage.OpenDir(folder)
	is.NoErr(err)
	nodeState := (&distribution.State{}).Activate(signedVersion(t, 1))
	controlState := nodeState.ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a"}})
	nodeState.Revision = controlState.Revision
	saved, err := json.Marshal(nodeState)
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(folder, stateFile), saved, 0o600))

	s, activated, _ := startStore(t, files)
	is.Equal(*activated, []uint64{1}) // the saved configuration is active without a connection
	update, err := distribution.NewPlanner(controlState).Plan("shop", s.Position())
	is.NoErr(err)
	is.True(update != nil)
	is.NoErr(s.Apply(update))
	is.True(s.holder.State().Orders.Evacuated("a"))

	restarted, _, _ := startStore(t, files) // this release saved the state that is loaded here
	is.Equal(restarted.Position(), controlState.Position())
	is.True(restarted.holder.State().Orders.Evacuated("a"))
}

func signedVersion(t *testing.T, number uint64) *bundle.Signed {
	t.Helper()
	content := bundle.Content{
		Services: []bundle.Service{{Name: "s"}},
		Routes:   []bundle.Route{{Name: "r", PathPrefix: "/", Service: "s"}},
	}
	tree, err := bundle.NewTree(content)
	is.New(t).NoErr(err)
	return &bundle.Signed{Manifest: bundle.Manifest{Version: number, Digest: tree.Root()}, Content: content}
}
