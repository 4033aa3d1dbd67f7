package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

const (
	keyOne = "x42q492cqf75rjvz48wu"
	keyTwo = "akn2ftimaj3nr26tta82"
)

var tenantHeaders = settings.Headers{
	RequestID: "Call-Id", Deadline: "Left-Ms", ExpectedInstance: "Want", Caller: "From", NotRun: "Not-Run", Key: "Api-Key", Tenant: "Whose",
}

// fakeQuotas admits a limited number of calls.
type fakeQuotas struct {
	left, returned atomic.Int64
}

func (q *fakeQuotas) Admit(time.Duration, string, bool) (bool, time.Duration) {
	if q.left.Add(-1) < 0 {
		return false, 250 * time.Millisecond
	}
	return true, 0
}

func (q *fakeQuotas) Return(time.Duration, string) { q.returned.Add(1) }

// tenantNode is a node whose configuration has tenants.
type tenantNode struct {
	*gatedNode
	handler     *Handler
	gates       []string
	quotas      *fakeQuotas
	confirmedAt atomic.Int64
	now         func() time.Duration
}

// twoTenants returns a tenant for each key; the second has a rate limit and a priority.
func twoTenants() []bundle.Tenant {
	return []bundle.Tenant{
		{Name: "one", Keys: []bundle.Digest{bundle.DigestKey(keyOne)}},
		{Name: "two", Keys: []bundle.Digest{bundle.DigestKey(keyTwo)}, Rate: 5, Burst: 5, Priority: 2},
	}
}

func newTenantNode(t *testing.T, change func(*Config), gates ...string) *tenantNode {
	t.Helper()
	n := &tenantNode{gatedNode: &gatedNode{}, gates: gates, quotas: &fakeQuotas{}}
	n.quotas.left.Store(1000)
	started := time.Now()
	n.now = func() time.Duration { return time.Since(started) }
	cfg := Config{
		Node: "n", Zone: "z", Now: n.now, Headers: tenantHeaders, Service: "shop", Retry: retry.Config{Max: 20}, Quotas: n.quotas,
		ConfirmedAt: func() (time.Duration, bool) { return n.now() - time.Duration(n.confirmedAt.Load()), true },
		StaleLimit:  time.Second,
	}
	if change != nil {
		change(&cfg)
	}
	n.handler = New(cfg)
	n.setTenants(twoTenants())
	n.Server = httptest.NewServer(n.handler)
	t.Cleanup(n.Close)
	return n
}

func (n *tenantNode) setTenants(tenants []bundle.Tenant) {
	state := gatedState(n.gates, slices.Repeat([]string{"z"}, len(n.gates)))
	n.setState(state, tenants)
}

func (n *tenantNode) setState(state *distribution.State, tenants []bundle.Tenant) {
	public := state.Active.Content.Routes[0]
	public.Name, public.PathPrefix, public.Public = "public", "/public/", true
	state.Active.Content.Routes = append(state.Active.Content.Routes, public)
	state.Active.Content.Tenants = tenants
	n.handler.SetTable(routing.New(state))
}

// gateRecorder keeps what a gate received.
type gateRecorder struct {
	header atomic.Pointer[http.Header]
	body   atomic.Pointer[string]
	calls  atomic.Int64
}

func (s *gateRecorder) startGate(t *testing.T) string {
	address, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		header := r.Header.Clone()
		body, _ := io.ReadAll(r.Body)
		for name, values := range r.Trailer {
			header[name] = append(header[name], values...)
		}
		text := string(body)
		s.header.Store(&header)
		s.body.Store(&text)
		s.calls.Add(1)
		respondOK(w, r)
	})
	return address
}

// holdsNoKey reports whether no header at the gate contains a key.
func (s *gateRecorder) holdsNoKey() bool {
	text := fmt.Sprint(*s.header.Load())
	return !strings.Contains(text, keyOne) && !strings.Contains(text, keyTwo) && !strings.Contains(strings.ToLower(text), "api-key")
}

