package stream

import (
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/protocol"

	"github.com/matryer/is"
)

// A server passes on that a gate is closed, how many calls run behind it, and that it is open again; what
// did not change is no report.
func TestClosedGatesAreReportedWhenTheyChange(t *testing.T) {
	is := is.New(t)
	s := &subscriber{session: NewSession("shop", protocol.Ping{}.Position)}
	closed := func(running int) *protocol.ClosedGate {
		return &protocol.ClosedGate{Reason: exchange.ReasonEvacuated, Running: running}
	}
	is.True(!s.takeClosed(nil))
	is.True(s.takeClosed(closed(2)))
	is.True(!s.takeClosed(closed(2)))
	is.Equal(s.report(true).Closed, closed(2))
	is.True(s.takeClosed(closed(0)))
	is.True(s.takeClosed(nil))
	is.True(s.report(true).Closed == nil)
}
