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

// Two clocks have nothing in common: only what is above the least difference is lateness.
func TestTransitTellsLatenessFromClocks(t *testing.T) {
	is := is.New(t)
	var known transit
	late := func(process uint32, now, sent time.Duration) time.Duration {
		return known.late(now, exchange.Sent{Process: process, At: sent})
	}
	const ms = time.Millisecond
	is.Equal(late(1, 1000*ms, 70_000*ms), 0*ms)       // the first one of a process is not late
	is.Equal(late(2, 1000*ms, 0), 0*ms)               // nor that of one that started later
	is.Equal(late(1, 1515*ms, 70_500*ms), 0*ms)       // within the slack
	is.Equal(late(1, 3000*ms, 70_600*ms), 1400*ms)    // it waited
	is.Equal(late(2, 3000*ms, 2000*ms), 0*ms)         // another's did not
	is.Equal(late(1, 3001*ms, 72_001*ms), 0*ms)       // nor did the next one
	is.Equal(late(1, 12_000*ms, 80_500*ms), 500*ms)   // the next span remembers
	is.Equal(late(3, 12_000*ms, 12_000*ms), 0*ms)     // a process that started again
	is.Equal(late(1, 70_000*ms, 90_000*ms), 0*ms)     // a clock that stood still is believed in time
	is.Equal(late(1, 70_100*ms, 90_050*ms), 50*ms)    // and from then on compared with itself
	is.Equal(len(known.processes), 1)                 // who was silent is forgotten
	is.Equal(late(1, 200_000*ms, 219_900*ms), 0*ms)   // after silence nothing is known
	is.Equal(late(1, 200_100*ms, 220_100*ms), 0*ms)   // a quicker one
	is.Equal(late(1, 200_200*ms, 220_100*ms), 100*ms) // and what was slower than that
}

// A call whose time was over before it came reaches no back end, and its caller may be told so for certain.
func TestCallThatWasTooLongOnItsWayIsNotRun(t *testing.T) {
	is := is.New(t)
	var left []string
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		left = append(left, r.Header.Get("Left-Ms"))
		is.Equal(r.Header.Get(exchange.HeaderSent), "") // it stays between nodes and gates
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	defer backend.Close()
	g := gateTo(backend.Listener.Addr().String(), 2)
	serve := func(id, millisLeft string, onItsWay time.Duration) *http.Response {
		const ahead = time.Hour // of the sender's clock
		sent := exchange.Sent{Process: 7, At: g.config.Now() + ahead - onItsWay}
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
	is.True(left[1] > "59000" && left[1] <= "59110") // the back end is told what is really left
}

// A call's headers are read again for its answer: that says nothing of its way here.
func TestOnlyArrivingCallsTellOfTheirWay(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 64<<10)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
		_, _ = io.WriteString(w, body)
	}))
	defer backend.Close()
	g := gateTo(backend.Listener.Addr().String(), 2)
	started := time.Now()
	g.config.Now = func() time.Duration { return time.Minute + time.Since(started) }
	g.config.Answers = exchange.NewPacer(1e9, 0.9, g.config.Now)
	for _, id := range []string{"first", "second"} {
		sent := exchange.Sent{Process: 7, At: g.config.Now()}
		w := httptest.NewRecorder()
		g.ServeHTTP(w, newCall(t, "GET", id, exchange.HeaderSent, sent.String()))
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.Len(), len(body))
	}
}
