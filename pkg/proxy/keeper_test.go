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

// startKeeper returns a started keeper, the versions that it has activated and its save error.
func startKeeper(t *testing.T, files storage.FileSystem) (*Keeper, *[]uint64, *error) {
	t.Helper()
	var inForce []uint64
	var failure error
	k, err := NewKeeper(KeeperConfig{
		Files: files, Group: "shop", Verifier: acceptAllVerifier{},
		InForce:   func(state *distribution.State) { inForce = append(inForce, state.Active.Manifest.Version) },
		OnFailure: func(err error) { failure = err },
	})
	is.New(t).NoErr(err)
	k.Start()
	return k, &inForce, &failure
}

// A node without a disk must not serve a version that may be older than one that it served
// before a restart.
func TestNodeWithoutDiskServesOnlyConfirmedConfiguration(t *testing.T) {
	is := is.New(t)
	k, inForce, _ := startKeeper(t, nil)
	is.NoErr(k.Apply(fullUpdate(t, 3)))
	is.Equal(len(*inForce), 0)
	is.True(!k.Serving())
	k.Confirmed(time.Second)
	is.Equal(*inForce, []uint64{3})
	is.True(k.Serving())
}

func TestNodeWithDiskServesSavedConfigurationAtStart(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	files, err := storage.OpenDir(folder)
	is.NoErr(err)
	k, inForce, _ := startKeeper(t, files)
	is.NoErr(k.Apply(fullUpdate(t, 3)))
	k.Confirmed(time.Second)
	is.Equal(*inForce, []uint64{3})

	restarted, inForce, _ := startKeeper(t, files)
	is.Equal(*inForce, []uint64{3}) // the saved configuration is active without a connection
	older := fullUpdate(t, 2)
	older.To = 99 // a relay with a wrong revision
	is.True(errors.Is(restarted.Apply(older), distribution.ErrOlderVersion))
	is.Equal(*inForce, []uint64{3})

	is.NoErr(os.WriteFile(filepath.Join(folder, stateFile), []byte("{half"), 0o600))
	_, err = NewKeeper(KeeperConfig{Files: files, Group: "shop", Verifier: acceptAllVerifier{}})
	is.True(err != nil) // a damaged file is an error, not a first start
}

// failingSyncFolder fails every sync of the folder.
type failingSyncFolder struct{ *storage.Dir }

var errSync = errors.New("sync failed")

func (failingSyncFolder) SyncDir() error { return errSync }

func TestUnsavedConfigurationIsNotServed(t *testing.T) {
	is := is.New(t)
	folder, err := storage.OpenDir(filepath.Join(t.TempDir(), "data"))
	is.NoErr(err)
	k, inForce, failure := startKeeper(t, failingSyncFolder{folder})
	k.Confirmed(time.Second)
	is.True(errors.Is(k.Apply(fullUpdate(t, 1)), errSync))
	is.Equal(len(*inForce), 0)
	is.True(errors.Is(*failure, errSync)) // the process must exit
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

	k, inForce, _ := startKeeper(t, files)
	is.Equal(*inForce, []uint64{1}) // the saved configuration is active without a connection
	update, err := distribution.NewPlanner(controlState).Plan("shop", k.Position())
	is.NoErr(err)
	is.True(update != nil)
	is.NoErr(k.Apply(update))
	is.True(k.holder.State().Orders.Evacuated("a"))

	restarted, _, _ := startKeeper(t, files) // saved by this release
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
