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

// sendAhead sends safe calls on one connection without waiting for answers; the first takes
// longest.
func sendAhead(t *testing.T, address string, calls int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(callLimit)))
	for i := range calls {
		_, err := fmt.Fprintf(c, "GET /pedidos/stock/x HTTP/1.1\r\nHost: a\r\n%s: ahead-%d\r\n%s: %d\r\n\r\n",
			standin.HeaderCallID, i, standin.HeaderWorkMillis, 600-100*i)
		is.New(t).NoErr(err)
	}
	return c
}

// TestPlannedStopAnswersCallsBehindOneAnother: calls that were sent ahead on one connection run side
// by side, and a node that is stopped meanwhile answers all of them, in their order, before it
// closes the connection.
func TestPlannedStopAnswersCallsBehindOneAnother(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, nil)
	node := s.Proxies[0]
	const calls = 5
	began := time.Now()
	c := sendAhead(t, node.Address, calls)
	time.Sleep(150 * time.Millisecond) // all are under way
	var group sync.WaitGroup
	group.Go(func() { is.NoErr(node.Stop(callLimit)) })
	reader := bufio.NewReader(c)
	for range calls {
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
	}
	is.True(time.Since(began) < 1500*time.Millisecond) // one after the other they take two seconds
	rest, err := io.ReadAll(reader)
	is.NoErr(err)
	is.Equal(len(rest), 0)
	group.Wait()
}
