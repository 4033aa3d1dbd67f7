package gate

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// A call from a node with an older configuration must not reach a back end whose region may not
// serve it, whether the call is new or queued.
func TestCallsTheRegionMayNotServeAreRejected(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, calls := scriptedBackend(t, func(conn net.Conn, request *http.Request, number int64) bool {
		if number == 1 {
			<-release
		}
		return respondOK(conn, request, number)
	})
	g := newGateFor(address, 1)
	var forbidden atomic.Bool
	g.config.RegionServes = func(*http.Request) bool { return !forbidden.Load() }
	first := make(chan *http.Response)
	go func() { first <- g.serve(callWithBody(t, "running", "")) }()
	for calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting := make(chan *http.Response)
	go func() {
		call := callWithBody(t, "waiting", "")
		exchange.SetMillis(call.Header, exchange.HeaderWait, time.Second)
		waiting <- g.serve(call)
	}()
	for g.Report().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	forbidden.Store(true)
	late := g.serve(callWithBody(t, "late", ""))
	is.Equal(reasonOf(late), exchange.ReasonRegion)
	is.Equal(late.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	close(release)
	is.Equal((<-first).StatusCode, http.StatusOK) // running calls may finish
	is.Equal(reasonOf(<-waiting), exchange.ReasonRegion)
	is.Equal(calls.Load(), int64(1))
	is.Equal(g.Report().Running, 0)
	forbidden.Store(false)
	is.Equal(g.serve(callWithBody(t, "again", "")).StatusCode, http.StatusOK)
}
