package routing

import (
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
)

type acceptAnyApproval struct{}

func (acceptAnyApproval) Verify(bundle.Manifest, bundle.Approval) error { return nil }

// largeContent returns a bundle with many routes, one of which depends on the version.
func largeContent(routes, version int) bundle.Content {
	c := bundle.Content{Services: []bundle.Service{{Name: "media"}, {Name: "orders"}}}
	for i := range routes {
		r := bundle.Route{
			Name: fmt.Sprintf("r-%06d", i), Host: fmt.Sprintf("h%d.example", i%3), PathPrefix: fmt.Sprintf("/base%d/", i),
			Service: "orders", Kind: bundle.KindSafe, Timeout: bundle.Duration(time.Second),
		}
		if i == version%routes {
			r.Timeout += bundle.Duration(time.Duration(version) * time.Millisecond)
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

// versionUpdates returns updates of many routes: the first adds all, each further one changes one or two.
func versionUpdates(b *testing.B, routes, versions int) []*distribution.Update {
	b.Helper()
	state := &distribution.State{}
	planner := distribution.NewPlanner(state)
	var all []*distribution.Update
	for version := 1; version <= versions; version++ {
		content := largeContent(routes, version)
		tree, err := bundle.NewTree(content)
		if err != nil {
			b.Fatal(err)
		}
		from := state.Position()
		state = state.Activate(&bundle.Signed{Manifest: bundle.Manifest{Version: uint64(version), Digest: tree.Root()}, Content: content})
		planner.SetState(state)
		update, err := planner.Plan("", from)
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, update)
	}
	return all
}

// BenchmarkApplyVersion measures a node's work for a version that changes two of 2300 routes: it verifies
// the update and builds the table.
func BenchmarkApplyVersion(b *testing.B) {
	all := versionUpdates(b, 2300, 40)
	b.ResetTimer()
	for range b.N {
		h := distribution.NewHolder("", acceptAnyApproval{}, nil)
		for _, update := range all {
			if err := h.Apply(update); err != nil {
				b.Fatal(err)
			}
			New(h.State())
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(all)), "µs/version")
}
