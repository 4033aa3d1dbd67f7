package balancer

import (
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// The back end beside the node is preferred unless it is excluded, too slow or failing.
func TestOwnGateIsPreferred(t *testing.T) {
	is := is.New(t)
	const maxService = 20 * time.Millisecond
	pool := func() *Pool {
		p := gatedPool(t, []string{"z", "z", "other"}, nil)
		p.config.OwnGate = p.endpoints[1].target.Gate
		p.endpoints[1].gate.report.Running = 4 // the reported load must not matter
		return p
	}
	is.Equal(countAcquired(t, pool(), 0, 5, GateRequest{OwnGateMaxService: maxService})["b"], 5)
	is.Equal(countAcquired(t, pool(), 0, 1, GateRequest{})["a"], 1)
	is.Equal(countAcquired(t, pool(), 0, 1, GateRequest{OwnGateMaxService: maxService, Excluded: []string{"b"}})["a"], 1)
	is.Equal(countAcquired(t, pool(), 0, 1, GateRequest{OwnGateMaxService: 9 * time.Millisecond})["a"], 1) // too slow for the call
	failing := pool()
	failing.endpoints[1].gate.report.FailureRate = 0.2
	is.Equal(countAcquired(t, failing, 0, 1, GateRequest{OwnGateMaxService: maxService})["a"], 1)
}

// The subset of a large service must always include the back end beside the node.
func TestSubsetIncludesTheOwnGate(t *testing.T) {
	is := is.New(t)
	service := routing.Service{Name: "s"}
	for i := range 4 * subsetSize {
		service.Endpoints = append(service.Endpoints, routing.Endpoint{
			ID: fmt.Sprintf("e%d", i), Incarnation: 1, Gate: fmt.Sprintf("10.0.0.%d:1", i), Zone: "z",
		})
	}
	for i := range 4 * subsetSize {
		p := NewPool(Config{Node: "n", Zone: "z", OwnGate: service.Endpoints[i].Gate, Random: func(int) int { return 0 }})
		p.Update(0, service)
		is.Equal(len(p.endpoints), subsetSize)
		is.Equal(countAcquired(t, p, 0, 1, GateRequest{OwnGateMaxService: time.Second})[service.Endpoints[i].ID], 1)
	}
}

// A back end without a report gets calls: its service time is assumed to be the shortest known one.
func TestBackEndWithoutReportGetsCalls(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z", "z"}, nil)
	p.endpoints[2].gate = gateState{} // no report yet
	is.True(countAcquired(t, p, 0, 9, GateRequest{LocalWait: time.Second})["c"] >= 2)
}

// With FreeSlotMaxService, a back end with a known free slot is preferred to a faster one, unless its service time
// exceeds FreeSlotMaxService or its report is old.
func TestFreeSlotIsPreferredToAFasterBackEnd(t *testing.T) {
	is := is.New(t)
	const now = time.Second
	pool := func() *Pool {
		p := gatedPool(t, []string{"z", "z", "other"}, nil)
		for _, e := range p.endpoints {
			e.gate.report.Running, e.gate.at = e.gate.report.Capacity, now
		}
		p.UpdateReport(now, exchange.Sender{ID: "c", Report: exchange.Report{Running: 1, Capacity: 4, ServiceTime: 300 * time.Millisecond}})
		p.UpdateReport(now, exchange.Sender{ID: "unknown"})
		return p
	}
	request := GateRequest{LocalWait: time.Second, FreeSlotMaxService: 400 * time.Millisecond}
	is.Equal(countAcquired(t, pool(), now, 1, request)["c"], 1)
	request.FreeSlotMaxService = 200 * time.Millisecond
	is.Equal(countAcquired(t, pool(), now, 1, request)["c"], 0)
	request.FreeSlotMaxService = 400 * time.Millisecond
	is.Equal(countAcquired(t, pool(), now+2*reportMaxAge, 1, request)["c"], 0) // the report is too old
}