func TestKeysIdentifyTenants(t *testing.T) {
	is := is.New(t)
	var gate gateRecorder
	n := newTenantNode(t, nil, gate.startGate(t))
	for _, c := range []struct {
		path   string
		header []string
		status int
		tenant string
	}{
		{"/safe/x", []string{"Api-Key", keyOne}, http.StatusOK, "one"},
		{"/safe/x", []string{"Api-Key", keyTwo, "Whose", "one"}, http.StatusOK, "two"},
		{"/safe/x", nil, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Whose", "one"}, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Api-Key", "unknown"}, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Api-Key", strings.Repeat("k", 300)}, http.StatusUnauthorized, ""},
		{"/safe/x", []string{"Api-Key", ""}, http.StatusUnauthorized, ""},
		{"/public/x", nil, http.StatusOK, ""},
		{"/public/x", []string{"Whose", "one"}, http.StatusOK, ""},
		{"/public/x", []string{"Api-Key", "unknown"}, http.StatusOK, ""},
		{"/public/x", []string{"Api-Key", keyOne}, http.StatusOK, "one"},
		{"/nowhere", []string{"Api-Key", keyOne}, http.StatusNotFound, ""},
	} {
		before := gate.calls.Load()
		response := n.call(t, "GET", c.path, "", c.header...)
		is.Equal(response.StatusCode, c.status)
		if c.status != http.StatusOK {
			is.Equal(outcome(response), string(NotRun))
			is.Equal(gate.calls.Load(), before)
			is.Equal(response.Header.Get("Retry-After"), "") // a retry would not help
			continue
		}
		is.Equal(gate.header.Load().Get("Whose"), c.tenant)
		is.Equal(len((*gate.header.Load())["Whose"]) == 1, c.tenant != "")
		is.True(gate.holdsNoKey())
	}
}

func TestCallWithTwoKeysIsUnauthorized(t *testing.T) {
	is := is.New(t)
	var gate gateRecorder
	n := newTenantNode(t, nil, gate.startGate(t))
	request, err := http.NewRequest(http.MethodGet, n.URL+"/safe/x", http.NoBody)
	is.NoErr(err)
	request.Host = "shop.example"
	request.Header["Api-Key"] = []string{keyOne, keyTwo}
	response, err := n.Client().Do(request)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	is.Equal(gate.calls.Load(), int64(0))
}

// Guards against forwarding a key with a large body, a trailer or a retry.
func TestKeysAreNeverForwarded(t *testing.T) {
	is := is.New(t)
	var gate gateRecorder
	failing, failures := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(strings.ToLower(fmt.Sprint(r.Header)), "api-key") {
			t.Error("a gate received the key")
		}
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
		w.WriteHeader(http.StatusInternalServerError)
	})
	n := newTenantNode(t, nil, gate.startGate(t))
	body := strings.Repeat("b", 50_000)
	is.Equal(n.call(t, "POST", "/unsafe/x", body, "Api-Key", keyOne).StatusCode, http.StatusOK)
	is.Equal(*gate.body.Load(), body)
	is.True(gate.holdsNoKey())

	request, err := http.NewRequest(http.MethodPost, n.URL+"/unsafe/x", struct{ io.Reader }{strings.NewReader("in chunks")})
	is.NoErr(err)
	request.Host = "shop.example"
	request.Header.Set("Api-Key", keyOne)
	request.Trailer = http.Header{"Api-Key": {keyTwo}, "Whose": {"two"}}
	response, err := n.Client().Do(request)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(gate.holdsNoKey())
	is.Equal((*gate.header.Load())["Whose"], []string{"one"})

	repeating := newTenantNode(t, nil, failing, failing)
	repeating.call(t, "GET", "/safe/x", "", "Api-Key", keyOne)
	is.True(failures.Load() >= 1)
}

// A revoked key is rejected at once, also for a call between two attempts.
func TestRevokedKeysAreRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	var n *tenantNode
	full, received := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		n.setTenants([]bundle.Tenant{{Name: "one"}, {Name: "other", Keys: []bundle.Digest{bundle.DigestKey("another")}}})
		rejectWith(exchange.ReasonFull, NotRun)(w, r)
	})
	n = newTenantNode(t, nil, full, full)
	response := n.call(t, "GET", "/safe/x", "", "Api-Key", keyOne)
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	is.Equal(outcome(response), string(NotRun))
	is.Equal(received.Load(), int64(1)) // the other gate was not attempted
	is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", keyOne).StatusCode, http.StatusUnauthorized)
	is.Equal(received.Load(), int64(1))
	is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", "another").StatusCode, http.StatusServiceUnavailable) // a new key is valid at once
}

// A node without recent confirmation rejects unknown keys only temporarily. Known keys stay valid unless
// KeysStaleLimit is set and exceeded.
func TestKeysOnADisconnectedNode(t *testing.T) {
	for _, strict := range []bool{false, true} {
		t.Run(fmt.Sprint("strict ", strict), func(t *testing.T) {
			is := is.New(t)
			var gate gateRecorder
			n := newTenantNode(t, func(cfg *Config) {
				if strict {
					cfg.KeysStaleLimit = 5 * time.Second
				}
			}, gate.startGate(t))
			n.confirmedAt.Store(int64(3 * time.Second))
			response := n.call(t, "GET", "/safe/x", "", "Api-Key", "unknown")
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(outcome(response), string(NotRun))
			is.True(response.Header.Get("Retry-After") != "")
			is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusUnauthorized) // a missing key is rejected permanently
			is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", keyOne).StatusCode, http.StatusOK)
			n.confirmedAt.Store(int64(6 * time.Second))
			want := http.StatusOK
			if strict {
				want = http.StatusServiceUnavailable
			}
			is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", keyOne).StatusCode, want)
			is.Equal(n.call(t, "GET", "/public/x", "").StatusCode, http.StatusOK)
		})
	}
}

