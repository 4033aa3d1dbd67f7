package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/routing"
	"bramblelift/pkg/settings"

	"github.com/matryer/is"
)

var gatedHeaders = settings.Headers{
	RequestID: "Call-Id", Deadline: "Left-Ms", ExpectedInstance: "Want", Caller: "From", NotRun: "Not-Run",
}

// gatedNode is a node with one service whose back ends have the given gates.
type gatedNode struct {
	*httptest.Server
	attempts []Attempt
	stopsAt  atomic.Int64
}

func newGatedNode(t *testing.T, maxRetries float64, gates ...string) *gatedNode {
	t.Helper()
	return newGatedNodeWith(t, func(cfg *Config) { cfg.Retry = retry.Config{Max: maxRetries * 2} }, slices.Repeat([]string{"z"}, len(gates)), gates...)
}

// newGatedNodeWith is newGatedNode with a changed configuration and the gates' zones; the node's own
// zone is z.
func newGatedNodeWith(t *testing.T, change func(*Config), zones []string, gates ...string) *gatedNode {
	t.Helper()
	n := &gatedNode{}
	started := time.Now()
	cfg := Config{
		Node: "n", Zone: "z", Now: func() time.Duration { return time.Since(started) }, Headers: gatedHeaders, Service: "shop",
		OnAttempt:  func(a Attempt) { n.attempts = append(n.attempts, a) },
		CallsEndBy: func() time.Duration { return time.Duration(n.stopsAt.Load()) },
	}
	change(&cfg)
	handler := New(cfg)
	handler.SetTable(routing.New(gatedState(gates, zones)))
	n.Server = httptest.NewServer(handler)
	t.Cleanup(n.Close)
	return n
}

// gatedState is a state with one service and its gates in the given zones.
func gatedState(gates, zones []string) *distribution.State {
	endpoints := map[string]distribution.Endpoint{}
	for i, gate := range gates {
		id := fmt.Sprintf("e%d", i)
		endpoints[id] = distribution.Endpoint{Service: "s", ID: id, Incarnation: 1, Address: "10.0.0.1:1", Gate: gate, Zone: zones[i], Capacity: 4}
	}
	route := func(name string, kind bundle.Kind) bundle.Route {
		return bundle.Route{Name: name, Host: "shop.example", PathPrefix: "/" + name + "/", Service: "s", Kind: kind, MaxAttempts: 2,
			Timeout: bundle.Duration(400 * time.Millisecond), TargetLatency: bundle.Duration(200 * time.Millisecond), Priority: 3}
	}
	return &distribution.State{
		Active: &bundle.Signed{Manifest: bundle.Manifest{Version: 4}, Content: bundle.Content{
			Limits:   bundle.Limits{MaxBodyBytes: 100_000},
			Services: []bundle.Service{{Name: "s"}},
			Routes:   []bundle.Route{route("safe", bundle.KindSafe), route("unsafe", bundle.KindUnsafe)},
		}},
		Endpoints: distribution.EndpointTable{"s": endpoints},
	}
}

func (n *gatedNode) call(t *testing.T, method, path, body string, header ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, n.URL+path, strings.NewReader(body))
	is.New(t).NoErr(err)
	request.Host = "shop.example:80"
	request.Header.Set("Call-Id", "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := n.Client().Do(request)
	is.New(t).NoErr(err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// fakeGate responds with serve and counts the calls.
func fakeGate(t *testing.T, serve http.HandlerFunc) (string, *atomic.Int64) {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), &calls
}

func respondOK(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	_, _ = io.WriteString(w, "served")
}

func rejectWith(reason exchange.Reason, outcome Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(exchange.HeaderOutcome, string(outcome))
		w.Header().Set(exchange.HeaderReason, string(reason))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// A gate's rejection is no attempt at a back end: the next gate is attempted with an empty retry
// budget, also for unsafe calls.
func TestGateRejectionsDoNotUseTheRetryBudget(t *testing.T) {
	for _, reason := range []exchange.Reason{exchange.ReasonFull, exchange.ReasonNoBackend, exchange.ReasonRemoved, exchange.ReasonStopping, exchange.ReasonUnreachable} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			rejecting, rejected := fakeGate(t, rejectWith(reason, NotRun))
			server, served := fakeGate(t, respondOK)
			n := newGatedNode(t, 0, rejecting, server)
			for range 10 {
				is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
			}
			is.Equal(served.Load(), int64(10))
			if reason == exchange.ReasonRemoved {
				is.True(rejected.Load() <= 1) // it is not attempted again
			}
		})
	}
}

