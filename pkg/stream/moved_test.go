package stream

import (
	"testing"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/protocol"

	"github.com/matryer/is"
)

// A node whose link failed comes again over a new connection, before the server notices that the old one is
// dead: it is connected all the same, with what it said last.
func TestNodeThatCameAgainIsConnected(t *testing.T) {
	is := is.New(t)
	reports := map[string]protocol.NodeReport{}
	hub := NewHub(HubConfig{OnReport: func(r protocol.NodeReport) { reports[r.Node] = r }}, &distribution.State{})
	subscriber := func() *subscriber {
		return &subscriber{hello: protocol.Hello{Name: "node-1"}, session: NewSession("shop", distribution.Position{})}
	}
	old, again := subscriber(), subscriber()
	hub.add(old)
	hub.add(again)
	again.takeClosed(&protocol.ClosedGate{Reason: exchange.ReasonEvacuated})
	hub.remove(old)
	is.True(reports["node-1"].Connected)
	is.True(reports["node-1"].Closed != nil)
	hub.remove(again)
	is.True(!reports["node-1"].Connected)
}
