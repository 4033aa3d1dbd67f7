package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/quarantine"

	"github.com/matryer/is"
)

// callWithBody returns a call of another node with the given body.
func callWithBody(t *testing.T, id, body string) *http.Request {
	t.Helper()
	call := newCall(t, "POST", id, "From", "shop")
	call.Body, call.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return call
}

func respondOK(conn net.Conn, request *http.Request, _ int64) bool {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nCall-Id: "+request.Header.Get("Call-Id")+"\r\nContent-Length: 2\r\n\r\nok")
	return true
}

// A quarantined request from another node must not reach the back end or keep its slot.
func TestQuarantinedRequestsDoNotReachTheBackend(t *testing.T) {
	is := is.New(t)
	address, calls := scriptedBackend(t, respondOK)
	g := newGateFor(address, 1)
	g.config.Quarantine = &quarantine.Filter{}
	g.config.Quarantine.Set(&quarantine.Watchlist{Entries: []quarantine.Entry{
		{Request: quarantine.FingerprintOf(callWithBody(t, "any", ""), []byte("fatal")), Quarantined: true},
	}})
	for range 3 {
		response := g.serve(callWithBody(t, "a", "fatal"))
		is.Equal(reasonOf(response), exchange.ReasonQuarantined)
		is.Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	}
	is.Equal(calls.Load(), int64(0))
	is.Equal(g.serve(callWithBody(t, "b", "harmless")).StatusCode, http.StatusOK)
	is.Equal(g.Report().Running, 0)
}

// A gate must report the crash of its back end for the call it processed, and responses to watched
// requests.
func TestGateReportsCrashesAndResponsesOfSuspects(t *testing.T) {
	is := is.New(t)
	way := quarantine.Way{Caller: "shop", Service: "orders"}
	var crashes []quarantine.End
	var responses []quarantine.Answer
	configure := func(g *Gate, address string) *Gate {
		g.SetBackend(Backend{ID: "b2", Service: "orders", Address: address, Capacity: 1})
		g.config.Quarantine = &quarantine.Filter{}
		g.config.OnCrash = func(end quarantine.End) { crashes = append(crashes, end) }
		g.config.OnSuspectResponse = func(answer quarantine.Answer) { responses = append(responses, answer) }
		return g
	}
	request := quarantine.FingerprintOf(callWithBody(t, "any", ""), []byte("fatal"))
	crashing := configure(newGateFor("", 1), crashingBackend(t, 1, true))
	crashing.serve(callWithBody(t, "a", "fatal"))
	is.Equal(crashes, []quarantine.End{{Request: request, Instance: "b2", Way: way}})

	// The crash report of an attempt that was admitted while the request was watched must say so.
	watching := configure(newGateFor("", 1), crashingBackend(t, 1, true))
	watching.config.Quarantine.Set(&quarantine.Watchlist{Entries: []quarantine.Entry{{Request: request}}})
	watching.serve(callWithBody(t, "a", "fatal"))
	is.Equal(crashes[1:], []quarantine.End{{Request: request, Instance: "b2", Way: way, Watched: true}})

	address, _ := scriptedBackend(t, respondOK)
	g := configure(newGateFor("", 1), address)
	g.serve(callWithBody(t, "b", "fatal"))
	is.Equal(len(responses), 0) // the request is not watched
	g.config.Quarantine.Set(&quarantine.Watchlist{Entries: []quarantine.Entry{{Request: request}}})
	g.serve(callWithBody(t, "c", "harmless"))
	is.Equal(len(responses), 0)
	g.serve(callWithBody(t, "d", "fatal"))
	is.Equal(responses, []quarantine.Answer{{Request: request, Way: way}})
	g.config.Quarantine.Set(&quarantine.Watchlist{Entries: []quarantine.Entry{{Request: request, Answered: []quarantine.Way{way}}}})
	g.serve(callWithBody(t, "e", "fatal"))
	is.Equal(len(responses), 1) // already answered for this caller and service
}

// Guards against a second crash of a back end that started again under its ID and counts as known.
func TestCrashNamesTheIncarnation(t *testing.T) {
	is := is.New(t)
	var crashes []string
	for _, incarnation := range []uint64{7, 8} {
		g := newGateFor("", 1)
		g.config.OnCrash = func(end quarantine.End) { crashes = append(crashes, end.Instance) }
		g.SetBackend(Backend{ID: "b2", Incarnation: incarnation, Service: "orders", Address: crashingBackend(t, 1, true), Capacity: 1})
		g.serve(callWithBody(t, "a", "fatal"))
	}
	is.Equal(crashes, []string{"b2/7", "b2/8"})
}

// Rejections and errors of a back end must not clear a suspect: a restarted instance may reject
// calls meant for the one that crashed.
func TestOnlyProcessedRequestsClearASuspect(t *testing.T) {
	for status, wantCleared := range map[int]bool{200: true, 204: true, 302: true, 400: true, 404: true,
		408: false, 421: false, 429: false, 500: false, 503: false, 504: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			address, _ := scriptedBackend(t, func(conn net.Conn, request *http.Request, _ int64) bool {
				fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nCall-Id: %s\r\nContent-Length: 0\r\n\r\n", status, request.Header.Get("Call-Id"))
				return true
			})
			g := newGateFor(address, 1)
			cleared := false
			g.config.OnSuspectResponse = func(quarantine.Answer) { cleared = true }
			g.config.Quarantine = &quarantine.Filter{}
			g.config.Quarantine.Set(&quarantine.Watchlist{Entries: []quarantine.Entry{{Request: quarantine.FingerprintOf(callWithBody(t, "any", ""), []byte("fatal"))}}})
			is.Equal(g.serve(callWithBody(t, "a", "fatal")).StatusCode, status)
			is.Equal(cleared, wantCleared)
		})
	}
}
