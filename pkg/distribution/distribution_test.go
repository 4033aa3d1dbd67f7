package distribution

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// acceptAllApprovals is an ApprovalVerifier for tests that need no signatures.
type acceptAllApprovals struct{}

func (acceptAllApprovals) Verify(bundle.Manifest, bundle.Approval) error { return nil }

type rejectAllApprovals struct{}

func (rejectAllApprovals) Verify(bundle.Manifest, bundle.Approval) error { return bundle.ErrApproval }

var testGroups = []string{"shop", "store", "none", bundle.ScopeAll}

// newBundle returns a bundle whose routes, secret and concurrency limit depend on variant.
func newBundle(version uint64, variant int) *bundle.Signed {
	content := bundle.Content{
		Services: []bundle.Service{{Name: "orders"}, {Name: "prices", MaxConcurrency: variant}},
		Secrets:  []bundle.Secret{{Name: "token", Value: fmt.Sprintf("t%d", variant%3)}},
		Routes: []bundle.Route{
			{Name: "orders", PathPrefix: "/orders", Service: "orders", Sources: []string{"shop"}, Secret: "token"},
			{Name: "prices", PathPrefix: "/prices", Service: "prices", Sources: []string{"shop", "store"}},
		},
	}
	if variant%4 == 0 {
		content.Routes = content.Routes[:1]
	}
	if variant%5 == 0 {
		content.Routes[0].Sources = nil
	}
	content = content.Normalized()
	tree, err := bundle.NewTree(content)
	if err != nil {
		panic(err)
	}
	return &bundle.Signed{Manifest: bundle.Manifest{Version: version, Digest: tree.Root()}, Content: content}
}

func newEndpoint(service string, number int, incarnation uint64, state EndpointState) Endpoint {
	return Endpoint{
		Service: service, ID: fmt.Sprintf("%s-%d", service, number), Incarnation: incarnation,
		Address: fmt.Sprintf("10.0.0.%d:80", number), State: state,
	}
}

// An update must not skip changes: one update must bring a holder from any earlier state to
// exactly the state that its group needs.
func TestHoldersConvergeToNewestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &State{}
		version := uint64(0)
		planner := NewPlanner(state)
		holders := map[string]*Holder{}
		for _, group := range testGroups {
			holders[group] = NewHolder(group, acceptAllApprovals{}, nil)
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			state, version = applyRandomChange(t, state, version)
			planner.SetState(state)
			for _, group := range testGroups {
				if rapid.IntRange(0, 2).Draw(t, "catches up") == 0 {
					catchUp(t, planner, holders[group], group)
				}
			}
		}
		for _, group := range testGroups {
			catchUp(t, planner, holders[group], group)
			checkHolder(t, state, holders[group], group)
		}
	})
}

func applyRandomChange(t *rapid.T, state *State, version uint64) (*State, uint64) {
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 4:
		zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
		if rapid.Bool().Draw(t, "evacuate") {
			return state.ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: zone}}), version
		}
		return state.ChangeOrders(orders.Change{Readmit: zone}), version
	case 0:
		version++
		return state.Stage(newBundle(version, rapid.IntRange(0, 9).Draw(t, "variant"))), version
	case 1:
		if state.Staged != nil {
			return state.Activate(state.Staged), version
		}
		return state, version
	default:
		change := newEndpoint(rapid.SampledFrom([]string{"orders", "prices", "other"}).Draw(t, "service"),
			rapid.IntRange(1, 4).Draw(t, "number"), uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			EndpointState(rapid.IntRange(0, 2).Draw(t, "state")))
		return state.ChangeEndpoints([]Endpoint{change}), version
	}
}

func catchUp(t *rapid.T, planner *Planner, holder *Holder, group string) {
	update, err := planner.Plan(group, holder.State().Position())
	if err != nil {
		t.Fatalf("plan for %s: %v", group, err)
	}
	if update == nil {
		return
	}
	if err := holder.Apply(update); err != nil {
		t.Fatalf("%s cannot apply: %v", group, err)
	}
}

func checkHolder(t *rapid.T, state *State, holder *Holder, group string) {
	held := holder.State()
	if held.Position() != state.Position() {
		t.Fatalf("%s holds %+v, not %+v", group, held.Position(), state.Position())
	}
	for _, zone := range []string{"a", "b"} {
		if held.Orders.Evacuated(zone) != state.Orders.Evacuated(zone) {
			t.Fatalf("%s holds zone %s with evacuated=%t", group, zone, held.Orders.Evacuated(zone))
		}
	}
	if held.Active != nil && held.Active.Content.CheckReferences() != nil {
		t.Fatalf("%s holds a route with a missing reference", group)
	}
	needed := neededServices(contentOf(held.Active), contentOf(held.Staged))
	if group == bundle.ScopeAll {
		needed = nil
	}
	if held.Endpoints.digest(nil) != state.Endpoints.digest(needed) {
		t.Fatalf("%s does not hold the endpoints that it needs", group)
	}
}

