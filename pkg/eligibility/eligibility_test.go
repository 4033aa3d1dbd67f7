package eligibility

import (
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/rollout"

	"github.com/matryer/is"
)

func TestEvacuationAndRegionRules(t *testing.T) {
	is := is.New(t)
	var table *orders.Table
	table = table.With(orders.Change{Evacuate: &orders.Evacuation{Zone: "a"}}, 1)
	rules := New(table, map[string]string{"a": "east", "b": "east", "c": "west"})
	is.Equal(rules.RejectReasonOf(Backend{Zone: "a"}), exchange.ReasonEvacuated)
	is.Equal(rules.RejectReasonOf(Backend{Zone: "b"}), exchange.Reason(""))
	is.True(rules.InRegions("b", []string{"east"}))
	is.True(!rules.InRegions("c", []string{"east"}))
	is.True(rules.InRegions("c", nil))                 // no restriction
	is.True(!rules.InRegions("zzz", []string{"east"})) // the zone has no region
	var none *Rules
	is.Equal(none.RejectReasonOf(Backend{Zone: "a"}), exchange.Reason(""))
	is.True(none.InRegions("a", nil))
}

func TestRolloutPhasesRefuseAndCloseBackends(t *testing.T) {
	is := is.New(t)
	for phase, want := range map[rollout.Phase]struct {
		new       exchange.Reason // why back ends of the new version are refused
		oldCloses bool            // whether gates of the old version close
	}{
		rollout.Running: {}, rollout.Closing: {oldCloses: true}, rollout.Completed: {},
		rollout.Reverting: {new: exchange.ReasonVersion}, rollout.RolledBack: {new: exchange.ReasonVersion},
	} {
		rules := New(&orders.Table{Rollouts: []rollout.Rollout{{Service: "s", Version: "v2", Phase: phase}}}, nil)
		is.Equal(rules.RejectReasonOf(Backend{Service: "s", Version: "v2"}), want.new)
		is.Equal(rules.RejectReasonOf(Backend{Service: "s", Version: "v1"}), exchange.Reason(""))
		is.Equal(rules.RejectReasonOf(Backend{Service: "t", Version: "v2"}), exchange.Reason(""))
		is.Equal(rules.Closes(Backend{Service: "s", Version: "v1"}), want.oldCloses)
		is.True(!rules.Closes(Backend{Service: "s", Version: "v2"}))
		is.True(!rules.Closes(Backend{Service: "t", Version: "v1"}))
	}
	var none *Rules
	is.True(!none.Closes(Backend{Service: "s", Version: "v1"}))
}
