package gate

import (
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

func TestRetryShareCountsRunningRetries(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, calls := scriptedBackend(t, func(conn net.Conn, request *http.Request, number int64) bool {
		<-release
		return respondOK(conn, request, number)
	})
	g := newGateFor(address, 2)
	is.Equal(g.RetryShare(), 0.0)
	done := make(chan int, 3)
	for _, header := range [][]string{{}, {exchange.HeaderRetry, "1"}, {exchange.HeaderRetry, "1", exchange.HeaderWait, "1000"}} {
		call := newCall(t, "POST", "id", header...)
		go func() { done <- do(g, call).StatusCode }()
		time.Sleep(30 * time.Millisecond) // the third waits for a slot
	}
	is.Equal(calls.Load(), int64(2))
	is.Equal(g.RetryShare(), 0.5)
	close(release)
	for range 3 {
		is.Equal(<-done, http.StatusOK)
	}
	is.Equal(g.RetryShare(), 0.0)
	is.Equal(g.retries, 0)
}