// newHolderWithBundle returns a state with version 1 active, its planner, and a holder of the group shop that
// has applied it.
func newHolderWithBundle(t *testing.T) (*State, *Planner, *Holder) {
	t.Helper()
	state := (&State{}).Activate(newBundle(1, 1)).ChangeEndpoints([]Endpoint{newEndpoint("orders", 1, 1, Live)})
	planner := NewPlanner(state)
	holder := NewHolder("shop", acceptAllApprovals{}, nil)
	update, err := planner.Plan("shop", Position{})
	is.New(t).NoErr(err)
	is.New(t).NoErr(holder.Apply(update))
	return state, planner, holder
}

func TestInvalidUpdateLeavesStateUnchanged(t *testing.T) {
	for name, test := range map[string]struct {
		corrupt func(*Update)
		want    error
	}{
		"gap":             {func(u *Update) { u.From += 10; u.To += 10 }, ErrRevisionGap},
		"older version":   {func(u *Update) { u.Active = 0 }, ErrOlderVersion},
		"missing bundle":  {func(u *Update) { u.Bundles = nil }, ErrMissingBundle},
		"unknown base":    {func(u *Update) { u.Bundles[0].Base = 77 }, ErrMissingBundle},
		"changed content": {func(u *Update) { u.Bundles[0].Delta.HandBack = true }, bundle.ErrDigest},
		"missing secret": {func(u *Update) {
			u.Bundles[0].Delta.Secrets, u.Bundles[0].Delta.RemovedSecrets = nil, []string{"token"}
		}, bundle.ErrDigest},
		"other scope":      {func(u *Update) { u.Bundles[0].Scope = "store" }, ErrScope},
		"missing endpoint": {func(u *Update) { u.Endpoints = nil }, ErrEndpointDigest},
		"other endpoint":   {func(u *Update) { u.Endpoints[0].Address = "10.9.9.9:80" }, ErrEndpointDigest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state, planner, holder := newHolderWithBundle(t)
			before := holder.State()
			planner.SetState(state.Activate(newBundle(2, 2)).ChangeEndpoints([]Endpoint{newEndpoint("orders", 2, 1, Live)}))
			update, err := planner.Plan("shop", before.Position())
			is.NoErr(err)
			test.corrupt(update)
			is.True(errors.Is(holder.Apply(update), test.want))
			is.Equal(holder.State(), before) // nothing was applied partially
		})
	}
}

func TestUnapprovedBundleIsRejected(t *testing.T) {
	is := is.New(t)
	planner := NewPlanner((&State{}).Activate(newBundle(1, 1)))
	update, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	holder := NewHolder("shop", rejectAllApprovals{}, nil)
	is.True(errors.Is(holder.Apply(update), bundle.ErrApproval))
	is.Equal(holder.State().Position(), Position{})
}

func TestOutdatedUpdatesChangeNothing(t *testing.T) {
	is := is.New(t)
	state, planner, holder := newHolderWithBundle(t)
	first, err := planner.Plan("shop", Position{})
	is.NoErr(err)
	planner.SetState(state.Activate(newBundle(2, 2)))
	second, err := planner.Plan("shop", holder.State().Position())
	is.NoErr(err)
	is.NoErr(holder.Apply(second))
	is.NoErr(holder.Apply(first)) // delivered out of order
	is.NoErr(holder.Apply(second))
	is.Equal(holder.State().Position().Active, uint64(2))
}

func TestNodesGetNoUpdatesOutsideTheirScope(t *testing.T) {
	is := is.New(t)
	state, planner, holder := newHolderWithBundle(t)
	position := holder.State().Position()
	planner.SetState(state.ChangeEndpoints([]Endpoint{newEndpoint("other", 1, 1, Live)}))
	update, err := planner.Plan("shop", position)
	is.NoErr(err)
	is.True(!update.Changes(position)) // nothing is sent
}

func TestEndpointReturnsOnlyWithHigherIncarnation(t *testing.T) {
	is := is.New(t)
	state := (&State{}).ChangeEndpoints([]Endpoint{newEndpoint("a", 1, 3, Live)})
	state = state.ChangeEndpoints([]Endpoint{newEndpoint("a", 1, 3, Leaving)})
	for _, outdated := range []Endpoint{newEndpoint("a", 1, 3, Live), newEndpoint("a", 1, 2, Live), newEndpoint("a", 1, 3, Leaving)} {
		is.Equal(state.ChangeEndpoints([]Endpoint{outdated}), state) // an outdated list changes nothing
	}
	revived := state.ChangeEndpoints([]Endpoint{newEndpoint("a", 1, 4, Live)})
	is.Equal(revived.Endpoints["a"]["a-1"].State, Live)
}

func TestDroppedTombstonesForceReset(t *testing.T) {
	is := is.New(t)
	state := &State{}
	var added, removed []Endpoint
	for number := range maxTombstones + 2 {
		added = append(added, newEndpoint("a", number, 1, Live))
		removed = append(removed, newEndpoint("a", number, 1, Removed))
	}
	state = state.ChangeEndpoints(added)
	early := state.Position()
	for batch := range slices.Chunk(removed, maxTombstones/4) {
		state = state.ChangeEndpoints(batch)
	}
	is.True(state.Horizon > early.Revision)
	update, err := NewPlanner(state).Plan("shop", early)
	is.NoErr(err)
	is.True(update.Reset)
}
