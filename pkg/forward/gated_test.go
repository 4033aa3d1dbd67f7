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

// gatedNode is a node whose service stands behind the given gates.
type gatedNode struct {
	*httptest.Server
	attempts []Attempt
	stopsAt  atomic.Int64
}

func newGatedNode(t *testing.T, maxRepeats float64, gates ...string) *gatedNode {
	t.Helper()
	return newGatedNodeWith(t, func(cfg *Config) { cfg.Retry = retry.Config{Max: maxRepeats * 2} }, slices.Repeat([]string{"z"}, len(gates)), gates...)
}

// newGatedNodeWith is newGatedNode with a changed configuration and the gates' zones; the
// node's own is z.
func newGatedNodeWith(t *testing.T, change func(*Config), zones []string, gates ...string) *gatedNode {
	t.Helper()
	n := &gatedNode{}
	started := time.Now()
	cfg := Config{
		Node: "n", Zone: "z", Now: func() time.Duration { return time.Since(started) }, Headers: gatedHeaders, Service: "shop",
		OnAttempt: func(a Attempt) { n.attempts = append(n.attempts, a) },
		StopsAt:   func() time.Duration { return time.Duration(n.stopsAt.Load()) },
	}
	change(&cfg)
	handler := New(cfg)
	handler.SetTable(routing.New(gatedState(gates, zones)))
	n.Server = httptest.NewServer(handler)
	t.Cleanup(n.Close)
	return n
}

// gatedState is a state whose only service stands behind gates of zones.
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

// standInGate answers by a script and counts the calls.
func standInGate(t *testing.T, serve http.HandlerFunc) (string, *atomic.Int64) {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), &calls
}

func serving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	_, _ = io.WriteString(w, "served")
}

func refusing(reason exchange.Reason, outcome Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(exchange.HeaderOutcome, string(outcome))
		w.Header().Set(exchange.HeaderReason, string(reason))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// A gate's refusal is no arrival at a back end: the next one is tried though no repeat is
// paid for, unsafe calls included.
func TestRefusalsOfGatesCostNoBudget(t *testing.T) {
	for _, reason := range []exchange.Reason{exchange.ReasonFull, exchange.ReasonAbsent, exchange.ReasonLeft, exchange.ReasonStopping, exchange.ReasonUnreachable} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			refuser, refused := standInGate(t, refusing(reason, NotRun))
			server, served := standInGate(t, serving)
			n := newGatedNode(t, 0, refuser, server)
			for range 10 {
				is.Equal(n.call(t, "POST", "/unsafe/x", "body").StatusCode, http.StatusOK)
			}
			is.Equal(served.Load(), int64(10))
			if reason == exchange.ReasonLeft {
				is.True(refused.Load() <= 1) // and is never asked again
			}
		})
	}
}

// What may have run is repeated only if that is allowed and paid for.
func TestUnknownIsRepeatedOnlyIfSafeAndPaidFor(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		repeats float64
		arrived int64
	}{
		"safe and paid":   {"/safe/x", 5, 2}, // MaxAttempts is 2
		"safe and broke":  {"/safe/x", 0, 1},
		"unsafe and paid": {"/unsafe/x", 5, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := refusing(exchange.ReasonBroken, Unknown)
			one, first := standInGate(t, broken)
			two, second := standInGate(t, broken)
			three, third := standInGate(t, broken)
			response := newGatedNode(t, test.repeats, one, two, three).call(t, "POST", test.path, "body")
			is.Equal(response.StatusCode, http.StatusBadGateway) // no promise
			is.Equal(outcome(response), string(Unknown))
			is.Equal(response.Header.Get("Retry-After"), "")
			is.Equal(first.Load()+second.Load()+third.Load(), test.arrived)
		})
	}
}

// A back end's own word that it has not begun the call lets an unsafe one go on, but it
// was an arrival.
func TestDeclinesArePaidFor(t *testing.T) {
	is := is.New(t)
	declining := refusing(exchange.ReasonDeclined, NotRun)
	one, first := standInGate(t, declining)
	two, second := standInGate(t, declining)
	response := newGatedNode(t, 0, one, two).call(t, "POST", "/unsafe/x", "body")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(response), string(NotRun))
	is.Equal(first.Load()+second.Load(), int64(1))
	newGatedNode(t, 5, one, two).call(t, "POST", "/unsafe/x", "body")
	is.Equal(first.Load()+second.Load(), int64(3))
}

// The final answer comes at once, with when to come back.
func TestFinalRefusalComesAtOnce(t *testing.T) {
	is := is.New(t)
	full, _ := standInGate(t, refusing(exchange.ReasonFull, NotRun))
	began := time.Now()
	response := newGatedNode(t, 5, full).call(t, "GET", "/safe/x", "")
	is.True(time.Since(began) < 100*time.Millisecond)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after < 0.4/3)
}

// A gate that says nothing must not hold the call beyond its route's timeout.
func TestSilentGateEndsAtTheTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	began := time.Now()
	response := newGatedNode(t, 5, listener.Addr().String()).call(t, "GET", "/safe/x", "", "Left-Ms", "9000")
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) > 350*time.Millisecond && time.Since(began) < 600*time.Millisecond)
}

func TestAnswersOfOthersAndCutOnesNeverReachTheCaller(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"another's": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Call-Id", "other")
			_, _ = io.WriteString(w, "other")
		},
		"cut": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			serving(w, r)
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := standInGate(t, serve)
			response := newGatedNode(t, 0, gate).call(t, "GET", "/safe/x", "")
			is.Equal(response.StatusCode, http.StatusBadGateway)
		})
	}
}

