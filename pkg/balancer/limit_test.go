package balancer

import (
	"errors"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// limitedTicket returns a ticket of a call with a priority to the pool's only back end, which names a limit.
func limitedTicket(t *testing.T, p *Pool, priority int, limit exchange.Limit) *Ticket {
	t.Helper()
	ticket, _, err := p.AcquireGate(0, GateRequest{Priority: priority, Patience: time.Hour})
	is.New(t).NoErr(err)
	ticket.UpdateGateReport(0, exchange.Report{Capacity: 4, Limit: limit})
	return ticket
}

// Guards against rejected calls that are sent again at once because a more urgent call was admitted.
func TestAdmittedCallEndsThePausesOfMoreUrgentCallsOnly(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z"}, nil)
	p.config.Random = func(n int) int { return n - 1 }
	limit := exchange.Limit{Named: true, Rate: 1}
	isPaused := func(priority int) bool {
		_, _, err := p.AcquireGate(100*time.Millisecond, GateRequest{Priority: priority})
		limited := (*LimitError)(nil)
		return errors.As(err, &limited)
	}
	limitedTicket(t, p, 5, limit).RecordLimitRejection(0)
	is.True(isPaused(5))
	is.True(isPaused(6))
	is.True(!isPaused(1))
	p.endpoints[0].gate.sent = 0
	limitedTicket(t, p, 1, limit).Done(0, Answered)
	is.True(isPaused(5))
	limitedTicket(t, p, 5, limit).Done(0, Answered)
	p.endpoints[0].gate.sent = 0
	is.True(!isPaused(5))
}

// A pause ends when the back end names no limit any more.
func TestPauseEndsWithTheLimit(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z"}, nil)
	ticket := limitedTicket(t, p, 0, exchange.Limit{Named: true, Rate: 0.5, AdmissionDelay: time.Second})
	ticket.RecordLimitRejection(0)
	_, _, err := p.AcquireGate(0, GateRequest{Patience: 100 * time.Millisecond})
	is.True(err != nil)
	ticket.UpdateGateReport(0, exchange.Report{Capacity: 4})
	_, _, err = p.AcquireGate(0, GateRequest{Patience: 100 * time.Millisecond})
	is.NoErr(err)
}
