package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/eligibility"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
)

func evacuated(zones ...string) *eligibility.Rules {
	var table *orders.Table
	for _, zone := range zones {
		table = table.With(orders.Change{Evacuate: &orders.Evacuation{Zone: zone}}, 1)
	}
	return eligibility.New(table, nil)
}

// closingRecorder collects the closing changes that a gate reports.
type closingRecorder struct{ changes []ClosingChange }

func (c *closingRecorder) record(closing ClosingChange) { c.changes = append(c.changes, closing) }

// newGateInZoneA returns a gate in zone a whose back end has a capacity of one call.
func newGateInZoneA(now *time.Duration, c *closingRecorder) *Gate {
	g := New(Config{Now: func() time.Duration { return *now }, OnClosing: c.record})
	g.SetBackend(Backend{ID: "i1", Capacity: 1, Zone: "a"})
	return g
}

func (g *Gate) admitOne() (admission, exchange.Reason) {
	return g.admit(context.Background(), request{instance: "i1", deadline: time.Hour, wait: time.Minute, earlyWait: time.Minute})
}

// Closing a gate must reject queued and new calls with the evacuation as the reason, and report
// when the running call has finished.
func TestEvacuatedGateFinishesRunningCallsAndRejectsNewOnes(t *testing.T) {
	is := is.New(t)
	now, recorder := time.Duration(0), closingRecorder{}
	g := newGateInZoneA(&now, &recorder)
	g.SetRules(evacuated("b"))
	is.Equal(len(recorder.changes), 0) // only another zone is evacuated
	running, reason := g.admitOne()
	is.Equal(reason, exchange.Reason(""))
	waited := make(chan exchange.Reason, 1)
	go func() {
		_, reason := g.admitOne()
		waited <- reason
	}()
	for g.Report().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	g.SetRules(evacuated("a", "b"))
	is.Equal(<-waited, exchange.ReasonEvacuated)
	_, reason = g.admitOne()
	is.Equal(reason, exchange.ReasonEvacuated)
	is.Equal(g.startReceiving(request{instance: "i1", deadline: time.Hour}), exchange.ReasonEvacuated)
	is.Equal(g.Closed(), exchange.ReasonEvacuated)
	is.Equal(g.SenderReport(), "") // a closed gate does not advertise free capacity
	now = 3 * time.Second
	g.release(running, callResult{serviceTime: time.Second})
	is.Equal(recorder.changes, []ClosingChange{
		{Backend: "i1", Reason: exchange.ReasonEvacuated, Dropped: 1, Running: 1},
		{Backend: "i1", Reason: exchange.ReasonEvacuated, Drained: true, SinceClosed: 3 * time.Second},
	})
	g.SetRules(evacuated("a")) // orders for other zones are not reported
	is.Equal(len(recorder.changes), 2)
	now = 5 * time.Second
	g.SetRules(evacuated())
	is.Equal(recorder.changes[2], ClosingChange{Backend: "i1", SinceClosed: 5 * time.Second})
	_, reason = g.admitOne()
	is.Equal(reason, exchange.Reason(""))
}

// A back end that starts in an evacuated zone, or replaces another one there, must not receive
// calls.
func TestBackendStartingInEvacuatedZoneIsClosed(t *testing.T) {
	is := is.New(t)
	now, recorder := time.Duration(0), closingRecorder{}
	g := New(Config{Now: func() time.Duration { return now }, OnClosing: recorder.record})
	g.SetRules(evacuated("a"))
	is.Equal(g.Closed(), exchange.Reason("")) // there is no back end
	g.SetBackend(Backend{ID: "i1", Capacity: 1, Zone: "a"})
	_, reason := g.admitOne()
	is.Equal(reason, exchange.ReasonEvacuated)
	g.SetBackend(Backend{ID: "i2", Capacity: 1, Zone: "a"})
	is.Equal(g.Closed(), exchange.ReasonEvacuated)
	_, reason = g.admitOne()
	is.Equal(reason, exchange.ReasonRemoved) // i1 has left: that reason takes precedence
	g.RemoveBackend("i2")                    // i2 leaves during the evacuation
	is.Equal(g.Closed(), exchange.Reason(""))
	g.SetBackend(Backend{ID: "i3", Capacity: 1, Zone: "b"}) // i3 runs in another zone
	is.Equal(g.Closed(), exchange.Reason(""))
}

// A restarted gate that admits calls before it knows the orders must close once it gets them.
func TestGateRestartedDuringEvacuationCloses(t *testing.T) {
	is := is.New(t)
	now, recorder := time.Duration(0), closingRecorder{}
	g := newGateInZoneA(&now, &recorder)
	adm, reason := g.admitOne()
	is.Equal(reason, exchange.Reason(""))
	g.SetRules(evacuated("a"))
	_, reason = g.admitOne()
	is.Equal(reason, exchange.ReasonEvacuated)
	g.release(adm, callResult{})
	is.True(recorder.changes[len(recorder.changes)-1].Drained)
}

// Guards against a call that a stopping gate admits and cuts when its process ends.
func TestGateRejectsCallsThatOutlastItsProcess(t *testing.T) {
	is := is.New(t)
	address, calls := scriptedBackend(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	var stopsAt atomic.Int64
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	g := New(Config{Headers: testHeaders, Now: now, StopsAt: func() time.Duration { return time.Duration(stopsAt.Load()) }})
	g.SetBackend(Backend{ID: "b1", Address: address, Capacity: 1})
	is.Equal(do(g, newCall(t, "POST", "c1")).StatusCode, http.StatusOK)
	stopsAt.Store(int64(now() + time.Second))
	response := do(g, newCall(t, "POST", "c1"))
	is.Equal(reasonOf(response), exchange.ReasonOutlasts)
	is.Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.Equal(do(g, newCall(t, "POST", "c1", "Left-Ms", "500")).StatusCode, http.StatusOK)
	is.Equal(calls.Load(), int64(2))
}
