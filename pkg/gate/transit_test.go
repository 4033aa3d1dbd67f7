package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// The delay must not depend on the difference between the clocks, only on the excess over its
// minimum.
func TestTransitDelayIsMeasuredAgainstTheFastestCall(t *testing.T) {
	is := is.New(t)
	var tracker transitTracker
	delay := func(process uint32, now, sent time.Duration) time.Duration {
		return tracker.delay(now, exchange.Sent{Process: process, At: sent})
	}
	const ms = time.Millisecond
	is.Equal(delay(1, 1000*ms, 70_000*ms), 0*ms)       // the first call of a process has no delay
	is.Equal(delay(2, 1000*ms, 0), 0*ms)               // nor has the first call of another process, started later
	is.Equal(delay(1, 1515*ms, 70_500*ms), 0*ms)       // within the tolerance
	is.Equal(delay(1, 3000*ms, 70_600*ms), 1400*ms)    // delayed
	is.Equal(delay(2, 3000*ms, 2000*ms), 0*ms)         // another process is not
	is.Equal(delay(1, 3001*ms, 72_001*ms), 0*ms)       // nor is the next call
	is.Equal(delay(1, 12_000*ms, 80_500*ms), 500*ms)   // the next window uses the previous minimum
	is.Equal(delay(3, 12_000*ms, 12_000*ms), 0*ms)     // a restarted process
	is.Equal(delay(1, 70_000*ms, 90_000*ms), 0*ms)     // a clock that stopped is accepted in the next window
	is.Equal(delay(1, 70_100*ms, 90_050*ms), 50*ms)    // its delay is then measured against the new offset
	is.Equal(len(tracker.processes), 1)                // processes without calls are discarded
	is.Equal(delay(1, 200_000*ms, 219_900*ms), 0*ms)   // the minimum is discarded after two windows without calls
	is.Equal(delay(1, 200_100*ms, 220_100*ms), 0*ms)   // a faster call
	is.Equal(delay(1, 200_200*ms, 220_100*ms), 100*ms) // a call measured against the faster one
}

// A call that expired in transit must not reach the back end, and must be reported as not run.
func TestCallThatExpiredInTransitIsNotRun(t *testing.T) {
	is := is.New(t)
	var left []string
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		left = append(left, r.Header.Get("Left-Ms"))
		is.Equal(r.Header.Get(exchange.HeaderSent), "") // internal to nodes and gates
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	defer backend.Close()
	g := newGateFor(backend.Listener.Addr().String(), 2)
	serve := func(id, millisLeft string, transit time.Duration) *http.Response {
		const ahead = time.Hour // of the sender's clock
		sent := exchange.Sent{Process: 7, At: g.config.Now() + ahead - transit}
		response := g.serve(newCall(t, "POST", id, "Left-Ms", millisLeft, exchange.HeaderSent, sent.String()))
		response.Body.Close()
		return response
	}
	is.Equal(serve("calm", "1000", 0).StatusCode, http.StatusOK)
	late := serve("late", "800", 900*time.Millisecond)
	is.Equal(late.StatusCode, http.StatusServiceUnavailable)
	is.Equal(late.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.Equal(reasonOf(late), exchange.ReasonDeadline)
	is.Equal(serve("in time", "60000", 900*time.Millisecond).StatusCode, http.StatusOK)
	is.Equal(len(left), 2)
	is.True(left[1] > "59000" && left[1] <= "59110") // the back end gets the time actually left
}

// A call's headers are read again for its response; that must not count as a second arrival.
func TestTransitIsMeasuredOncePerCall(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 64<<10)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
		_, _ = io.WriteString(w, body)
	}))
	defer backend.Close()
	g := newGateFor(backend.Listener.Addr().String(), 2)
	started := time.Now()
	g.config.Now = func() time.Duration { return time.Minute + time.Since(started) }
	g.config.ResponsePacer = exchange.NewPacer(1e9, 0.9, g.config.Now)
	for _, id := range []string{"first", "second"} {
		sent := exchange.Sent{Process: 7, At: g.config.Now()}
		w := httptest.NewRecorder()
		g.ServeHTTP(w, newCall(t, "GET", id, exchange.HeaderSent, sent.String()))
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.Len(), len(body))
	}
}
