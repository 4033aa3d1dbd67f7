package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/gate"
	"bramblelift/pkg/roundtrip"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// limitedBackend names a limit in its responses and records when calls arrive.
type limitedBackend struct {
	limit float64
	work  time.Duration
	now   func() time.Duration

	mu    sync.Mutex
	calls []time.Duration
}

func (b *limitedBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.calls = append(b.calls, b.now())
	b.mu.Unlock()
	time.Sleep(b.work)
	w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	if b.limit > 0 {
		w.Header().Set("Backend-Limit", strconv.FormatFloat(b.limit, 'f', -1, 64))
	}
}

// arrivedSince returns how many calls arrived since a time.
func (b *limitedBackend) arrivedSince(at time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, _ := slices.BinarySearch(b.calls, at)
	return len(b.calls) - first
}

var testStart = time.Now()

func sinceTestStart() time.Duration { return time.Since(testStart) }

// limitedFleet is a number of nodes that share the gates of back ends which name limits.
type limitedFleet struct {
	nodes    []*gatedNode
	backends []*limitedBackend
	now      func() time.Duration

	mu      sync.Mutex
	results map[string]*limitedResult
}

// limitedResult counts the results of the calls of one route.
type limitedResult struct {
	served, rejected, others int
	// rejectedAfter is how long rejected calls took, retryAfter what they were told.
	rejectedAfter, retryAfter []time.Duration
}

// newLimitedFleet starts a fleet whose back ends have a capacity and name the given limits, zero for none. Calls to the
// route "unsafe" have a higher priority than those to "safe".
func newLimitedFleet(t *testing.T, nodes, capacity int, work time.Duration, limits ...float64) *limitedFleet {
	t.Helper()
	return newLimitedFleetOn(t, nil, nodes, capacity, work, limits...)
}

