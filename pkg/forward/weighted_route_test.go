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

// weightedRoute returns a handler with a route shared by two services, 70 to 30. The back end of the
// second is in zone y.
func weightedRoute(oldGate, newGate string, regions map[string]string, ordered *orders.Table, allowedRegions ...string) *Handler {
	started := time.Now()
	handler := New(Config{Node: "n", Zone: "z", Now: func() time.Duration { return time.Since(started) }, Headers: gatedHeaders})
	handler.SetTable(routing.Update(nil, &distribution.State{
		Active: &bundle.Signed{Manifest: bundle.Manifest{Version: 1}, Content: bundle.Content{
			Services: []bundle.Service{{Name: "old"}, {Name: "new"}},
			Routes: []bundle.Route{{
				Name: "shared", Host: "shop.example", PathPrefix: "/", Kind: bundle.KindSafe, MaxAttempts: 2,
				Shares:  []bundle.Share{{Service: "old", Weight: 70}, {Service: "new", Weight: 30}},
				Timeout: bundle.Duration(400 * time.Millisecond), Regions: allowedRegions,
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

// Guards against moving calls of a weighted route to the other service when their own one is full,
// cold, evacuated or in an excluded region: these calls are rejected.
func TestWeightsHoldIfOneServiceIsUnavailable(t *testing.T) {
	var none, zoneEvacuated *orders.Table
	zoneEvacuated = none.With(orders.Change{Evacuate: &orders.Evacuation{Zone: "y"}}, 1)
	regions := map[string]string{"z": "east", "y": "west"}
	for name, test := range map[string]struct {
		reason         exchange.Reason
		ordered        *orders.Table
		allowedRegions []string
	}{
		"full": {reason: exchange.ReasonFull}, "cold": {reason: exchange.ReasonCold}, "link": {reason: exchange.ReasonLink},
		"evacuated": {ordered: zoneEvacuated}, "late node": {reason: exchange.ReasonEvacuated}, "other region": {allowedRegions: []string{"east"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rejecting, _ := fakeGate(t, rejectWith(test.reason, NotRun))
			free, served := fakeGate(t, respondOK)
			handler := weightedRoute(free, rejecting, regions, test.ordered, test.allowedRegions...)
			const calls = 600
			rejected := 0
			for range calls {
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://shop.example/x", nil))
				if w.Code == http.StatusServiceUnavailable {
					rejected++
				}
			}
			is.Equal(int(served.Load())+rejected, calls)
			share := float64(rejected) / calls
			is.True(share > 0.2 && share < 0.4) // five standard deviations of 0.3
		})
	}
}