// An unknown outcome is retried only if the call is repeatable and the budget allows it.
func TestUnknownOutcomeIsRetriedOnlyIfSafeAndWithinBudget(t *testing.T) {
	for name, test := range map[string]struct {
		path        string
		retryBudget float64
		attempts    int64
	}{
		"safe and paid":   {"/safe/x", 5, 2}, // MaxAttempts is 2
		"safe and broke":  {"/safe/x", 0, 1},
		"unsafe and paid": {"/unsafe/x", 5, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := rejectWith(exchange.ReasonBroken, Unknown)
			one, first := fakeGate(t, broken)
			two, second := fakeGate(t, broken)
			three, third := fakeGate(t, broken)
			response := newGatedNode(t, test.retryBudget, one, two, three).call(t, "POST", test.path, "body")
			is.Equal(response.StatusCode, http.StatusBadGateway) // the call may have run
			is.Equal(outcome(response), string(Unknown))
			is.Equal(response.Header.Get("Retry-After"), "")
			is.Equal(first.Load()+second.Load()+third.Load(), test.attempts)
		})
	}
}

// An unsafe call that a back end declined may be retried, but only within the retry budget.
func TestDeclinedCallsUseTheRetryBudget(t *testing.T) {
	is := is.New(t)
	declining := rejectWith(exchange.ReasonDeclined, NotRun)
	one, first := fakeGate(t, declining)
	two, second := fakeGate(t, declining)
	response := newGatedNode(t, 0, one, two).call(t, "POST", "/unsafe/x", "body")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(response), string(NotRun))
	is.Equal(first.Load()+second.Load(), int64(1))
	newGatedNode(t, 5, one, two).call(t, "POST", "/unsafe/x", "body")
	is.Equal(first.Load()+second.Load(), int64(3))
}

// A rejection is sent without delay and with Retry-After.
func TestFinalRejectionIsImmediate(t *testing.T) {
	is := is.New(t)
	full, _ := fakeGate(t, rejectWith(exchange.ReasonFull, NotRun))
	began := time.Now()
	response := newGatedNode(t, 5, full).call(t, "GET", "/safe/x", "")
	is.True(time.Since(began) < 100*time.Millisecond)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after < 0.4/3)
}

// Guards against a gate without a response that holds the call beyond its route's timeout.
func TestSilentGateTimesOut(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	began := time.Now()
	response := newGatedNode(t, 5, listener.Addr().String()).call(t, "GET", "/safe/x", "", "Left-Ms", "9000")
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) > 350*time.Millisecond && time.Since(began) < 600*time.Millisecond)
}

func TestMismatchedAndTruncatedResponsesAreNotForwarded(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"another's": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Call-Id", "other")
			_, _ = io.WriteString(w, "other")
		},
		"cut": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			respondOK(w, r)
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := fakeGate(t, serve)
			response := newGatedNode(t, 0, gate).call(t, "GET", "/safe/x", "")
			is.Equal(response.StatusCode, http.StatusBadGateway)
		})
	}
}

// Guards against forged internal headers from callers, and against leaking gate headers to them.
func TestHeadersOfCallsThroughGates(t *testing.T) {
	is := is.New(t)
	gate, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("From"), "shop")
		is.Equal(r.Header.Get("Want"), "e0")
		is.Equal(r.Header.Get(exchange.HeaderPriority), "3")
		left, set := exchange.ReadMillis(r.Header, "Left-Ms")
		is.True(set && left <= 300*time.Millisecond && left > 200*time.Millisecond)
		is.Equal(r.URL.RequestURI(), "/safe/a%2Fb?x=1&y=%20")
		is.Equal(r.Header.Get("Kept"), "yes")
		is.Equal(r.Header.Get("Dropped"), "")
		w.Header().Set(exchange.HeaderReport, "1,0,4,1000")
		respondOK(w, r)
	})
	response := newGatedNode(t, 0, gate).call(t, "GET", "/safe/a%2Fb?x=1&y=%20", "", "Left-Ms", "300", "From", "forged", "Want", "forged",
		exchange.HeaderPriority, "0", "Kept", "yes", "Dropped", "x", "Connection", "Dropped, Call-Id")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(response.Header.Get("Call-Id"), "id-1")
	is.Equal(response.Header.Get(exchange.HeaderReport), "")
}

