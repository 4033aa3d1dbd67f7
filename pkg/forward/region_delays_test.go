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

// regionTable is a table with one route that only some regions may serve, and back ends in east and west.
func regionTable(version uint64, east, west string, regions ...string) *routing.Table {
	endpoint := func(id, gate, zone string) distribution.Endpoint {
		return distribution.Endpoint{Service: "s", ID: id, Incarnation: 1, Address: "10.0.0.1:1", Gate: gate, Zone: zone, Capacity: 4}
	}
	return routing.Update(nil, &distribution.State{
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

// Guards against calls that leave the regions of their route. Without a back end there they are
// rejected at once with Retry-After.
func TestCallsStayInAllowedRegions(t *testing.T) {
	is := is.New(t)
	east, eastCalls := fakeGate(t, respondOK)
	west, westCalls := fakeGate(t, rejectWith(exchange.ReasonFull, NotRun))
	n, handler := regionNode(t, regionTable(1, east, west, "west"), func(*Config) {})
	response := n.call(t, http.MethodPost, "/r/1", strings.Repeat("x", 20_000))
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(eastCalls.Load(), int64(0)) // not attempted though west is full
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

// Guards against running a waiting call in a region that a new configuration excludes.
func TestRegionChangeAppliesToAWaitingCall(t *testing.T) {
	is := is.New(t)
	attempted := make(chan struct{})
	changed := make(chan struct{})
	west, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		close(attempted)
		<-changed
		rejectWith(exchange.ReasonRegion, NotRun)(w, r)
	})
	east, eastCalls := fakeGate(t, respondOK)
	n, handler := regionNode(t, regionTable(1, east, west, "west"), func(*Config) {})
	go func() {
		<-attempted
		handler.SetTable(regionTable(2, east, west, "east"))
		close(changed)
	}()
	response := n.call(t, http.MethodGet, "/r/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // the call began with the old regions
	is.Equal(n.call(t, http.MethodGet, "/r/1", "").StatusCode, http.StatusOK)
	is.Equal(eastCalls.Load(), int64(1))
}

// A call avoids a region whose link is congested, and is rejected at once if its own region is full.
func TestFullLinkToAnotherRegionIsAvoided(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	delay := time.Millisecond
	west, westCalls := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		wait := delay
		mu.Unlock()
		time.Sleep(wait)
		if r.Header.Get(exchange.HeaderRequestHeld) != "" {
			w.Header().Set(exchange.HeaderHeld, "0")
		}
		respondOK(w, r)
	})
	east, _ := fakeGate(t, rejectWith(exchange.ReasonFull, NotRun))
	var reported []link.Congestion
	n, _ := regionNode(t, regionTable(1, east, west), func(cfg *Config) {
		cfg.OnCongestion = func(_ string, congestion link.Congestion, _ time.Duration) { reported = append(reported, congestion) }
	})
	is.Equal(n.call(t, http.MethodGet, "/r/1", "").StatusCode, http.StatusOK)
	mu.Lock()
	delay = 500 * time.Millisecond
	mu.Unlock()
	for range 4 {
		n.call(t, http.MethodGet, "/r/1", "")
	}
	before := westCalls.Load()
	response := n.call(t, http.MethodGet, "/r/1", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(westCalls.Load(), before)
	is.Equal(reported[len(reported)-1], link.Full)
	time.Sleep(2100 * time.Millisecond) // the measured delay expires
	mu.Lock()
	delay = time.Millisecond
	mu.Unlock()
	is.Equal(n.call(t, http.MethodGet, "/r/1", "").StatusCode, http.StatusOK)
}

// A node with an outdated table moves on from gates whose region may not serve the call, without using
// attempts or the retry budget.
func TestStaleNodeMovesOnFromGatesOfExcludedRegions(t *testing.T) {
	is := is.New(t)
	const rejections = maxGateAttempts + 4
	var gates, zones []string
	for range rejections {
		gate, _ := fakeGate(t, rejectWith(exchange.ReasonRegion, NotRun))
		gates, zones = append(gates, gate), append(zones, "z")
	}
	open, served := fakeGate(t, respondOK)
	gates, zones = append(gates, open), append(zones, "y")
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.Retry = retry.Config{} }, zones, gates...)
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
	is.Equal(served.Load(), int64(1))
	is.True(len(n.attempts) <= rejections+1) // no gate was attempted twice
}
