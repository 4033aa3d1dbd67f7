package distribution

import (
	"fmt"
	"testing"

	"bramblelift/pkg/bundle"

	"github.com/matryer/is"
)

// newStateWithRoutes returns a state whose active bundle has the given number of routes.
func newStateWithRoutes(tb testing.TB, routes int) *State {
	tb.Helper()
	content := bundle.Content{Services: []bundle.Service{{Name: "orders"}}}
	for i := range routes {
		content.Routes = append(content.Routes, bundle.Route{
			Name: fmt.Sprintf("r-%06d", i), Host: "orders.example", PathPrefix: fmt.Sprintf("/ward%d/", i), Service: "orders", MaxAttempts: 2,
		})
	}
	content = content.Normalized()
	tree, err := bundle.NewTree(content)
	if err != nil {
		tb.Fatal(err)
	}
	return &State{Revision: 7, Active: &bundle.Signed{Manifest: bundle.Manifest{Version: 1, Digest: tree.Root()}, Content: content}}
}

// A large update must be compressed, must be encoded once for all holders at one position, and must
// decode to the same update.
func TestLargeUpdatesArePackedOnce(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(newStateWithRoutes(t, 1200))
	update, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	is.True(update.Large())
	first, err := planner.Packing(update).Packed()
	is.NoErr(err)
	again, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	second, err := planner.Packing(again).Packed()
	is.NoErr(err)
	is.True(first == second)
	is.True(len(first.Data) < 40_000) // gob alone needs 134 KB
	unpacked, err := first.Unpack()
	is.NoErr(err)
	is.Equal(unpacked, update)
	holder := NewHolder("shop", acceptAllApprovals{}, nil)
	is.NoErr(holder.Apply(unpacked))
	is.Equal(len(holder.State().Active.Content.Routes), 1200)
	planner.SetState(newStateWithRoutes(t, 1200))
	is.Equal(len(planner.packings), 0) // SetState drops the cached updates
}

// A planner is used under a lock that also takes new states: packing must not be done there.
func TestPlannerLeavesPackingToTheSender(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(newStateWithRoutes(t, 1200))
	update, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	packing := planner.Packing(update)
	is.True(packing.packed == nil)
	planner.SetState(newStateWithRoutes(t, 10)) // while it is packed
	packed, err := packing.Packed()
	is.NoErr(err)
	unpacked, err := packed.Unpack()
	is.NoErr(err)
	is.Equal(unpacked, update)
}

func TestSmallUpdatesAreNotPacked(t *testing.T) {
	is := is.New(t)
	update, err := NewPlanner(newStateWithRoutes(t, 3)).Plan("shop", Position{})
	is.NoErr(err)
	is.True(!update.Large())
}

func TestDamagedPackedUpdateIsAnError(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(newStateWithRoutes(t, 100))
	update, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	packed, err := planner.Packing(update).Packed()
	is.NoErr(err)
	_, err = (&PackedUpdate{Data: packed.Data[:len(packed.Data)/2]}).Unpack()
	is.True(err != nil)
}

// BenchmarkPack measures how long a server packs a large update.
func BenchmarkPack(b *testing.B) {
	update, err := NewPlanner(newStateWithRoutes(b, 2400)).Plan("shop", Position{})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := pack(update); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUnpack measures how long a holder unpacks a large update.
func BenchmarkUnpack(b *testing.B) {
	update, err := NewPlanner(newStateWithRoutes(b, 2400)).Plan("shop", Position{})
	if err != nil {
		b.Fatal(err)
	}
	packed, err := pack(update)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := packed.Unpack(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFirstState measures how long a node applies its first update, without unpacking.
func BenchmarkFirstState(b *testing.B) {
	update, err := NewPlanner(newStateWithRoutes(b, 2400)).Plan("shop", Position{})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := NewHolder("shop", acceptAllApprovals{}, nil).Apply(update); err != nil {
			b.Fatal(err)
		}
	}
}
