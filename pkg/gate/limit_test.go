package gate

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

const (
	limitHeader   = "Backend-Limit"
	leavingHeader = "Backend-Draining"
)

// statingBackend names a limit in its responses, and records when calls arrive.
type statingBackend struct {
	*httptest.Server
	mu      sync.Mutex
	limit   string
	leaving bool
	status  int
	work    time.Duration
	calls   []time.Duration
	ids     []string
}

func newStatingBackend(t *testing.T, limit string) *statingBackend {
	b := &statingBackend{limit: limit, status: http.StatusOK}
	b.Server = httptest.NewServer(b)
	t.Cleanup(b.Close)
	return b
}

func (b *statingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.calls, b.ids = append(b.calls, sinceStart()), append(b.ids, r.Header.Get("Call-Id"))
	work, limit, leaving, status := b.work, b.limit, b.leaving, b.status
	b.mu.Unlock()
	time.Sleep(work)
	w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	if limit != "" {
		w.Header().Set(limitHeader, limit)
	}
	if leaving {
		w.Header().Set(leavingHeader, "1")
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Not-Run", "1")
	}
	w.WriteHeader(status)
}

// set changes what the back end states.
func (b *statingBackend) set(change func(b *statingBackend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

func (b *statingBackend) arrived() []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Duration(nil), b.calls...)
}

func (b *statingBackend) newGate(changes ...func(*Config)) *Gate {
	headers := testHeaders
	headers.Limit, headers.Leaving = []string{limitHeader}, []string{leavingHeader}
	config := Config{Headers: headers, Now: sinceStart}
	for _, change := range changes {
		change(&config)
	}
	g := New(config)
	g.SetBackend(b.backend(1))
	return g
}

func (b *statingBackend) backend(incarnation uint64) Backend {
	return Backend{ID: "b1", Address: b.Listener.Addr().String(), Capacity: 50, Incarnation: incarnation}
}

// Calls of other nodes, of the own node, retries and calls with large bodies count together, and rejected calls have not
// run.
func TestGateKeepsAllCallsWithinTheNamedLimit(t *testing.T) {
	is := is.New(t)
	b := newStatingBackend(t, "20")
	g := b.newGate()
	do(g, newCall(t, "GET", "first")).Body.Close()
	begin := len(b.arrived())
	var group sync.WaitGroup
	var mu sync.Mutex
	reasons := map[exchange.Reason]int{}
	large := strings.Repeat("x", 2*largeBodyBytes)
	for until := sinceStart() + 2*time.Second; sinceStart() < until; time.Sleep(3 * time.Millisecond) {
		kind := rand.IntN(4)
		group.Go(func() {
			header := []string{exchange.HeaderWait, strconv.Itoa(rand.IntN(200))}
			reason := exchange.Reason("")
			switch kind {
			case 0:
				response := do(g, newCall(t, "GET", "own", header...))
				reason = reasonOf(response)
				response.Body.Close()
			case 1:
				recorder := httptest.NewRecorder()
				g.ServeHTTP(recorder, newCall(t, "POST", "other", append(header, exchange.HeaderRetry, "1")...))
				reason = exchange.Reason(recorder.Header().Get(exchange.HeaderReason))
			default:
				call := newCall(t, "POST", "large", header...)
				call.Body, call.ContentLength = http.NoBody, 0
				call = httptest.NewRequest("POST", "http://host.example/large", strings.NewReader(large))
				call.Header.Set("Call-Id", "large")
				call.Header.Set("Left-Ms", "2000")
				call.Header.Set(exchange.HeaderWait, header[1])
				recorder := httptest.NewRecorder()
				g.ServeHTTP(recorder, call)
				reason = exchange.Reason(recorder.Header().Get(exchange.HeaderReason))
			}
			mu.Lock()
			defer mu.Unlock()
			reasons[reason]++
		})
	}
	group.Wait()
	calls := len(b.arrived()) - begin
	is.Equal(reasons[""], calls)
	is.True(reasons[exchange.ReasonLimit] > 0)
	is.Equal(len(reasons), 2)
	t.Logf("%d calls in 2 s at a limit of 20 per second", calls)
	is.True(calls <= 20*2+20/4+1+20/5) // in 2 s, ahead of the rate, and after waiting up to 200 ms
	is.True(calls >= 36)
}

