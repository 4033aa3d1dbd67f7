package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// Calls of a route that is shared among services go to them by weight, also while one of them has no
// room: what does not fit there is refused, not moved to the other.
func TestCallsKeepToTheirPartOfASharedRoute(t *testing.T) {
	is := is.New(t)
	full, _ := standInGate(t, refusing(exchange.ReasonFull, NotRun))
	free, served := standInGate(t, serving)
	started := time.Now()
	handler := New(Config{Node: "n", Zone: "z", Now: func() time.Duration { return time.Since(started) }, Headers: gatedHeaders})
	handler.SetTable(routing.New(&distribution.State{
		Active: &bundle.Signed{Manifest: bundle.Manifest{Version: 1}, Content: bundle.Content{
			Services: []bundle.Service{{Name: "old"}, {Name: "new"}},
			Routes: []bundle.Route{{
				Name: "shared", Host: "shop.example", PathPrefix: "/", Kind: bundle.KindSafe, MaxAttempts: 2,
				Shares:  []bundle.Share{{Service: "old", Weight: 70}, {Service: "new", Weight: 30}},
				Timeout: bundle.Duration(400 * time.Millisecond),
			}},
		}},
		Endpoints: distribution.EndpointTable{
			"old": {"o": {Service: "old", ID: "o", Incarnation: 1, Gate: free, Zone: "z", Capacity: 4}},
			"new": {"n": {Service: "new", ID: "n", Incarnation: 1, Gate: full, Zone: "z", Capacity: 4}},
		},
	}))
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
}
