package distribution

import (
	"encoding/json"
	"testing"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
)

// Orders must be sent completely and only when they changed, also in packed updates, and must survive the
// holder's saved state.
func TestHoldersGetChangedOrders(t *testing.T) {
	for _, group := range []string{"shop", bundle.ScopeAll} {
		is := is.New(t)
		state := newStateWithRoutes(t, 1200).ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a"}})
		planner := NewPlanner(state)
		first, err := planner.Plan(group, Position{})
		is.NoErr(err)
		is.True(first.Large())
		packed, err := planner.Packing(first).Packed()
		is.NoErr(err)
		unpacked, err := packed.Unpack()
		is.NoErr(err)
		holder := NewHolder(group, acceptAllApprovals{}, nil)
		is.NoErr(holder.Apply(unpacked))
		is.True(holder.State().Orders.Evacuated("a"))

		// An update for another change carries no orders and keeps the held ones.
		state = state.ChangeEndpoints([]Endpoint{newEndpoint("orders", 1, 1, Live)})
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
		holder = NewHolder(group, acceptAllApprovals{}, &read)

		state = state.ChangeOrders(orders.Change{Readmit: "a"})
		planner.SetState(state)
		update, err = planner.Plan(group, holder.State().Position())
		is.NoErr(err)
		is.True(update.Changes(holder.State().Position()))
		is.NoErr(holder.Apply(update))
		is.True(!holder.State().Orders.Evacuated("a"))
	}
}

func TestRepeatedOrdersAddNoRevision(t *testing.T) {
	is := is.New(t)
	state := (&State{}).ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a", AtMillis: 1}})
	is.True(state.ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: "a", AtMillis: 2}}) == state)
	is.True(state.ChangeOrders(orders.Change{Readmit: "b"}) == state)
	is.True(state.ChangeOrders(orders.Change{}) == state)
	is.Equal(state.Revision, uint64(1))
}
