package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// sharedRoute is a node's handler with a route that is shared among two services, 70 to 30. The second one's
// back end stands in zone y.
func sharedRoute(oldGate, newGate string, regions map[string]string, ordered *orders.Table, homes ...string) *Handler {
	started := time.Now()
	handler := New(Config{Node: "n", Zone: "z", Now: func() time.Duration { return time.Since(started) }, Headers: gatedHeaders})
	handler.SetTable(routing.Next(nil, &distribution.State{
		Active: &bundle.Signed{Manifest: bundle.Manifest{Version: 1}, Content: bundle.Content{
			Services: []bundle.Service{{Name: "old"}, {Name: "new"}},
			Routes: []bundle.Route{{
				Name: "shared", Host: "shop.example", PathPrefix: "/", Kind: bundle.KindSafe, MaxAttempts: 2,
				Shares:  []bundle.Share{{Service: "old", Weight: 70}, {Service: "new", Weight: 30}},
				Timeout: bundle.Duration(400 * time.Millisecond), Regions: homes,
			}},
		}},
		Endpoints: distribution.EndpointTable{
			"old": {"o": {Service: "old", ID: "o", Incarnation: 1, Gate: oldGate, Zone: "z", Capacity: 4}},
			"new": {"n": {Service: "new", ID: "n", Incarnation: 1, Gate: newGate, Zone: "y", Capacity: 4}},
		},
		Orders: ordered,
	}, regions))
	return handler
}

// Calls of a route that is shared among services go to them by weight, also while one of them has no
// room, is cold, evacuated or in no region that may serve the route: what does not fit there is refused, not moved
// to the other.
func TestCallsKeepToTheirPartOfASharedRoute(t *testing.T) {
	var none, zoneEvacuated *orders.Table
	zoneEvacuated = none.With(orders.Change{Evacuate: &orders.Evacuation{Zone: "y"}}, 1)
	regions := map[string]string{"z": "east", "y": "west"}
	for name, test := range map[string]struct {
		reason  exchange.Reason
		ordered *orders.Table
		homes   []string
	}{
		"full": {reason: exchange.ReasonFull}, "cold": {reason: exchange.ReasonCold}, "link": {reason: exchange.ReasonLink},
		"evacuated": {ordered: zoneEvacuated}, "late node": {reason: exchange.ReasonEvacuated}, "other region": {homes: []string{"east"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refuses, _ := standInGate(t, refusing(test.reason, NotRun))
			free, served := standInGate(t, serving)
			handler := sharedRoute(free, refuses, regions, test.ordered, test.homes...)
			const calls = 600
			refused := 0
			for range calls {
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://shop.example/x", nil))
				if w.Code == http.StatusServiceUnavailable {
					refused++
				}
			}
			is.Equal(int(served.Load())+refused, calls)
			share := float64(refused) / calls
			is.True(share > 0.2 && share < 0.4) // five standard deviations of 0.3
		})
	}
}
