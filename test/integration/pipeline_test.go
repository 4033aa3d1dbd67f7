package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"

	"github.com/matryer/is"
)

// sendPipelined sends GET calls on one connection without waiting for responses; the
// first takes longest.
func sendPipelined(t *testing.T, address string, calls int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(callTimeout)))
	for i := range calls {
		_, err := fmt.Fprintf(c, "GET /pedidos/stock/x HTTP/1.1\r\nHost: a\r\n%s: ahead-%d\r\n%s: %d\r\n\r\n",
			standin.HeaderCallID, i, standin.HeaderWorkMillis, 600-100*i)
		is.New(t).NoErr(err)
	}
	return c
}

// TestPlannedStopAnswersPipelinedCalls guards against a node that stops before it has
// responded to all pipelined calls in order, or that executes them one after another.
func TestPlannedStopAnswersPipelinedCalls(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	node := s.Proxies[0]
	const calls = 5
	start := time.Now()
	c := sendPipelined(t, node.Address, calls)
	time.Sleep(150 * time.Millisecond) // all calls are in flight
	var group sync.WaitGroup
	group.Go(func() { is.NoErr(node.Stop(callTimeout)) })
	reader := bufio.NewReader(c)
	for range calls {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
	}
	is.True(time.Since(start) < 1500*time.Millisecond) // sequential execution takes two seconds
	rest, err := io.ReadAll(reader)
	is.NoErr(err)
	is.Equal(len(rest), 0)
	group.Wait()
}
