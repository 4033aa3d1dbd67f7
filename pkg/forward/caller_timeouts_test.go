package forward

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

func TestAgeIsTheDifferenceToTheUsualTimeout(t *testing.T) {
	is := is.New(t)
	p := newCallerTimeouts()
	for range 100 {
		is.Equal(p.age("a", 2500*time.Millisecond), time.Duration(0))
	}
	is.Equal(p.age("a", 1500*time.Millisecond), time.Second)
	is.Equal(p.age("b", 1500*time.Millisecond), time.Duration(0)) // another route's callers
}

// A few callers with long timeouts must not make all other calls look like retries.
func TestFewLongTimeoutsDoNotRaiseTheUsualTimeout(t *testing.T) {
	is := is.New(t)
	p := newCallerTimeouts()
	for i := range 1000 {
		left := 2500 * time.Millisecond
		if i%20 == 0 {
			left *= 4
		}
		is.Equal(p.age("a", left), time.Duration(0))
	}
}

// After a start most calls may be retries.
func TestAgeIsEstimatedAmongManyRetries(t *testing.T) {
	is := is.New(t)
	p := newCallerTimeouts()
	for i := range 400 {
		left := 2500 * time.Millisecond
		if i%4 != 0 {
			left -= time.Duration(300+i) * time.Millisecond
		}
		age := p.age("a", left)
		if i > 100 {
			is.Equal(age, 2500*time.Millisecond-left)
		}
	}
}

func TestTimeoutsOfRemovedRoutesAreDropped(t *testing.T) {
	is := is.New(t)
	p := newCallerTimeouts()
	p.age("a", time.Second)
	p.age("b", time.Second)
	p.prune(func(route string) bool { return route == "a" })
	is.Equal(len(p.routes), 1)
}

// A gate receives the target latency left, counted from the caller's first attempt.
func TestTargetLatencyCountsFromTheFirstAttempt(t *testing.T) {
	is := is.New(t)
	var target atomic.Int64
	gate, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
		millis, set := exchange.ReadMillis(r.Header, exchange.HeaderTarget)
		is.True(set)
		target.Store(millis.Milliseconds())
		respondOK(w, r)
	})
	n := newGatedNode(t, 1, gate)
	for range 20 {
		n.call(t, http.MethodGet, "/safe/x", "", "Left-Ms", "350")
	}
	is.True(target.Load() > 100) // a first attempt has nearly all of its 200 ms left
	n.call(t, http.MethodGet, "/safe/x", "", "Left-Ms", "250")
	is.True(target.Load() > 50 && target.Load() <= 100)
	n.call(t, http.MethodGet, "/safe/x", "", "Left-Ms", "100")
	is.Equal(target.Load(), int64(0))
}

// Only calls that may run twice are handled concurrently with others of their connection.
func TestOnlyRepeatableCallsMayRunConcurrently(t *testing.T) {
	is := is.New(t)
	gate, _ := fakeGate(t, respondOK)
	n := newGatedNode(t, 1, gate)
	handler := n.Config.Handler.(*Handler)
	mayRun := func(method, path string) bool {
		r := httptest.NewRequest(method, path, nil)
		r.Host = "shop.example"
		return handler.MayRunConcurrently(r)
	}
	is.True(mayRun(http.MethodGet, "/safe/x"))
	is.True(!mayRun(http.MethodGet, "/unsafe/x")) // whatever the method is
	is.True(!mayRun(http.MethodGet, "/nowhere/x"))
	is.True(!New(Config{}).MayRunConcurrently(httptest.NewRequest(http.MethodGet, "/safe/x", nil)))
}