func TestOversizedBodyAndUnknownPathAreRejected(t *testing.T) {
	is := is.New(t)
	gate, calls := fakeGate(t, respondOK)
	n := newGatedNode(t, 0, gate)
	is.Equal(n.call(t, "POST", "/unsafe/x", strings.Repeat("x", 100_001)).StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(n.call(t, "GET", "/nowhere/x", "").StatusCode, http.StatusNotFound)
	is.Equal(calls.Load(), int64(0))
	is.Equal(n.call(t, "POST", "/unsafe/x", strings.Repeat("x", 100_000)).StatusCode, http.StatusOK)
}

// A stopping node admits only calls that end before it stops.
func TestStoppingNodeRejectsCallsThatMayOutlastIt(t *testing.T) {
	is := is.New(t)
	gate, _ := fakeGate(t, respondOK)
	n := newGatedNode(t, 0, gate)
	n.stopsAt.Store(int64(200 * time.Millisecond))
	response := n.call(t, "GET", "/safe/x", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(response), string(NotRun))
	is.Equal(n.call(t, "GET", "/safe/x", "", "Left-Ms", "50").StatusCode, http.StatusOK)
}

func respondError(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failed")
}

// A server error is retried at another gate if the call is repeatable and the budget allows it; otherwise
// the caller gets the response unchanged.
func TestServerErrorsOfSafeCallsAreRetried(t *testing.T) {
	for _, c := range []struct {
		name, path   string
		retryBudget  float64
		second       http.HandlerFunc
		status, runs int
		body         string
	}{
		{"safe", "/safe/x", 10, respondOK, http.StatusOK, 2, "served"},
		{"unsafe", "/unsafe/x", 10, respondOK, http.StatusInternalServerError, 1, "failed"},
		{"budget spent", "/safe/x", 0, respondOK, http.StatusInternalServerError, 1, "failed"},
		{"both fail", "/safe/x", 10, respondError, http.StatusInternalServerError, 2, "failed"},
		{"the other is full", "/safe/x", 10, rejectWith(exchange.ReasonFull, NotRun), http.StatusInternalServerError, 2, "failed"},
		{"the other breaks", "/safe/x", 10, rejectWith(exchange.ReasonBroken, Unknown), http.StatusInternalServerError, 2, "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int64
			first := func(w http.ResponseWriter, r *http.Request) {
				if received.Add(1) == 1 {
					respondError(w, r)
					return
				}
				c.second(w, r)
			}
			a, _ := fakeGate(t, first)
			b, _ := fakeGate(t, first)
			n := newGatedNode(t, c.retryBudget, a, b)
			response := n.call(t, "GET", c.path, "")
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.Equal(string(body), c.body)
			is.Equal(response.Header.Get(exchange.HeaderOutcome), "")
			if c.name != "the other is full" { // a full gate may be attempted twice
				is.Equal(int(received.Load()), c.runs)
			}
		})
	}
}

// The own gate, attempted first without waiting, may be attempted again with a wait, since other
// zones cost more.
func TestCallMayWaitAtTheOwnGateAfterItWasFull(t *testing.T) {
	is := is.New(t)
	var waits []string
	own := func(r *http.Request, _ *exchange.Body) *http.Response {
		waits = append(waits, r.Header.Get(exchange.HeaderWait))
		recorder := httptest.NewRecorder()
		if len(waits) == 1 {
			rejectWith(exchange.ReasonFull, NotRun)(recorder, r)
		} else {
			respondOK(recorder, r)
		}
		return recorder.Result()
	}
	other, received := fakeGate(t, respondOK)
	const ownGate = "10.0.0.9:1"
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.GateAddress, cfg.Gate = ownGate, own }, []string{"z", "other"}, ownGate, other)
	is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK)
	is.Equal(len(waits), 2)
	is.Equal(waits[0], "0")
	is.True(waits[1] != "0")
	is.Equal(received.Load(), int64(0))
}
