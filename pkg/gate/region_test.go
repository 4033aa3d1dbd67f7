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

// A node that knows an older configuration sends to a region that must not serve the call any more: neither
// those that come nor those that wait already reach the back end, and the refusals are true.
func TestGateRefusesCallsThatItsRegionMayNotServe(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, calls := rawBackend(t, func(conn net.Conn, request *http.Request, number int64) bool {
		if number == 1 {
			<-release
		}
		return answering(conn, request, number)
	})
	g := gateTo(address, 1)
	var barred atomic.Bool
	g.config.ServedHere = func(*http.Request) bool { return !barred.Load() }
	first := make(chan *http.Response)
	go func() { first <- g.serve(callOf(t, "running", "")) }()
	for calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting := make(chan *http.Response)
	go func() {
		call := callOf(t, "waiting", "")
		exchange.SetMillis(call.Header, exchange.HeaderWait, time.Second)
		waiting <- g.serve(call)
	}()
	for g.Report().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	barred.Store(true)
	late := g.serve(callOf(t, "late", ""))
	is.Equal(reasonOf(late), exchange.ReasonRegion)
	is.Equal(late.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	close(release)
	is.Equal((<-first).StatusCode, http.StatusOK) // what runs is finished
	is.Equal(reasonOf(<-waiting), exchange.ReasonRegion)
	is.Equal(calls.Load(), int64(1))
	is.Equal(g.Report().Running, 0)
	barred.Store(false)
	is.Equal(g.serve(callOf(t, "again", "")).StatusCode, http.StatusOK)
}
