package balancer

import (
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// gatedPool returns a pool of back ends behind gates, each of which has reported.
func gatedPool(t *testing.T, zones []string, failing map[string]float64) *Pool {
	t.Helper()
	service := routing.Service{Name: "s"}
	for i, zone := range zones {
		id := string(rune('a' + i))
		service.Endpoints = append(service.Endpoints, routing.Endpoint{ID: id, Incarnation: 1, Gate: "10.0.0.1:" + id, Zone: zone, Capacity: 4})
	}
	p := NewPool(Config{Node: "n", Zone: "z", Random: func(int) int { return 0 }})
	p.Update(0, service)
	for _, e := range p.endpoints {
		e.gate = gateView{reported: true, report: exchange.Report{Capacity: 4, Service: 10 * time.Millisecond, Failing: failing[e.target.ID]}}
	}
	return p
}

// chosen counts which gates get calls at one moment, while earlier ones are under way.
func chosen(t *testing.T, p *Pool, now time.Duration, calls int, r GateRequest) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range calls {
		ticket, _, err := p.AcquireGate(now, r)
		is.New(t).NoErr(err)
		counts[ticket.ID]++
	}
	return counts
}

func TestFailingBackEndIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	zones := []string{"z", "z", "z"}
	p := gatedPool(t, zones, map[string]float64{"a": 0.4})
	counts := chosen(t, p, 0, 8, GateRequest{})
	is.Equal(counts["a"], 0) // the others have room
	p = gatedPool(t, zones, map[string]float64{"a": 0.4, "b": 0.4, "c": 0.4})
	is.Equal(len(chosen(t, p, 0, 9, GateRequest{})), 3) // all alike: nobody is left out
}

// The own zone is no reason to send calls to a back end that fails them.
func TestFailingBackEndOfTheOwnZoneIsLeft(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "other"}, map[string]float64{"a": 0.4})
	is.Equal(chosen(t, p, 0, 2, GateRequest{LocalWait: 50 * time.Millisecond})["b"], 2)
	is.Equal(chosen(t, p, 0, 1, GateRequest{LocalWait: 50 * time.Millisecond, AskLocal: true})["b"], 1)
	p = gatedPool(t, []string{"z", "other"}, map[string]float64{"a": 0.004})
	is.Equal(chosen(t, p, 0, 2, GateRequest{LocalWait: 50 * time.Millisecond})["a"], 2) // all fail now and then
}

// What can be repeated may go where it fails now and then, sooner than wait for long.
func TestRepeatableCallsAcceptMoreFailures(t *testing.T) {
	is := is.New(t)
	busy := func() *Pool {
		p := gatedPool(t, []string{"z", "z"}, map[string]float64{"a": 0.3})
		p.endpoints[1].gate.report.Running, p.endpoints[1].gate.report.Queued = 4, 12
		return p
	}
	is.Equal(chosen(t, busy(), 0, 1, GateRequest{Repeatable: true})["a"], 1)
	is.Equal(chosen(t, busy(), 0, 1, GateRequest{})["b"], 1)
}

func TestFailuresAreForgotten(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, map[string]float64{"a": 0.4})
	is.Equal(chosen(t, p, time.Second, 2, GateRequest{})["b"], 2)
	p = gatedPool(t, []string{"z", "z"}, map[string]float64{"a": 0.4})
	is.True(chosen(t, p, 8*failingMemory, 4, GateRequest{})["a"] > 0)
}