// newLimitedFleetOn is newLimitedFleet on a network of pipes, or on TCP if that is nil.
func newLimitedFleetOn(t *testing.T, network *pipeNetwork, nodes, capacity int, work time.Duration, limits ...float64) *limitedFleet {
	t.Helper()
	started := time.Now()
	f := &limitedFleet{now: func() time.Duration { return time.Since(started) }, results: map[string]*limitedResult{"safe": {}, "unsafe": {}}}
	var gates []string
	for i, limit := range limits {
		b := &limitedBackend{limit: limit, work: work, now: f.now}
		server := startServer(t, network, b)
		headers := gatedHeaders
		headers.Limit = []string{"Backend-Limit"}
		cfg := gate.Config{Headers: headers, Now: f.now}
		if network != nil {
			cfg.Dial = network.dial
		}
		g := gate.New(cfg)
		g.SetBackend(gate.Backend{ID: fmt.Sprintf("e%d", i), Service: "s", Address: server.Listener.Addr().String(), Capacity: capacity, Incarnation: 1})
		gateServer := startServer(t, network, g)
		f.backends, gates = append(f.backends, b), append(gates, gateServer.Listener.Addr().String())
	}
	state := gatedState(gates, slices.Repeat([]string{"z"}, len(gates)))
	for i, route := range state.Active.Content.Routes {
		state.Active.Content.Routes[i].Priority = map[string]int{"unsafe": 1, "safe": 5}[route.Name]
		state.Active.Content.Routes[i].Timeout = bundle.Duration(time.Second)
	}
	for range nodes {
		n := &gatedNode{}
		handler := New(Config{Node: "n", Zone: "z", Now: f.now, Headers: gatedHeaders, Service: "shop"})
		if network != nil {
			handler.gates = roundtrip.New(&http.Transport{DialContext: network.dial, DisableCompression: true, MaxIdleConnsPerHost: gateConnections})
		}
		handler.SetTable(routing.New(state))
		n.Server = startServer(t, network, handler)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// startServer starts a server on a network of pipes, or on TCP if that is nil.
func startServer(t *testing.T, network *pipeNetwork, handler http.Handler) *httptest.Server {
	t.Helper()
	if network != nil {
		return network.serve(t, handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// send makes calls to a route at a rate per second, through the nodes in turn.
func (f *limitedFleet) send(t *testing.T, route string, perSecond float64, lasting time.Duration) {
	var group sync.WaitGroup
	began, sent := time.Now(), 0
	for ; time.Since(began) < lasting; time.Sleep(time.Millisecond) {
		for due := int(time.Since(began).Seconds() * perSecond); sent <= due; sent++ {
			node := f.nodes[sent%len(f.nodes)]
			id := route + strconv.Itoa(sent)
			group.Go(func() { f.callOnce(t, node, route, id) })
		}
	}
	group.Wait()
}

func (f *limitedFleet) callOnce(t *testing.T, node *gatedNode, route, id string) {
	began := time.Now()
	response := node.call(t, "POST", "/"+route+"/x", "body", "Call-Id", id)
	took := time.Since(began)
	f.mu.Lock()
	defer f.mu.Unlock()
	result := f.results[route]
	switch response.StatusCode {
	case http.StatusOK:
		result.served++
	case http.StatusServiceUnavailable:
		result.rejected++
		result.rejectedAfter = append(result.rejectedAfter, took)
		result.retryAfter = append(result.retryAfter, retryAfter(t, response))
	default:
		result.others++
	}
}

// Calls beyond one back end's limit go to others, which have room, and the back end still gets nearly its limit. The others have
// room only while their work takes as long as stated, which a busy machine does not grant on a real clock.
func TestCallsBeyondANamedLimitGoToOtherBackEnds(t *testing.T) {
	synctest.Test(t, testCallsBeyondANamedLimit)
}

func testCallsBeyondANamedLimit(t *testing.T) {
	is := is.New(t)
	const limit, seconds = 10, 3
	f := newLimitedFleetOn(t, &pipeNetwork{}, 3, 6, 20*time.Millisecond, limit, 0, 0)
	f.send(t, "unsafe", 60, 300*time.Millisecond)
	began := f.now()
	f.send(t, "unsafe", 300, seconds*time.Second)
	r := f.results["unsafe"]
	got := f.backends[0].arrivedSince(began)
	t.Logf("%d served, %d rejected; %d calls in %d s at a limit of %d", r.served, r.rejected, got, seconds, limit)
	is.Equal(r.others, 0)
	is.True(r.rejected*200 <= r.served)
	is.True(got <= limit*seconds+limit/4+2)
	is.True(float64(got) >= 0.85*limit*seconds)
}

// Guards against a back end with a limit that gets no calls, and so cannot end its limit, after all were slow for a while: the
// few calls that it gets leave its service time above that of the others.
func TestLimitedBackEndThatWasSlowIsChosenAgain(t *testing.T) {
	synctest.Test(t, testLimitedBackEndThatWasSlow)
}

func testLimitedBackEndThatWasSlow(t *testing.T) {
	is := is.New(t)
	const limit, seconds = 10, 3
	f := newLimitedFleetOn(t, &pipeNetwork{}, 3, 6, 40*time.Millisecond, limit, 0, 0)
	f.send(t, "unsafe", 60, 500*time.Millisecond)
	for _, b := range f.backends {
		b.work = 20 * time.Millisecond
	}
	f.send(t, "unsafe", 300, 8*time.Second)
	began := f.now()
	f.send(t, "unsafe", 300, seconds*time.Second)
	got := f.backends[0].arrivedSince(began)
	t.Logf("%d calls in %d s at a limit of %d", got, seconds, limit)
	is.True(got <= limit*seconds+limit/4+2)
	is.True(float64(got) >= 0.85*limit*seconds)
}

// If all back ends of a service name limits, they get nearly as much, calls of lower priority are rejected first, and at
// once, and are told to come back when there may be room.
func TestServiceWhoseBackEndsAllNameLimits(t *testing.T) {
	is := is.New(t)
	const limit, seconds = 20, 4
	f := newLimitedFleet(t, 3, 6, 20*time.Millisecond, limit, limit, limit)
	f.send(t, "safe", 200, 300*time.Millisecond)
	began := f.now()
	var group sync.WaitGroup
	group.Go(func() { f.send(t, "unsafe", 30, seconds*time.Second) })
	group.Go(func() { f.send(t, "safe", 300, seconds*time.Second) })
	group.Wait()
	got := 0
	for _, b := range f.backends {
		calls := b.arrivedSince(began)
		is.True(calls <= limit*seconds+limit/4+limit) // rejected calls waited less than a second
		got += calls
	}
	low, high := f.results["safe"], f.results["unsafe"]
	slices.Sort(low.rejectedAfter)
	median := low.rejectedAfter[len(low.rejectedAfter)/2]
	t.Logf("%d of %d calls admitted; high: %d served, %d rejected; low: %d served, %d rejected, half of them within %s, at least %s told",
		got, 3*limit*seconds, high.served, high.rejected, low.served, low.rejected, median, slices.Min(low.retryAfter))
	is.Equal(low.others+high.others, 0)
	is.True(float64(got) >= 0.85*3*limit*seconds)
	is.True(high.rejected*20 <= high.served)
	is.True(median < 60*time.Millisecond)
	is.True(slices.Min(low.retryAfter) >= 20*time.Millisecond)
}

// rejectingAtLimit rejects calls as the gate of a back end that names a limit does.
func rejectingAtLimit(delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		exchange.Report{Capacity: 4, Limit: exchange.Limit{Named: true, Rate: 0.5, AdmissionDelay: delay}}.Set(w.Header())
		rejectWith(exchange.ReasonLimit, NotRun)(w, r)
	}
}

// Guards against a Retry-After before any back end has room, and against attempts at gates that are known to have none.
func TestRetryAfterIsNotBeforeALimitHasRoom(t *testing.T) {
	is := is.New(t)
	first, attempted := fakeGate(t, rejectingAtLimit(5*time.Second))
	second, _ := fakeGate(t, rejectingAtLimit(3*time.Second))
	n := newGatedNode(t, 0, first, second)
	for i := range 5 {
		after := retryAfter(t, n.call(t, "POST", "/unsafe/x", "body"))
		is.True(after >= 2900*time.Millisecond)
		is.True(after <= 4*time.Second)
		is.True(attempted.Load() <= int64(min(i+1, 2)))
	}
}

// Each call carries the limit that the back end named last, until it names none; another incarnation starts anew.
func TestCallsCarryTheLimitThatTheBackEndNamed(t *testing.T) {
	is := is.New(t)
	var known string
	limit := exchange.Limit{Named: true, Rate: 50}
	address, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		known = r.Header.Get(exchange.HeaderKnownLimit)
		exchange.Report{Capacity: 4, Limit: limit}.Set(w.Header())
		respondOK(w, r)
	})
	handler := New(Config{Node: "n", Zone: "z", Now: sinceTestStart, Headers: gatedHeaders, Service: "shop"})
	state := gatedState([]string{address}, []string{"z"})
	handler.SetTable(routing.New(state))
	n := &gatedNode{Server: httptest.NewServer(handler)}
	t.Cleanup(n.Close)
	call := func() string {
		n.call(t, "POST", "/unsafe/x", "body", exchange.HeaderKnownLimit, "1,1")
		return known
	}
	is.Equal(call(), "")
	is.Equal(call(), "50,1")
	empty := gatedState(nil, nil)
	empty.Active.Content.Services, empty.Active.Content.Routes = nil, nil
	handler.SetTable(routing.New(empty))
	handler.SetTable(routing.New(state))
	is.Equal(call(), "50,1") // it outlives the service's removal
	limit = exchange.Limit{}
	is.Equal(call(), "50,1")
	is.Equal(call(), "")
	limit = exchange.Limit{Named: true, Rate: 7}
	call()
	endpoint := state.Endpoints["s"]["e0"]
	endpoint.Incarnation = 2
	state.Endpoints["s"]["e0"] = endpoint
	handler.SetTable(routing.New(state))
	is.Equal(call(), "")
}

// A node that passed on that a back end leaves does not choose it again, though an outdated endpoint list, or one in which
// the service was missing for a while, shows it; a later incarnation is chosen.
func TestNodeRemembersThatABackEndLeaves(t *testing.T) {
	is := is.New(t)
	address, calls := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Backend-Draining", "1")
		respondOK(w, r)
	})
	headers := gatedHeaders
	headers.Leaving = []string{"Backend-Draining"}
	handler := New(Config{Node: "n", Zone: "z", Now: sinceTestStart, Headers: headers, Service: "shop"})
	state := gatedState([]string{address}, []string{"z"})
	handler.SetTable(routing.New(state))
	n := &gatedNode{Server: httptest.NewServer(handler)}
	t.Cleanup(n.Close)
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusServiceUnavailable)
	empty := gatedState(nil, nil)
	empty.Active.Content.Services, empty.Active.Content.Routes = nil, nil
	handler.SetTable(routing.New(empty))
	handler.SetTable(routing.New(state))
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusServiceUnavailable)
	is.Equal(calls.Load(), int64(1))
	endpoint := state.Endpoints["s"]["e0"]
	endpoint.Incarnation = 2
	state.Endpoints["s"]["e0"] = endpoint
	handler.SetTable(routing.New(state))
	is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
}

