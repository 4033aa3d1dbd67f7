package distribution

import (
	"fmt"
	"testing"

	"bramblelift/pkg/bundle"

	"github.com/matryer/is"
)

const manyRoutes = 1200

// newUpToDateHolder returns a holder of the group shop that has the planner's state.
func newUpToDateHolder(t *testing.T, planner *Planner) *Holder {
	t.Helper()
	holder := NewHolder("shop", acceptAllApprovals{}, nil)
	update, err := planner.Plan("shop", Position{})
	is.New(t).NoErr(err)
	is.New(t).NoErr(holder.Apply(update))
	return holder
}

// activateVersions activates versions 2 to last. Each changes one route; even ones add a service and odd ones drop it.
func activateVersions(t *testing.T, planner *Planner, last uint64) {
	t.Helper()
	for version := uint64(2); version <= last; version++ {
		content := planner.State().Active.Content
		content.Routes = append([]bundle.Route{}, content.Routes...)
		content.Routes[version%manyRoutes].PathPrefix = fmt.Sprintf("/changed%d/", version)
		content.Services = []bundle.Service{{Name: "orders"}}
		if version%2 == 0 {
			content.Services = append(content.Services, bundle.Service{Name: "prices"})
			content.Routes[0].Service = "prices"
		} else {
			content.Routes[0].Service = "orders"
		}
		content = content.Normalized()
		tree, err := bundle.NewTree(content)
		is.New(t).NoErr(err)
		signed := &bundle.Signed{Manifest: bundle.Manifest{Version: version, Digest: tree.Root()}, Content: content}
		planner.SetState(planner.State().Activate(signed))
	}
}

func TestHolderThatMissedManyVersionsGetsOnlyWhatChanged(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(newStateWithRoutes(t, manyRoutes))
	holder := newUpToDateHolder(t, planner)
	activateVersions(t, planner, 100)
	update, err := planner.Plan("shop", holder.State().Position())
	is.NoErr(err)
	is.True(!update.Reset)
	is.True(update.items() <= 101)
	is.NoErr(holder.Apply(update))
	is.Equal(holder.State().Active.Content, planner.State().Active.Content)
}

func TestHolderOfAVersionBeyondTheHistoryGetsTheWholeContent(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(newStateWithRoutes(t, manyRoutes))
	holder := newUpToDateHolder(t, planner)
	activateVersions(t, planner, maxHistorySteps+10)
	is.Equal(len(planner.history.steps), maxHistorySteps)
	update, err := planner.Plan("shop", holder.State().Position())
	is.NoErr(err)
	is.True(update.Reset)
	is.Equal(update.Bundles[0].Base, uint64(0))
	is.NoErr(holder.Apply(update))
	is.Equal(holder.State().Active.Content, planner.State().Active.Content)
}

// A planner that begins with a later state, as after a restart, has no history of the earlier ones.
func TestHistoryWithAGapIsNotUsed(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(newStateWithRoutes(t, manyRoutes))
	_, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	activateVersions(t, planner, 30)
	is.True(planner.stepsFrom(1, "shop") != nil)
	planner.history.steps[10].from = 1000
	is.True(planner.stepsFrom(1, "shop") == nil)
	is.True(planner.stepsFrom(20, "shop") != nil)
}

func TestHolderWhoseGroupLostItsScopeGetsTheWholeContent(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner(&State{Revision: 1, Active: newBundle(1, 1)})
	holder := newUpToDateHolder(t, planner)
	_, err := planner.Plan("none", Position{})
	is.NoErr(err)
	planner.SetState(planner.State().Activate(newBundle(2, 0))) // no route refers to the group
	is.True(planner.stepsFrom(1, "none") != nil)
	is.True(planner.stepsFrom(1, "shop") == nil)
	second, err := planner.Plan("shop", holder.State().Position())
	is.NoErr(err)
	is.NoErr(holder.Apply(second))
	is.Equal(holder.State().Active.Content, planner.State().Active.Content.Scope("shop"))
}
