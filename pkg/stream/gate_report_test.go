package stream

import (
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/protocol"

	"github.com/matryer/is"
)

// Operators must see each change of a gate's state and running calls, and no duplicate reports.
func TestGateStateIsReportedOnlyOnChange(t *testing.T) {
	is := is.New(t)
	s := &subscriber{session: NewSession("shop", protocol.Ping{}.Position)}
	closed := func(running int) *protocol.ClosedGate {
		return &protocol.ClosedGate{Reason: exchange.ReasonEvacuated, Running: running}
	}
	is.True(!s.setClosed(nil))
	is.True(s.setClosed(closed(2)))
	is.True(!s.setClosed(closed(2)))
	is.Equal(s.report(true).Closed, closed(2))
	is.True(s.setClosed(closed(0)))
	is.True(s.setClosed(nil))
	is.True(s.report(true).Closed == nil)
}
