package eligibility

import (
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
)

func TestWhoMayTakeCalls(t *testing.T) {
	is := is.New(t)
	var table *orders.Table
	table = table.With(orders.Change{Evacuate: &orders.Evacuation{Zone: "a"}}, 1)
	rules := New(table, map[string]string{"a": "east", "b": "east", "c": "west"})
	is.Equal(rules.Refuses(Backend{Zone: "a"}), exchange.ReasonEvacuated)
	is.Equal(rules.Refuses(Backend{Zone: "b"}), exchange.Reason(""))
	is.True(rules.InRegions("b", []string{"east"}))
	is.True(!rules.InRegions("c", []string{"east"}))
	is.True(rules.InRegions("c", nil))                 // all may
	is.True(!rules.InRegions("zzz", []string{"east"})) // not known: rather not
	var none *Rules
	is.Equal(none.Refuses(Backend{Zone: "a"}), exchange.Reason(""))
	is.True(none.InRegions("a", nil))
}
