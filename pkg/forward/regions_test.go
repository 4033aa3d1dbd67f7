package forward

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/link"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// regionTable is a table with one route, which only some regions may serve, and a back end in each of
// east and west.
func regionTable(version uint64, east, west string, regions ...string) *routing.Table {
	endpoint := func(id, gate, zone string) distribution.Endpoint {
		return distribution.Endpoint{Service: "s", ID: id, Incarnation: 1, Address: "10.0.0.1:1", Gate: gate, Zone: zone, Capacity: 4}
	}
	return routing.Next(nil, &distribution.State{
		Active: &bundle.Signed{Manifest: bundle.Manifest{Version: version}, Content: bundle.Content{
			Services: []bundle.Service{{Name: "s"}},
			Routes: []bundle.Route{{Name: "r", Host: "shop.example", PathPrefix: "/r/", Service: "s", Kind: bundle.KindSafe, MaxAttempts: 3,
				Timeout: bundle.Duration(600 * time.Millisecond), TargetLatency: bundle.Duration(300 * time.Millisecond), Regions: regions}},
		}},
		Endpoints: distribution.EndpointTable{"s": {"e": endpoint("e", east, "e1"), "w": endpoint("w", west, "w1")}},
	}, map[string]string{"e1": "east", "w1": "west"})
}

func regionNode(t *testing.T, table *routing.Table, change func(*Config)) (*gatedNode, *Handler) {
	t.Helper()
	var handler *Handler
	n := newGatedNodeWith(t, func(cfg *Config) {
		cfg.Zone, cfg.Region = "e1", "east"
		change(cfg)
	}, nil)
	handler = n.Config.Handler.(*Handler)
	handler.SetTable(table)
	return n, handler
}

// Only the regions that the route names get its calls, bodies and repeats included; without any of their
// back ends the caller is told at once, and truly, that the call has not run, and when to come back.
func TestCallsStayInTheRegionsThatMayServeThem(t *testing.T) {
	is := is.New(t)
	east, eastCalls := standInGate(t, serving)
	west, westCalls := standInGate(t, refusing(exchange.ReasonFull, NotRun))
	n, handler := regionNode(t, regionTable(1, east, west, "west"), func(*Config) {})
	response := n.call(t, http.MethodPost, "/r/1", strings.Repeat("x", 20_000))
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(eastCalls.Load(), int64(0)) // full is no reason to leave
	is.True(westCalls.Load() > 0)
	handler.SetTable(regionTable(2, east, west, "east"))
	is.Equal(n.call(t, http.MethodGet, "/r/1", "").StatusCode, http.StatusOK)
	is.Equal(eastCalls.Load(), int64(1))

	handler.SetTable(regionTable(3, east, west, "north"))
	before := time.Now()
	response = n.call(t, http.MethodGet, "/r/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	is.True(time.Since(before) < 100*time.Millisecond)
	is.Equal(eastCalls.Load(), int64(1))
}

// Homes change while a call waits: the gate that let it wait turns it away, and the node, which knows the new
// configuration by then, or not, does not run it in the old region.
func TestRegionsChangeWhileACallWaits(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{})
	changed := make(chan struct{})
	west, _ := standInGate(t, func(w http.ResponseWriter, r *http.Request) {
		close(asked)
		<-changed
		refusing(exchange.ReasonRegion, NotRun)(w, r)
	})
	east, eastCalls := standInGate(t, serving)
	n, handler := regionNode(t, regionTable(1, east, west, "west"), func(*Config) {})
	go func() {
		<-asked
		handler.SetTable(regionTable(2, east, west, "east"))
		close(changed)
	}()
	response := n.call(t, http.MethodGet, "/r/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // it began under the old one: not run, come back
	is.Equal(n.call(t, http.MethodGet, "/r/1", "").StatusCode, http.StatusOK)
	is.Equal(eastCalls.Load(), int64(1))
}

// A link between two regions that is full shows in the delay: what the own region may serve stays there, and
// the caller of what it has no room for is told at once instead of joining the queue.
func TestFullLinkToAnotherRegionIsSpared(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	onTheWay := time.Millisecond
	west, westCalls := standInGate(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		wait := onTheWay
		mu.Unlock()
		time.Sleep(wait)
		if r.Header.Get(exchange.HeaderTellHeld) != "" {
			w.Header().Set(exchange.HeaderHeld, "0")
		}
		serving(w, r)
	})
	east, _ := standInGate(t, refusing(exchange.ReasonFull, NotRun))
	var told []link.Crowding
	n, _ := regionNode(t, regionTable(1, east, west), func(cfg *Config) {
		cfg.OnCrowding = func(_ string, crowding link.Crowding, _ time.Duration) { told = append(told, crowding) }
	})
	is.Equal(n.call(t, http.MethodGet, "/r/1", "").StatusCode, http.StatusOK)
	mu.Lock()
	onTheWay = 500 * time.Millisecond
	mu.Unlock()
	for range 4 {
		n.call(t, http.MethodGet, "/r/1", "")
	}
	before := westCalls.Load()
	response := n.call(t, http.MethodGet, "/r/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(westCalls.Load(), before)
	is.Equal(told[len(told)-1], link.Full)
	time.Sleep(2100 * time.Millisecond) // tried again once nothing is known
	mu.Lock()
	onTheWay = time.Millisecond
	mu.Unlock()
	is.Equal(n.call(t, http.MethodGet, "/r/1", "").StatusCode, http.StatusOK)
}

// A node with an older configuration is told by the gates that their region may not serve the call: it
// goes on to one that may, be it unsafe and the budget empty, however many refuse it first.
func TestLateNodeIsSentOnByGatesOfOtherRegions(t *testing.T) {
	is := is.New(t)
	const refusals = maxGateTries + 4
	var gates, zones []string
	for range refusals {
		gate, _ := standInGate(t, refusing(exchange.ReasonRegion, NotRun))
		gates, zones = append(gates, gate), append(zones, "z")
	}
	open, served := standInGate(t, serving)
	gates, zones = append(gates, open), append(zones, "y")
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.Retry = retry.Config{} }, zones, gates...)
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
	is.Equal(served.Load(), int64(1))
	is.True(len(n.attempts) <= refusals+1) // none was asked twice
}