// What callers claim of themselves is not believed, and what only gates are told stays
// between them.
func TestHeadersOfCallsThroughGates(t *testing.T) {
	is := is.New(t)
	gate, _ := standInGate(t, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("From"), "shop")
		is.Equal(r.Header.Get("Want"), "e0")
		is.Equal(r.Header.Get(exchange.HeaderPriority), "3")
		left, set := exchange.ReadMillis(r.Header, "Left-Ms")
		is.True(set && left <= 300*time.Millisecond && left > 200*time.Millisecond)
		is.Equal(r.URL.RequestURI(), "/safe/a%2Fb?x=1&y=%20")
		is.Equal(r.Header.Get("Kept"), "yes")
		is.Equal(r.Header.Get("Dropped"), "")
		w.Header().Set(exchange.HeaderReport, "1,0,4,1000")
		serving(w, r)
	})
	response := newGatedNode(t, 0, gate).call(t, "GET", "/safe/a%2Fb?x=1&y=%20", "", "Left-Ms", "300", "From", "forged", "Want", "forged",
		exchange.HeaderPriority, "0", "Kept", "yes", "Dropped", "x", "Connection", "Dropped, Call-Id")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(response.Header.Get("Call-Id"), "id-1")
	is.Equal(response.Header.Get(exchange.HeaderReport), "")
}

func TestWhatCallersMayNotSend(t *testing.T) {
	is := is.New(t)
	gate, calls := standInGate(t, serving)
	n := newGatedNode(t, 0, gate)
	is.Equal(n.call(t, "POST", "/unsafe/x", strings.Repeat("x", 100_001)).StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(n.call(t, "GET", "/nowhere/x", "").StatusCode, http.StatusNotFound)
	is.Equal(calls.Load(), int64(0))
	is.Equal(n.call(t, "POST", "/unsafe/x", strings.Repeat("x", 100_000)).StatusCode, http.StatusOK)
}

// A node that stops takes only what it can still answer.
func TestStoppingNodeRefusesWhatOutlastsIt(t *testing.T) {
	is := is.New(t)
	gate, _ := standInGate(t, serving)
	n := newGatedNode(t, 0, gate)
	n.stopsAt.Store(int64(200 * time.Millisecond))
	response := n.call(t, "GET", "/safe/x", "")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(outcome(response), string(NotRun))
	is.Equal(n.call(t, "GET", "/safe/x", "", "Left-Ms", "50").StatusCode, http.StatusOK)
}

func failing(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failed")
}

// A back end's failure is made good elsewhere where the call may run again and the budget
// pays; otherwise the caller gets that answer, unchanged.
func TestServerErrorsOfSafeCallsAreMadeGood(t *testing.T) {
	for _, c := range []struct {
		name, path   string
		repeats      float64
		second       http.HandlerFunc
		status, runs int
		body         string
	}{
		{"safe", "/safe/x", 10, serving, http.StatusOK, 2, "served"},
		{"unsafe", "/unsafe/x", 10, serving, http.StatusInternalServerError, 1, "failed"},
		{"budget spent", "/safe/x", 0, serving, http.StatusInternalServerError, 1, "failed"},
		{"both fail", "/safe/x", 10, failing, http.StatusInternalServerError, 2, "failed"},
		{"the other is full", "/safe/x", 10, refusing(exchange.ReasonFull, NotRun), http.StatusInternalServerError, 2, "failed"},
		{"the other breaks", "/safe/x", 10, refusing(exchange.ReasonBroken, Unknown), http.StatusInternalServerError, 2, "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var asked atomic.Int64
			first := func(w http.ResponseWriter, r *http.Request) {
				if asked.Add(1) == 1 {
					failing(w, r)
					return
				}
				c.second(w, r)
			}
			a, _ := standInGate(t, first)
			b, _ := standInGate(t, first)
			n := newGatedNode(t, c.repeats, a, b)
			response := n.call(t, "GET", c.path, "")
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.Equal(string(body), c.body)
			is.Equal(response.Header.Get(exchange.HeaderOutcome), "")
			if c.name != "the other is full" { // a full gate may be asked twice
				is.Equal(int(asked.Load()), c.runs)
			}
		})
	}
}

// The gate beside the node, asked for a free slot first, may still be the one to wait at: other
// zones cost more.
func TestOwnGateMayBeWaitedAt(t *testing.T) {
	is := is.New(t)
	var waits []string
	own := func(r *http.Request, _ *exchange.Body) *http.Response {
		waits = append(waits, r.Header.Get(exchange.HeaderWait))
		recorder := httptest.NewRecorder()
		if len(waits) == 1 {
			refusing(exchange.ReasonFull, NotRun)(recorder, r)
		} else {
			serving(recorder, r)
		}
		return recorder.Result()
	}
	other, asked := standInGate(t, serving)
	const ownGate = "10.0.0.9:1"
	n := newGatedNodeWith(t, func(cfg *Config) { cfg.GateAddress, cfg.Gate = ownGate, own }, []string{"z", "other"}, ownGate, other)
	is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK)
	is.Equal(len(waits), 2)
	is.Equal(waits[0], "0")
	is.True(waits[1] != "0")
	is.Equal(asked.Load(), int64(0))
}
