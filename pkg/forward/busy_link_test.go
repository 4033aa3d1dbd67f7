package forward

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/link"

	"github.com/matryer/is"
)

// onBusyLink configures a link that the first calls fill for the rest of the test.
func onBusyLink(cfg *Config) { cfg.Link = link.NewMeter(8) }

// fillLink sends calls that fill the link, and waits until the meter has measured them.
func fillLink(t *testing.T, n *gatedNode) {
	t.Helper()
	n.call(t, "GET", "/safe/x", "")
	time.Sleep(150 * time.Millisecond)
	n.call(t, "GET", "/safe/x", "")
}

// On a busy link a call waits at the first gate; otherwise gates are first attempted without waiting.
func TestCallsWaitAtTheFirstGateOnABusyLink(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		waits  bool
	}{"busy": {onBusyLink, true}, "free": {func(*Config) {}, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var wait atomic.Int64
			gate, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
				millis, _ := strconv.ParseInt(r.Header.Get(exchange.HeaderWait), 10, 64)
				wait.Store(millis)
				respondOK(w, r)
			})
			n := newGatedNodeWith(t, c.change, []string{"other"}, gate)
			fillLink(t, n)
			n.call(t, "GET", "/safe/x", "")
			is.Equal(wait.Load() > 0, c.waits)
		})
	}
}

// fullGates is a node on a busy link with five gates that reject calls while full is set.
type fullGates struct {
	*gatedNode
	full      atomic.Bool
	gateCalls []*atomic.Int64
	lastCall  atomic.Pointer[Call]
	pauses    *pauses
}

func newFullGates(t *testing.T) *fullGates {
	t.Helper()
	f := &fullGates{}
	serve := func(w http.ResponseWriter, r *http.Request) {
		if f.full.Load() {
			rejectWith(exchange.ReasonFull, NotRun)(w, r)
			return
		}
		respondOK(w, r)
	}
	var gates []string
	for range 5 {
		gate, calls := fakeGate(t, serve)
		gates, f.gateCalls = append(gates, gate), append(f.gateCalls, calls)
	}
	change := func(cfg *Config) {
		onBusyLink(cfg)
		cfg.OnCall = func(c Call) { f.lastCall.Store(&c) }
	}
	f.gatedNode = newGatedNodeWith(t, change, slices.Repeat([]string{"z"}, len(gates)), gates...)
	fillLink(t, f.gatedNode)
	f.pauses = watchPauses(t)
	f.full.Store(true)
	return f
}

// logSlow logs where the time of a rejection of 100 ms or more was spent; seen is the number of
// earlier attempts.
func (f *fullGates) logSlow(t *testing.T, began time.Time, seen int) {
	t.Helper()
	took := time.Since(began)
	if took < 100*time.Millisecond {
		return
	}
	t.Logf("a rejection took %v: %v of it in the handler, step %q, %d gates attempted; this process was not scheduled for %v",
		took, f.lastCall.Load().Duration, f.lastCall.Load().Step, len(f.attempts)-seen, f.pauses.longestSince(began))
	for _, a := range f.attempts[seen:] {
		t.Logf("a rejection took %v: attempt %d at %s took %v, reason %s, error %v", took, a.Number, a.Instance, a.Elapsed, a.Reason, a.Err)
	}
}

// Guards against attempts that only add load to a busy link while gates reject nearly all calls. Some
// calls must still attempt a gate, so that free capacity is found.
func TestRejectedCallsDoNotFillABusyLink(t *testing.T) {
	is := is.New(t)
	n := newFullGates(t)
	before := total(n.gateCalls)
	const calls = 100
	for range calls {
		began, seen := time.Now(), len(n.attempts)
		response := n.call(t, "GET", "/safe/x", "")
		n.logSlow(t, began, seen)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(outcome(response), string(NotRun))
		is.True(response.Header.Get("Retry-After") != "")
		is.True(n.pauses.heldTime(began, n.lastCall.Load().Duration) < 100*time.Millisecond)
	}
	attempted := total(n.gateCalls) - before
	is.True(attempted > 0)
	is.True(attempted < calls) // without the throttle, each call attempts maxFullGates gates
	n.full.Store(false)
	served := 0
	for range 100 {
		time.Sleep(30 * time.Millisecond)
		if n.call(t, "GET", "/safe/x", "").StatusCode == http.StatusOK {
			served++
		}
	}
	is.True(served > 50)
}

// Guards against delays in the node before it rejects a call. Scheduling delays of the test process are
// not counted.
func TestRejectedCallsAreNotDelayed(t *testing.T) {
	is := is.New(t)
	n := newFullGates(t)
	for range 100 {
		began, seen := time.Now(), len(n.attempts)
		response := n.call(t, "GET", "/safe/x", "")
		n.logSlow(t, began, seen)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(outcome(response), string(NotRun))
		is.True(n.pauses.heldTime(began, n.lastCall.Load().Duration) < 100*time.Millisecond)
	}
}

// pauses records when a sleeping goroutine woke late: the process was not scheduled in time.
type pauses struct {
	mu   sync.Mutex
	list []pause
	// lastWake is when the goroutine last ran.
	lastWake time.Time
}

type pause struct {
	until time.Time
	took  time.Duration
}

// minPause is the shortest pause that is recorded.
const minPause = 20 * time.Millisecond

// watchPauses records pauses until the test ends.
func watchPauses(t *testing.T) *pauses {
	t.Helper()
	const nap = time.Millisecond
	p := &pauses{lastWake: time.Now()}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(nap):
			}
			p.mu.Lock()
			now := time.Now()
			if took := now.Sub(p.lastWake) - nap; took >= minPause {
				p.list = append(p.list, pause{until: now, took: took})
			}
			p.lastWake = now
			p.mu.Unlock()
		}
	}()
	return p
}

// heldTime returns how long the node held a call: the whole time since it began if the test had no
// pauses, otherwise the time in the handler less the longest pause since then, because a single
// thread may be delayed without the others.
func (p *pauses) heldTime(began time.Time, inHandler time.Duration) time.Duration {
	if p.longestSince(time.Time{}) < minPause {
		return time.Since(began)
	}
	return inHandler - p.longestSince(began)
}

// longestSince returns the longest pause that ended after a time or still lasts.
func (p *pauses) longestSince(began time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Since(p.lastWake)
	for _, one := range p.list {
		if one.until.After(began) {
			longest = max(longest, one.took)
		}
	}
	return longest
}

func total(counts []*atomic.Int64) int64 {
	sum := int64(0)
	for _, n := range counts {
		sum += n.Load()
	}
	return sum
}

// Calls to other nodes carry the sender's load report on a busy link only, and never a caller's own
// header.
func TestCallsCarryTheSendersReportOnABusyLink(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		want   string
	}{"busy": {onBusyLink, "b1=0,0,4,0"}, "free": {func(*Config) {}, ""}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var header atomic.Pointer[string]
			gate, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
				text := r.Header.Get(exchange.HeaderSender)
				header.Store(&text)
				respondOK(w, r)
			})
			n := newGatedNodeWith(t, func(cfg *Config) {
				c.change(cfg)
				cfg.SenderReport = func() string { return "b1=0,0,4,0" }
			}, []string{"other"}, gate)
			fillLink(t, n)
			n.call(t, "GET", "/safe/x", "", exchange.HeaderSender, "forged=0,0,4,0")
			is.Equal(*header.Load(), c.want)
		})
	}
}
