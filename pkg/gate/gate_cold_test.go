package gate

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// coldBackend records when calls arrive, and reports on its health path how much longer it is cold.
type coldBackend struct {
	*httptest.Server
	coldUntil atomic.Int64
	probes    atomic.Int64

	mu    sync.Mutex
	calls []time.Duration
}

const (
	coldPath   = "/health"
	coldHeader = "Cold-Ms"
)

var testStart = time.Now()

func sinceStart() time.Duration { return time.Since(testStart) }

func newColdBackend(t *testing.T, cold time.Duration) *coldBackend {
	b := &coldBackend{}
	b.setCold(cold)
	b.Server = httptest.NewServer(b)
	t.Cleanup(b.Close)
	return b
}

func (b *coldBackend) setCold(cold time.Duration) { b.coldUntil.Store(int64(sinceStart() + cold)) }

func (b *coldBackend) remaining() time.Duration {
	return max(0, time.Duration(b.coldUntil.Load())-sinceStart())
}

func (b *coldBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == coldPath {
		b.probes.Add(1)
		w.Header().Set(coldHeader, strconv.FormatInt(b.remaining().Milliseconds(), 10))
		return
	}
	b.mu.Lock()
	b.calls = append(b.calls, sinceStart())
	b.mu.Unlock()
	w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
}

func (b *coldBackend) arrived() []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Duration(nil), b.calls...)
}

// newGate returns a gate with cold bounds whose back end has not reported its state.
func (b *coldBackend) newGate(rate float64, changes ...func(ColdChange)) *Gate {
	return b.newGateWithClock(sinceStart, rate, changes...)
}

// newGateWithClock is newGate with the given clock.
func (b *coldBackend) newGateWithClock(clock func() time.Duration, rate float64, changes ...func(ColdChange)) *Gate {
	headers := testHeaders
	headers.Cold = coldHeader
	config := Config{Headers: headers, Now: clock}
	if len(changes) > 0 {
		config.OnCold = changes[0]
	}
	g := New(config)
	g.SetColdBounds(ColdBounds{Start: 2 * time.Second, Rate: rate, HealthPath: coldPath})
	g.SetBackend(Backend{ID: "b1", Address: b.Listener.Addr().String(), Capacity: 50})
	return g
}

// sendCalls sends calls at short intervals for the given time and counts them by reject reason,
// empty for responses.
func sendCalls(t *testing.T, g *Gate, duration time.Duration, header ...string) map[exchange.Reason]int {
	t.Helper()
	var mu sync.Mutex
	var group sync.WaitGroup
	reasons := map[exchange.Reason]int{}
	for until := sinceStart() + duration; sinceStart() < until; time.Sleep(2 * time.Millisecond) {
		call := newCall(t, "POST", "x", header...)
		group.Go(func() {
			response := do(g, call)
			response.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			reasons[reasonOf(response)]++
		})
	}
	group.Wait()
	return reasons
}

// A restarted gate must assume a cold back end, probe it once and keep the cold rate.
func TestRestartedGateLimitsColdBackend(t *testing.T) {
	is := is.New(t)
	b := newColdBackend(t, 1500*time.Millisecond)
	g := b.newGate(20)
	reasons := sendCalls(t, g, 1200*time.Millisecond, exchange.HeaderWait, "100")
	is.True(maxPerSecond(b.arrived()) <= 20*coldRateFactor+2) // two may have been delayed in transit
	is.True(len(b.arrived()) >= 20)
	is.Equal(b.probes.Load(), int64(1))
	is.Equal(reasons[""], len(b.arrived())) // rejected calls have not run
	is.True(reasons[exchange.ReasonCold] > 0)
	is.Equal(len(reasons), 2)
	time.Sleep(b.remaining() + 20*time.Millisecond)
	warm := sendCalls(t, g, 200*time.Millisecond)
	is.Equal(warm[exchange.ReasonCold], 0)
	is.Equal(b.probes.Load(), int64(1))
}

// A restarted gate must not limit a back end that reports that it is warm.
func TestRestartedGateDoesNotLimitWarmBackend(t *testing.T) {
	is := is.New(t)
	b := newColdBackend(t, 0)
	g := b.newGate(20)
	reasons := sendCalls(t, g, 300*time.Millisecond, exchange.HeaderWait, "200")
	is.Equal(reasons[exchange.ReasonCold], 0)
	is.True(reasons[""] > 40)
	is.Equal(b.probes.Load(), int64(1))
}

