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

// evacuateTable has a handler answer by a state in which zones are evacuated.
func evacuateTable(handler *Handler, gates, zones []string, evacuated ...string) {
	state := gatedState(gates, zones)
	for _, zone := range evacuated {
		state = state.ChangeOrders(orders.Change{Evacuate: &orders.Evacuation{Zone: zone}})
	}
	handler.SetTable(routing.New(state))
}

// A node that is late is told by the gates: the call goes on to another at once, be it unsafe and the
// budget empty, however many gates of the zone it meets first, and they are left out for a while.
func TestLateNodeIsSentOnByEvacuatedGates(t *testing.T) {
	is := is.New(t)
	const closed = maxGateTries + 4
	var gates, zones []string
	asked := func() int64 { return 0 }
	for range closed {
		gate, calls := standInGate(t, refusing(exchange.ReasonEvacuated, NotRun))
		before := asked
		asked = func() int64 { return before() + calls.Load() }
		gates, zones = append(gates, gate), append(zones, "z")
	}
	open, served := standInGate(t, serving)
	gates, zones = append(gates, open), append(zones, "y")
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.Retry = retry.Config{} }, zones, gates...)
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
	is.Equal(served.Load(), int64(1))
	is.Equal(asked(), int64(closed)) // each was asked once, in vain
	is.Equal(n.attempts[closed-1].Number, closed)
}

// Where nobody may take the call, it is refused at once, has not run, and says when to come back.
func TestCallsOfEvacuatedZonesAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	gate, calls := standInGate(t, serving)
	gates, zones := []string{gate, gate}, []string{"z", "y"}
	var handler *Handler
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.Retry = retry.Config{} }, zones, gates...)
	handler = n.Config.Handler.(*Handler)
	evacuateTable(handler, gates, zones, "z")
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK) // the other zone serves
	evacuateTable(handler, gates, zones, "y", "z")
	before := calls.Load()
	began := time.Now()
	refused := n.call(t, "POST", "/unsafe/x", "body")
	is.True(time.Since(began) < 100*time.Millisecond)
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.Header.Get(exchange.HeaderOutcome), string(NotRun))
	after, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0)
	is.Equal(calls.Load(), before)
	evacuateTable(handler, gates, zones)
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
}

// The back end beside a node of an evacuated zone is preferred no more; the node's callers are served by
// other zones.
func TestCallersOfAnEvacuatedZoneAreServedElsewhere(t *testing.T) {
	is := is.New(t)
	own, ownCalls := standInGate(t, serving)
	other, otherCalls := standInGate(t, serving)
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
