package replica

import (
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
)

// order proposes an order to the leader and requires that it is committed.
func (c *testCluster) order(number ProposalID, change orders.Change) {
	c.t.Helper()
	is := is.New(c.t)
	_, leader := c.leader()
	is.True(leader != nil)
	is.NoErr(leader.Propose(number, catalog.Command{Orders: &change}))
	c.run(200 * time.Millisecond)
	last := c.completions[len(c.completions)-1]
	is.Equal(last.Proposal, number)
	is.NoErr(last.Err)
}

// The leader is lost after the others have received the entry but before it receives their
// responses. The next leader must have applied the order, and must accept its repetition
// without a change.
func TestOrderSurvivesLossOfLeaderBeforeResponse(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, "a", "b", "c")
	c.run(2 * time.Second)
	name, leader := c.leader()
	evacuate := orders.Change{Evacuate: &orders.Evacuation{Zone: "z"}}
	is.NoErr(leader.Propose(1, catalog.Command{Orders: &evacuate}))
	c.run(testTick)         // the leader sends the entry
	c.isolated[name] = true // no response reaches the leader
	c.run(3 * time.Second)
	for _, done := range c.completions {
		is.True(done.Proposal != 1 || done.Err != nil) // the old leader must not report success
	}
	_, next := c.leader()
	is.True(next != nil && next != leader)
	is.True(next.State().Orders.Evacuated("z"))
	before := next.State().Revision
	c.order(2, evacuate)
	is.Equal(next.State().Revision, before)
	c.isolated[name] = false
	c.run(2 * time.Second)
	is.True(c.replicas[name].State().Orders.Evacuated("z"))
}

// After a restart the orders must be restored, from the log as well as from a snapshot.
func TestOrdersSurviveRestartOfAllReplicas(t *testing.T) {
	for name, entries := range map[string]int{"log": 1, "snapshot": 1200} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t, "a")
			c.run(2 * time.Second)
			c.order(1, orders.Change{Evacuate: &orders.Evacuation{Zone: "z"}})
			c.order(2, orders.Change{Evacuate: &orders.Evacuation{Zone: "y"}})
			c.order(3, orders.Change{Readmit: "y"})
			r := c.replicas["a"]
			orderIndex := r.Applied()
			for i := range entries {
				change := distribution.Endpoint{Service: "s", ID: fmt.Sprint(i), Incarnation: 1}
				is.NoErr(r.Propose(ProposalID(100+i), catalog.Command{Endpoints: &catalog.Endpoints{Changes: []distribution.Endpoint{change}}}))
			}
			c.run(100 * time.Millisecond)
			is.Equal(r.Node().SnapshotIndex() >= orderIndex, name == "snapshot")
			c.restart("a")
			c.run(2 * time.Second)
			restored := c.replicas["a"].State().Orders
			is.True(restored.Evacuated("z") && !restored.Evacuated("y"))
		})
	}
}
