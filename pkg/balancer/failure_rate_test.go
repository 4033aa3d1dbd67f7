package balancer

import (
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// gatedPool returns a pool of back ends behind gates, each of which has reported its failure rate.
func gatedPool(t *testing.T, zones []string, failureRates map[string]float64) *Pool {
	t.Helper()
	service := routing.Service{Name: "s"}
	for i, zone := range zones {
		id := string(rune('a' + i))
		service.Endpoints = append(service.Endpoints, routing.Endpoint{ID: id, Incarnation: 1, Gate: "10.0.0.1:" + id, Zone: zone, Capacity: 4})
	}
	p := NewPool(Config{Node: "n", Zone: "z", Random: func(int) int { return 0 }})
	p.Update(0, service)
	for _, e := range p.endpoints {
		e.gate = gateState{reported: true, report: exchange.Report{Capacity: 4, ServiceTime: 10 * time.Millisecond, FailureRate: failureRates[e.target.ID]}}
	}
	return p
}

// countAcquired acquires gates for calls that stay in flight, and counts them by back end.
func countAcquired(t *testing.T, p *Pool, now time.Duration, calls int, r GateRequest) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range calls {
		ticket, _, err := p.AcquireGate(now, r)
		is.New(t).NoErr(err)
		counts[ticket.ID]++
	}
	return counts
}

// A failing back end gets no calls while others have free capacity.
func TestFailingBackEndIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	zones := []string{"z", "z", "z"}
	p := gatedPool(t, zones, map[string]float64{"a": 0.4})
	counts := countAcquired(t, p, 0, 8, GateRequest{})
	is.Equal(counts["a"], 0) // the others have free capacity
	p = gatedPool(t, zones, map[string]float64{"a": 0.4, "b": 0.4, "c": 0.4})
	is.Equal(len(countAcquired(t, p, 0, 9, GateRequest{})), 3) // equal failure rates exclude no back end
}

// The preference for the own zone must not send calls to a back end that fails them.
func TestFailingBackEndOfTheOwnZoneIsNotPreferred(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "other"}, map[string]float64{"a": 0.4})
	is.Equal(countAcquired(t, p, 0, 2, GateRequest{LocalWait: 50 * time.Millisecond})["b"], 2)
	is.Equal(countAcquired(t, p, 0, 1, GateRequest{LocalWait: 50 * time.Millisecond, LocalGateDecides: true})["b"], 1)
	p = gatedPool(t, []string{"z", "other"}, map[string]float64{"a": 0.004})
	is.Equal(countAcquired(t, p, 0, 2, GateRequest{LocalWait: 50 * time.Millisecond})["a"], 2) // a low failure rate keeps the preference
}

// Repeatable calls accept a higher failure rate to avoid a long wait.
func TestRepeatableCallsAcceptMoreFailures(t *testing.T) {
	is := is.New(t)
	busy := func() *Pool {
		p := gatedPool(t, []string{"z", "z"}, map[string]float64{"a": 0.3})
		p.endpoints[1].gate.report.Running, p.endpoints[1].gate.report.Queued = 4, 12
		return p
	}
	is.Equal(countAcquired(t, busy(), 0, 1, GateRequest{Repeatable: true})["a"], 1)
	is.Equal(countAcquired(t, busy(), 0, 1, GateRequest{})["b"], 1)
}

// A reported failure rate must decay, so that a back end without calls is chosen again.
func TestReportedFailureRateDecays(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, map[string]float64{"a": 0.4})
	is.Equal(countAcquired(t, p, time.Second, 2, GateRequest{})["b"], 2)
	p = gatedPool(t, []string{"z", "z"}, map[string]float64{"a": 0.4})
	is.True(countAcquired(t, p, 8*failureHalfLife, 4, GateRequest{})["a"] > 0)
}
