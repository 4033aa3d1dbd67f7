package stream

import (
	"testing"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/protocol"

	"github.com/matryer/is"
)

// A node that has reconnected must not be reported as disconnected when its old connection ends.
func TestReconnectedNodeStaysConnectedWhenOldConnectionEnds(t *testing.T) {
	is := is.New(t)
	reports := map[string]protocol.NodeReport{}
	hub := NewHub(HubConfig{OnReport: func(r protocol.NodeReport) { reports[r.Node] = r }}, &distribution.State{})
	subscriber := func() *subscriber {
		return &subscriber{hello: protocol.Hello{Name: "node-1"}, session: NewSession("shop", distribution.Position{})}
	}
	old, renewed := subscriber(), subscriber()
	hub.add(old)
	hub.add(renewed)
	renewed.setClosed(&protocol.ClosedGate{Reason: exchange.ReasonEvacuated})
	hub.remove(old)
	is.True(reports["node-1"].Connected)
	is.True(reports["node-1"].Closed != nil)
	hub.remove(renewed)
	is.True(!reports["node-1"].Connected)
}