// Guards against limited back ends that use up the attempts of calls which others could serve: half of the back ends name
// limits below their share, and the others have room for the rest.
func TestLimitedBackEndsDoNotUseUpTheAttempts(t *testing.T) {
	is := is.New(t)
	f := newLimitedFleet(t, 12, 6, 230*time.Millisecond, 1, 1, 1, 1, 1, 1, 0, 0, 0, 0, 0, 0)
	f.sendBoth(t, 26, 77, 4*time.Second)
	high, low := f.results["unsafe"], f.results["safe"]
	t.Logf("high: %d served, %d rejected; low: %d served, %d rejected", high.served, high.rejected, low.served, low.rejected)
	is.True(high.rejected+low.rejected <= 4)
}

// Guards against calls of lower priority that take each token as it comes, while those of higher priority, which cannot
// wait as long as a token takes, are rejected.
func TestUrgentCallsThatCannotWaitComeFirst(t *testing.T) {
	is := is.New(t)
	const seconds = 4
	f := newLimitedFleet(t, 12, 6, 230*time.Millisecond, 6, 6, 6, 6, 6, 6, 6)
	f.sendBoth(t, 26, 77, 500*time.Millisecond)
	f.results = map[string]*limitedResult{"safe": {}, "unsafe": {}}
	began := f.now()
	f.sendBoth(t, 26, 77, seconds*time.Second)
	high, low := f.results["unsafe"], f.results["safe"]
	got := 0
	for _, b := range f.backends {
		got += b.arrivedSince(began)
	}
	t.Logf("high: %d served, %d rejected; low: %d served, %d rejected; %d calls in %d s at limits of 42", high.served, high.rejected, low.served, low.rejected, got, seconds)
	is.True(high.rejected*20 <= high.served)
	is.True(float64(got) >= 0.85*42*seconds)
}

