package distribution

import (
	"fmt"
	"testing"

	"bramblelift/pkg/bundle"

	"github.com/matryer/is"
)

// stateOfRoutes is a state whose active bundle has so many routes.
func stateOfRoutes(tb testing.TB, routes int) *State {
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

// A large first state reaches a holder whole, in a fraction of its size, and is encoded once for
// all holders at one position.
func TestLargeUpdatesArePackedOnce(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(stateOfRoutes(t, 1200))
	update, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	is.True(update.Large())
	first, err := planner.Packed(update)
	is.NoErr(err)
	again, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	second, err := planner.Packed(again)
	is.NoErr(err)
	is.True(first == second)
	is.True(len(first.Data) < 40_000) // 134 KB in gob
	unpacked, err := first.Unpack()
	is.NoErr(err)
	is.Equal(unpacked, update)
	holder := NewHolder("shop", anyApproval{}, nil)
	is.NoErr(holder.Apply(unpacked))
	is.Equal(len(holder.State().Active.Content.Routes), 1200)
	planner.SetState(stateOfRoutes(t, 1200))
	is.Equal(len(planner.packed), 0) // nothing of an earlier state is kept
}

func TestSmallUpdatesAreNotPacked(t *testing.T) {
	is := is.New(t)
	update, err := NewPlanner(stateOfRoutes(t, 3)).Plan("shop", Position{})
	is.NoErr(err)
	is.True(!update.Large())
}

func TestDamagedPackedUpdateIsAnError(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(stateOfRoutes(t, 100))
	update, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	packed, err := planner.Packed(update)
	is.NoErr(err)
	_, err = (&PackedUpdate{Data: packed.Data[:len(packed.Data)/2]}).Unpack()
	is.True(err != nil)
}

// BenchmarkPack is what a large update costs a server once for all holders.
func BenchmarkPack(b *testing.B) {
	update, err := NewPlanner(stateOfRoutes(b, 2400)).Plan("shop", Position{})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := pack(update); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUnpack is what it costs each holder.
func BenchmarkUnpack(b *testing.B) {
	update, err := NewPlanner(stateOfRoutes(b, 2400)).Plan("shop", Position{})
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

// BenchmarkFirstState is what the first state costs a node besides unpacking it.
func BenchmarkFirstState(b *testing.B) {
	update, err := NewPlanner(stateOfRoutes(b, 2400)).Plan("shop", Position{})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := NewHolder("shop", anyApproval{}, nil).Apply(update); err != nil {
			b.Fatal(err)
		}
	}
}
