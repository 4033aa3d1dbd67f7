package balancer

import (
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// poolWithBusyLink returns a pool of gated back ends; the first one reports the given wait for its link.
func poolWithBusyLink(wait time.Duration, count int) *Pool {
	p := NewPool(Config{Node: "n", Zone: "own", Random: func(int) int { return 0 }})
	var endpoints []routing.Endpoint
	for i := range count {
		id := string(rune('a' + i))
		endpoints = append(endpoints, routing.Endpoint{ID: id, Address: id, Gate: id, Zone: "own", Capacity: 8})
	}
	p.Update(0, routing.Service{Name: "s", Endpoints: endpoints})
	for i, e := range p.endpoints {
		ticket := &Ticket{pool: p, endpoint: e}
		report := exchange.Report{Capacity: 8, ServiceTime: time.Duration(100+i) * time.Millisecond}
		if i == 0 {
			report.LinkWait = wait
		}
		ticket.UpdateGateReport(0, report)
	}
	return p
}

// A back end with a busy link is not chosen for large responses until the link is free; small ones still
// go there.
func TestBackEndWithBusyLinkIsNotChosenForLargeResponses(t *testing.T) {
	is := is.New(t)
	p := poolWithBusyLink(time.Second, 2)
	first := p.endpoints[0].target.ID
	choose := func(now time.Duration, large bool) string {
		ticket, _, err := p.AcquireGate(now, GateRequest{Patience: time.Second, LargeResponse: large, LocalWait: time.Second, Repeatable: true})
		is.NoErr(err)
		ticket.Done(now, Canceled)
		return ticket.ID
	}
	is.Equal(choose(0, false), first)
	is.True(choose(0, true) != first)
	is.Equal(choose(950*time.Millisecond, true), first) // the link is nearly free
	p.UpdateReport(0, exchange.Sender{ID: first, Report: exchange.Report{Capacity: 8, ServiceTime: 100 * time.Millisecond}})
	is.True(choose(0, true) != first) // a report without a response leaves the link's wait unchanged
}
