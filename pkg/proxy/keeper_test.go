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

type anyApproval struct{}

func (anyApproval) Verify(bundle.Manifest, bundle.Approval) error { return nil }

// updateTo returns the update that brings a node from nothing to a version.
func updateTo(t *testing.T, version uint64) *distribution.Update {
	t.Helper()
	state := &distribution.State{}
	for number := uint64(1); number <= version; number++ {
		state = state.Activate(signedVersion(t, number))
	}
	update, err := distribution.NewPlanner(state).Plan("shop", distribution.Position{})
	is.New(t).NoErr(err)
	return update
}

// newKeeper returns a keeper and the versions that it has put in force.
func newKeeper(t *testing.T, files storage.FileSystem) (*Keeper, *[]uint64, *error) {
	t.Helper()
	var inForce []uint64
	var failure error
	k, err := NewKeeper(KeeperConfig{
		Files: files, Group: "shop", Verifier: anyApproval{},
		InForce:   func(state *distribution.State) { inForce = append(inForce, state.Active.Manifest.Version) },
		OnFailure: func(err error) { failure = err },
	})
	is.New(t).NoErr(err)
	k.Start()
	return k, &inForce, &failure
}

// A node without a disk does not know what it held: until somebody confirms that what it
// got is current, it may be older.
func TestNodeWithoutDiskWaitsForAConfirmation(t *testing.T) {
	is := is.New(t)
	k, inForce, _ := newKeeper(t, nil)
	is.NoErr(k.Apply(updateTo(t, 3)))
	is.Equal(len(*inForce), 0)
	is.True(!k.Serving())
	k.Confirmed(time.Second)
	is.Equal(*inForce, []uint64{3})
	is.True(k.Serving())
}

func TestNodeWithDiskStartsOnWhatItHeld(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	files, err := storage.OpenFolder(folder)
	is.NoErr(err)
	k, inForce, _ := newKeeper(t, files)
	is.NoErr(k.Apply(updateTo(t, 3)))
	k.Confirmed(time.Second)
	is.Equal(*inForce, []uint64{3})

	again, inForce, _ := newKeeper(t, files)
	is.Equal(*inForce, []uint64{3}) // at once, with nobody reachable
	older := updateTo(t, 2)
	older.To = 99 // a relay that lost count
	is.True(errors.Is(again.Apply(older), distribution.ErrOlder))
	is.Equal(*inForce, []uint64{3})

	is.NoErr(os.WriteFile(filepath.Join(folder, stateFile), []byte("{half"), 0o600))
	_, err = NewKeeper(KeeperConfig{Files: files, Group: "shop", Verifier: anyApproval{}})
	is.True(err != nil) // damage is told, not taken for a first start
}

// brokenFiles fails every sync of the folder.
type brokenFiles struct{ *storage.Folder }

var errBroken = errors.New("sync failed")

func (brokenFiles) SyncFolder() error { return errBroken }

func TestWhatIsNotDurableIsNotServed(t *testing.T) {
	is := is.New(t)
	folder, err := storage.OpenFolder(filepath.Join(t.TempDir(), "data"))
	is.NoErr(err)
	k, inForce, failure := newKeeper(t, brokenFiles{folder})
	k.Confirmed(time.Second)
	is.True(errors.Is(k.Apply(updateTo(t, 1)), errBroken))
	is.Equal(len(*inForce), 0)
	is.True(errors.Is(*failure, errBroken)) // the process must end
}

// What an earlier release saved lacks what that one did not know, though it counted its revision: after the
// upgrade all of it is told again.
func TestStateOfAnEarlierReleaseIsToldAgain(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	files, err := storage.OpenFolder(folder)
	is.NoErr(err)
	held := (&distribution.State{}).Activate(signedVersion(t, 1))
	control := held.ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a"}})
	held.Revision = control.Revision
	saved, err := json.Marshal(held)
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(folder, stateFile), saved, 0o600))

	k, inForce, _ := newKeeper(t, files)
	is.Equal(*inForce, []uint64{1}) // at once, with nobody reachable
	update, err := distribution.NewPlanner(control).Plan("shop", k.Position())
	is.NoErr(err)
	is.True(update != nil)
	is.NoErr(k.Apply(update))
	is.True(k.holder.State().Orders.Evacuated("a"))

	again, _, _ := newKeeper(t, files) // saved by this release
	is.Equal(again.Position(), control.Position())
	is.True(again.holder.State().Orders.Evacuated("a"))
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