// Guards against a queue that keeps a call which a call of higher priority has displaced until its time is up.
func TestNamedLimitRejectsDisplacedCallsAtOnce(t *testing.T) {
	is := is.New(t)
	b := newStatingBackend(t, "2")
	g := b.newGate()
	do(g, newCall(t, "GET", "first")).Body.Close()
	do(g, newCall(t, "GET", "second")).Body.Close()
	type result struct {
		id     string
		reason exchange.Reason
		after  time.Duration
	}
	results := make(chan result, 4)
	send := func(id, priority, wait string) {
		began := sinceStart()
		call := newCall(t, "GET", id, exchange.HeaderPriority, priority, exchange.HeaderWait, wait)
		go func() {
			response := do(g, call)
			response.Body.Close()
			results <- result{id, reasonOf(response), sinceStart() - began}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	send("low", "5", "900")
	send("high", "1", "1800")
	send("higher", "0", "900")
	first := <-results
	is.Equal(first.id, "low")
	is.Equal(first.reason, exchange.ReasonLimit)
	is.True(first.after < 300*time.Millisecond)
	is.Equal((<-results).id, "higher")
	is.Equal((<-results).id, "high")
}

// A limit ends with the first answer that does not name it, rises and falls with the answers, and does not apply to a
// later incarnation. A value that cannot be read and a declined call change nothing.
func TestNamedLimitFollowsTheAnswers(t *testing.T) {
	is := is.New(t)
	b := newStatingBackend(t, "1000")
	var changes []LimitChange
	g := b.newGate(func(c *Config) { c.OnLimit = func(change LimitChange) { changes = append(changes, change) } })
	call := func() exchange.Limit {
		for {
			response := do(g, newCall(t, "GET", "x", exchange.HeaderWait, "500"))
			response.Body.Close()
			if reasonOf(response) != exchange.ReasonLimit {
				return g.Report().Limit
			}
		}
	}
	is.Equal(call().Rate, 1000.0)
	b.set(func(b *statingBackend) { b.limit = "1100" })
	is.Equal(call().Rate, 1100.0)
	b.set(func(b *statingBackend) { b.limit = "50" })
	is.Equal(call().Rate, 50.0)
	b.set(func(b *statingBackend) { b.limit = "many" })
	is.Equal(call().Rate, 50.0)
	is.Equal(call().Rate, 50.0)
	b.set(func(b *statingBackend) { b.limit, b.status = "", http.StatusServiceUnavailable })
	is.Equal(call().Rate, 50.0)
	b.set(func(b *statingBackend) { b.status = http.StatusOK })
	is.Equal(call(), exchange.Limit{})
	b.set(func(b *statingBackend) { b.limit = "3" })
	is.Equal(call().Rate, 3.0)
	g.SetBackend(b.backend(2))
	is.Equal(g.Report().Limit, exchange.Limit{})
	logged := ""
	for _, c := range changes {
		logged += fmt.Sprintf("%v %v %s;", c.Limited, c.Rate, c.Invalid)
	}
	is.Equal(logged, `true 1000 ;true 50 ;true 50 "many";false 0 ;true 3 ;`) // small changes are not reported
}

// A misdirected call is answered by another back end at the same address.
func TestMisdirectedAnswerStatesNothing(t *testing.T) {
	is := is.New(t)
	b := newStatingBackend(t, "1")
	b.set(func(b *statingBackend) { b.status, b.leaving = http.StatusMisdirectedRequest, true })
	g := b.newGate()
	do(g, newCall(t, "GET", "x")).Body.Close()
	is.Equal(g.Report().Limit, exchange.Limit{})
	is.True(g.Present())
}

// Guards against a restarted gate that admits calls of nodes which know the limit beyond it, or keeps to a limit of an
// earlier incarnation or another back end.
func TestRestartedGateKeepsToALimitThatNodesKnow(t *testing.T) {
	is := is.New(t)
	b := newStatingBackend(t, "4")
	b.set(func(b *statingBackend) { b.work = 300 * time.Millisecond })
	known := exchange.KnownLimit{Rate: 4, Incarnation: 1}
	g := b.newGate()
	reasons := sendCalls(t, g, 200*time.Millisecond, "Want", "b1", exchange.HeaderKnownLimit, known.String())
	is.True(reasons[""] <= 2)
	// No call is answered before all have arrived, and a limit would admit no more than the first two on this clock.
	const calls = 8
	b.set(func(b *statingBackend) { b.work = time.Second })
	stopped := sinceStart()
	for _, other := range []exchange.KnownLimit{{Rate: 4, Incarnation: 0}, {Rate: 4, Incarnation: 2}} {
		fresh := b.newGate(func(c *Config) { c.Now = func() time.Duration { return stopped } })
		b.set(func(b *statingBackend) { b.calls = nil })
		var group sync.WaitGroup
		for range calls {
			call := newCall(t, "POST", "x", "Want", "b1", exchange.HeaderKnownLimit, other.String())
			group.Go(func() { do(fresh, call).Body.Close() })
		}
		group.Wait()
		is.Equal(len(b.arrived()), calls)
	}
}

// A back end that says it leaves gets no further calls, nor do queued calls reach it, until a later incarnation starts.
func TestLeavingBackEndGetsNoFurtherCalls(t *testing.T) {
	is := is.New(t)
	b := newStatingBackend(t, "2")
	left := make(chan string, 2)
	g := b.newGate(func(c *Config) {
		c.OnLeaving = func(id string, incarnation uint64) { left <- fmt.Sprint(id, " ", incarnation) }
	})
	do(g, newCall(t, "GET", "1")).Body.Close()
	b.set(func(b *statingBackend) { b.leaving, b.work = true, 50*time.Millisecond })
	queued := make(chan exchange.Reason)
	go func() { do(g, newCall(t, "GET", "2")).Body.Close() }()
	time.Sleep(10 * time.Millisecond)
	go func() {
		response := do(g, newCall(t, "GET", "3", exchange.HeaderWait, "1000"))
		response.Body.Close()
		queued <- reasonOf(response)
	}()
	is.Equal(<-queued, exchange.ReasonRemoved)
	is.Equal(reasonOf(do(g, newCall(t, "GET", "4", "Want", "b1"))), exchange.ReasonRemoved)
	g.SetBackend(b.backend(1)) // a heartbeat that says nothing new
	is.Equal(reasonOf(do(g, newCall(t, "GET", "5", "Want", "b1"))), exchange.ReasonRemoved)
	is.Equal(len(b.arrived()), 2)
	is.Equal(<-left, "b1 1")
	is.Equal(len(left), 0)
	b.set(func(b *statingBackend) { b.leaving, b.limit = false, "" })
	g.SetBackend(b.backend(2))
	for range 20 {
		is.Equal(reasonOf(do(g, newCall(t, "GET", "6", "Want", "b1"))), exchange.Reason(""))
	}
}

// A health path may set a limit, but neither end one nor say that the back end leaves.
func TestHealthPathOnlySetsALimit(t *testing.T) {
	is := is.New(t)
	b := newStatingBackend(t, "5")
	g := b.newGate()
	adm := admission{backend: g.backend, generation: g.generation}
	g.recordHealthStatement(adm, exchange.Statement{Limited: true, Limit: 5, Leaving: true})
	is.Equal(g.Report().Limit.Rate, 5.0)
	is.True(g.Present())
	g.recordHealthStatement(adm, exchange.Statement{})
	is.Equal(g.Report().Limit.Rate, 5.0)
}

// Guards against calls of lower priority that take all tokens because urgent calls with large bodies are rejected before
// they are counted.
func TestLargeUrgentCallsAreLeftAToken(t *testing.T) {
	is := is.New(t)
	b := newStatingBackend(t, "20")
	g := b.newGate()
	do(g, newCall(t, "GET", "first", exchange.HeaderPriority, "5")).Body.Close()
	do(g, newCall(t, "GET", "second", exchange.HeaderPriority, "5")).Body.Close()
	large := func() exchange.Reason {
		call := httptest.NewRequest("POST", "http://host.example/large", strings.NewReader(strings.Repeat("x", 2*largeBodyBytes)))
		call.Header.Set("Call-Id", "large")
		call.Header.Set("Left-Ms", "2000")
		call.Header.Set(exchange.HeaderPriority, "1")
		recorder := httptest.NewRecorder()
		g.ServeHTTP(recorder, call)
		return exchange.Reason(recorder.Header().Get(exchange.HeaderReason))
	}
	is.Equal(large(), exchange.ReasonLimit)
	time.Sleep(70 * time.Millisecond) // for one token
	is.Equal(reasonOf(do(g, newCall(t, "GET", "low", exchange.HeaderPriority, "5"))), exchange.ReasonLimit)
	is.Equal(large(), exchange.Reason(""))
}