// sendBoth sends calls to both routes at the given rates per second.
func (f *limitedFleet) sendBoth(t *testing.T, high, low float64, lasting time.Duration) {
	var group sync.WaitGroup
	group.Go(func() { f.send(t, "unsafe", high, lasting) })
	group.Go(func() { f.send(t, "safe", low, lasting) })
	group.Wait()
}

// Guards against a node that forgets a limit because a gate without knowledge of it, as after its restart, rejects a call.
func TestRejectionDoesNotEndAKnownLimit(t *testing.T) {
	is := is.New(t)
	var known string
	var rejecting atomic.Bool
	address, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		known = r.Header.Get(exchange.HeaderKnownLimit)
		if rejecting.Load() {
			exchange.Report{Capacity: 4}.Set(w.Header())
			rejectWith(exchange.ReasonNoBackend, NotRun)(w, r)
			return
		}
		exchange.Report{Capacity: 4, Limit: exchange.Limit{Named: true, Rate: 50}}.Set(w.Header())
		respondOK(w, r)
	})
	n := newGatedNode(t, 0, address)
	n.call(t, "POST", "/unsafe/x", "body")
	rejecting.Store(true)
	n.call(t, "POST", "/unsafe/x", "body")
	n.call(t, "POST", "/unsafe/x", "body")
	is.Equal(known, "50,1")
}