// Guards against trusting the address of a back end, which callers on its machine share.
func TestAddressDoesNotReplaceAKey(t *testing.T) {
	is := is.New(t)
	var gate gateRecorder
	n := newTenantNode(t, func(cfg *Config) { cfg.BackendHost = netip.MustParseAddr("127.0.0.1") }, gate.startGate(t))
	is.Equal(n.call(t, "GET", "/safe/x", "", "Whose", "one").StatusCode, http.StatusUnauthorized)
	is.Equal(n.call(t, "GET", "/public/x", "", "Whose", "one").StatusCode, http.StatusOK)
	is.Equal(gate.header.Load().Get("Whose"), "")
}

// A tenant's priority takes precedence over the route's, and both restrict the regions.
func TestTenantPriorityAndRegionsApplyToCalls(t *testing.T) {
	is := is.New(t)
	var gate gateRecorder
	n := newTenantNode(t, nil, gate.startGate(t))
	n.call(t, "GET", "/safe/x", "", "Api-Key", keyOne)
	is.Equal(gate.header.Load().Get(exchange.HeaderPriority), "3")
	n.call(t, "GET", "/safe/x", "", "Api-Key", keyTwo)
	is.Equal(gate.header.Load().Get(exchange.HeaderPriority), fmt.Sprint(2*ranksPerTenant+3))

	state := gatedState(n.gates, []string{"z"})
	state.Active.Content.Routes[0].Regions = []string{"east", "west"}
	tenants := twoTenants()
	tenants[0].Regions, tenants[1].Regions = []string{"north"}, []string{"west"}
	n.setState(state, tenants)
	is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", keyOne).StatusCode, http.StatusForbidden) // no region is allowed by both
	is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", keyTwo).StatusCode, http.StatusServiceUnavailable)
	is.Equal(n.call(t, "POST", "/unsafe/x", "", "Api-Key", keyOne).StatusCode, http.StatusServiceUnavailable) // z is in no region
}

// A call beyond the limit is rejected before any gate is attempted, with Retry-After. A call that
// reached no back end is refunded.
func TestQuotaIsChargedOncePerCall(t *testing.T) {
	is := is.New(t)
	var gate gateRecorder
	n := newTenantNode(t, nil, gate.startGate(t))
	n.quotas.left.Store(1)
	is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", keyTwo).StatusCode, http.StatusOK)
	is.Equal(n.quotas.left.Load(), int64(0))
	response := n.call(t, "POST", "/unsafe/x", strings.Repeat("b", 50_000), "Api-Key", keyTwo)
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	is.Equal(outcome(response), string(NotRun))
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= minGateRetry.Seconds() && after <= 0.2) // the retry must come while the 200 ms target can still be met
	is.Equal(gate.calls.Load(), int64(1))
	is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", keyOne).StatusCode, http.StatusOK) // it has no limit
	is.Equal(n.quotas.returned.Load(), int64(0))

	full, _ := fakeGate(t, rejectWith(exchange.ReasonFull, NotRun))
	rejected := newTenantNode(t, nil, full)
	is.Equal(rejected.call(t, "GET", "/safe/x", "", "Api-Key", keyTwo).StatusCode, http.StatusServiceUnavailable)
	is.Equal(rejected.quotas.returned.Load(), int64(1))
	broken, _ := fakeGate(t, rejectWith(exchange.ReasonBroken, Unknown))
	unknown := newTenantNode(t, nil, broken)
	is.Equal(unknown.call(t, "POST", "/unsafe/x", "", "Api-Key", keyTwo).StatusCode, http.StatusBadGateway)
	is.Equal(unknown.quotas.returned.Load(), int64(0)) // it may have run
}

// Without tenants the key header is forwarded unchanged.
func TestKeysAreForwardedWithoutTenants(t *testing.T) {
	is := is.New(t)
	var gate gateRecorder
	n := newTenantNode(t, nil, gate.startGate(t))
	n.setTenants(nil)
	is.Equal(n.call(t, "GET", "/safe/x", "", "Api-Key", "mine", "Whose", "me").StatusCode, http.StatusOK)
	is.Equal(gate.header.Load().Get("Api-Key"), "mine")
	is.Equal(gate.header.Load().Get("Whose"), "")
}
