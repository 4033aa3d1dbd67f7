package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// evacuateTable gives a handler a table in which zones are evacuated.
func evacuateTable(handler *Handler, gates, zones []string, evacuated ...string) {
	state := gatedState(gates, zones)
	for _, zone := range evacuated {
		state = state.ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: zone}})
	}
	handler.SetTable(routing.New(state))
}

// A node with an outdated table moves on from gates of an evacuated zone without using attempts or
// the retry budget, also for unsafe calls, and does not choose these gates for a while.
func TestStaleNodeMovesOnFromGatesOfAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	const closed = maxGateAttempts + 4
	var gates, zones []string
	received := func() int64 { return 0 }
	for range closed {
		gate, calls := fakeGate(t, rejectWith(exchange.ReasonEvacuated, NotRun))
		before := received
		received = func() int64 { return before() + calls.Load() }
		gates, zones = append(gates, gate), append(zones, "z")
	}
	open, served := fakeGate(t, respondOK)
	gates, zones = append(gates, open), append(zones, "y")
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.Retry = retry.Config{} }, zones, gates...)
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
	is.Equal(served.Load(), int64(1))
	is.Equal(received(), int64(closed)) // each was attempted once
	is.Equal(n.attempts[closed-1].Number, closed)
}

// If no zone may serve the call, it is rejected at once as not run, with Retry-After.
func TestCallsAreRejectedAtOnceIfAllZonesAreEvacuated(t *testing.T) {
	is := is.New(t)
	gate, calls := fakeGate(t, respondOK)
	gates, zones := []string{gate, gate}, []string{"z", "y"}
	var handler *Handler
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.Retry = retry.Config{} }, zones, gates...)
	handler = n.Config.Handler.(*Handler)
	evacuateTable(handler, gates, zones, "z")
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK) // the other zone serves
	evacuateTable(handler, gates, zones, "y", "z")
	before := calls.Load()
	began := time.Now()
	rejected := n.call(t, "POST", "/unsafe/x", "body")
	is.True(time.Since(began) < 100*time.Millisecond)
	is.Equal(rejected.StatusCode, http.StatusServiceUnavailable)
	is.Equal(rejected.Header.Get(exchange.HeaderOutcome), string(NotRun))
	after, err := strconv.ParseFloat(rejected.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0)
	is.Equal(calls.Load(), before)
	evacuateTable(handler, gates, zones)
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
}

// Guards against preferring the own back end while its zone is evacuated: other zones serve the calls.
func TestCallersOfAnEvacuatedZoneAreServedElsewhere(t *testing.T) {
	is := is.New(t)
	own, ownCalls := fakeGate(t, respondOK)
	other, otherCalls := fakeGate(t, respondOK)
	gates, zones := []string{own, other}, []string{"z", "y"}
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.GateAddress = own }, zones, gates...)
	is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK)
	is.Equal(ownCalls.Load(), int64(1))
	evacuateTable(n.Config.Handler.(*Handler), gates, zones, "z")
	for range 10 {
		is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK)
	}
	is.Equal(ownCalls.Load(), int64(1))
	is.Equal(otherCalls.Load(), int64(10))
}