// A back end that turns cold must be limited from its next heartbeat on, including the calls of the
// preceding second. The clock stops within a second of the first call, so that a slow test process
// cannot let calls leave the window.
func TestBackendThatTurnsColdIsLimitedFromNextHeartbeat(t *testing.T) {
	is := is.New(t)
	const rate = 30
	var changes []ColdChange
	b := newColdBackend(t, 0)
	var stopsAt atomic.Int64
	stopsAt.Store(int64(sinceStart() + time.Second - time.Millisecond))
	clock := func() time.Duration { return min(sinceStart(), time.Duration(stopsAt.Load())) }
	g := b.newGateWithClock(clock, rate, func(c ColdChange) { changes = append(changes, c) })
	g.SetColdRemaining("b1", 0)
	for range 2 * rate {
		do(g, newCall(t, "POST", "x")).Body.Close()
	}
	before := len(b.arrived())
	is.Equal(before, 2*rate)
	b.setCold(time.Second)
	g.SetColdRemaining("other", 0)
	g.SetColdRemaining("b1", b.remaining())
	sendCalls(t, g, 700*time.Millisecond, exchange.HeaderWait, "50")
	is.Equal(len(b.arrived()), before) // the last second already has more calls than the rate allows
	is.Equal(b.probes.Load(), int64(0))
	is.Equal(changes[len(changes)-1].Cold, true)
	is.Equal(changes[len(changes)-1].Source, ColdHeartbeat)
	stopsAt.Store(math.MaxInt64)
	time.Sleep(b.remaining() + 10*time.Millisecond)
	is.Equal(g.Report().Cold, exchange.Cold{})
	is.Equal(changes[len(changes)-1].Cold, false)
	is.Equal(changes[len(changes)-1].Source, ColdElapsed)
}

// A back end that returns after it was unreachable must be treated as cold, despite a heartbeat
// that was in transit.
func TestUnreachableBackendIsColdWhenItReturns(t *testing.T) {
	is := is.New(t)
	b := newColdBackend(t, 0)
	g := b.newGate(20)
	g.SetColdRemaining("b1", 0)
	sendCalls(t, g, 50*time.Millisecond)
	b.setCold(time.Minute)
	g.markUnreachable(admission{generation: g.generation})
	g.SetColdRemaining("b1", 0)
	time.Sleep(unreachableBackoff + 10*time.Millisecond)
	before := len(b.arrived())
	sendCalls(t, g, 300*time.Millisecond)
	is.True(len(b.arrived())-before <= 20*coldRateFactor)
	is.Equal(b.probes.Load(), int64(1))
	is.True(g.Report().Cold.Remaining > 30*time.Second)
}

// A back end whose zone is no longer evacuated must be probed before it gets the full rate.
func TestBackendIsProbedAfterEvacuationEnds(t *testing.T) {
	is := is.New(t)
	b := newColdBackend(t, 0)
	g := b.newGate(20)
	g.SetColdRemaining("b1", 0)
	is.Equal(g.Report().Cold, exchange.Cold{})
	g.SetBackend(Backend{ID: "b1", Address: g.backend.Address, Capacity: g.backend.Capacity, Zone: "a"})
	g.SetRules(evacuated("a"))
	g.SetRules(evacuated())
	is.True(g.Report().Cold.Remaining > 0)
	sendCalls(t, g, 100*time.Millisecond, exchange.HeaderWait, "200")
	is.Equal(b.probes.Load(), int64(1))
	is.Equal(g.Report().Cold, exchange.Cold{})
}

// Calls that wait for a cold back end must be admitted in order of priority.
func TestColdBackendAdmitsByPriority(t *testing.T) {
	is := is.New(t)
	b := newColdBackend(t, 0)
	g := b.newGate(4)
	g.SetColdRemaining("b1", time.Minute)
	do(g, newCall(t, "POST", "first")).Body.Close()
	order := make(chan string, 2)
	send := func(id, priority string) {
		call := newCall(t, "POST", id, exchange.HeaderPriority, priority, exchange.HeaderWait, "1500")
		go func() {
			do(g, call).Body.Close()
			order <- id
		}()
		time.Sleep(10 * time.Millisecond)
	}
	send("less", "5")
	send("more", "1")
	is.Equal(<-order, "more")
	is.Equal(<-order, "less")
	is.Equal(len(b.arrived()), 3)
}
