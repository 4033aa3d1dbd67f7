package distribution

import (
	"encoding/json"
	"testing"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
)

// Orders go to relays and nodes whole, once, also packed beside a large bundle, and a node finds them again
// in what it saved.
func TestHoldersGetOrdersWhenTheyChange(t *testing.T) {
	for _, group := range []string{"shop", bundle.ScopeAll} {
		is := is.New(t)
		state := stateOfRoutes(t, 1200).ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a"}})
		planner := NewPlanner(state)
		first, err := planner.Plan(group, Position{})
		is.NoErr(err)
		is.True(first.Large())
		packed, err := planner.Packed(first)
		is.NoErr(err)
		unpacked, err := packed.Unpack()
		is.NoErr(err)
		holder := NewHolder(group, anyApproval{}, nil)
		is.NoErr(holder.Apply(unpacked))
		is.True(holder.State().Orders.Evacuated("a"))

		// Another change brings no orders, and leaves those that are held.
		state = state.ChangeEndpoints([]Endpoint{endpoint("orders", 1, 1, Live)})
		planner.SetState(state)
		update, err := planner.Plan(group, holder.State().Position())
		is.NoErr(err)
		is.True(update.Orders == nil)
		is.NoErr(holder.Apply(update))
		is.True(holder.State().Orders.Evacuated("a"))

		saved, err := json.Marshal(holder.State())
		is.NoErr(err)
		var read State
		is.NoErr(json.Unmarshal(saved, &read))
		is.True(read.Orders.Evacuated("a"))
		holder = NewHolder(group, anyApproval{}, &read)

		state = state.ChangeOrders(orders.Change{Readmit: "a"})
		planner.SetState(state)
		update, err = planner.Plan(group, holder.State().Position())
		is.NoErr(err)
		is.True(update.Changes(holder.State().Position()))
		is.NoErr(holder.Apply(update))
		is.True(!holder.State().Orders.Evacuated("a"))
	}
}

func TestOrdersThatAreNoNewsCostNoRevision(t *testing.T) {
	is := is.New(t)
	state := (&State{}).ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a", AtMillis: 1}})
	is.True(state.ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a", AtMillis: 2}}) == state)
	is.True(state.ChangeOrders(orders.Change{Readmit: "b"}) == state)
	is.True(state.ChangeOrders(orders.Change{}) == state)
	is.Equal(state.Revision, uint64(1))
}
