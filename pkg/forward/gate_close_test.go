package forward

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// maxIdleBeforeClose bounds the time between a response of a closingGate and its close notice.
const maxIdleBeforeClose = 400 * time.Microsecond

// crossingNodes is how many nodes call a gate that closes their connections.
const crossingNodes = 200

// closingGate serves one call of each connection, and closes it soon after with a notice that later calls have not run.
func closingGate(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveOnceAndClose(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func serveOnceAndClose(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nCall-Id: %s\r\nContent-Length: 6\r\n\r\nserved", request.Header.Get("Call-Id"))
	time.Sleep(rand.N(maxIdleBeforeClose))
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n%s: %s\r\n%s: %s\r\n\r\n",
		exchange.HeaderOutcome, exchange.NotRun, exchange.HeaderReason, exchange.ReasonStopping)
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// Guards against an unsafe call that fails because it crossed the close of its gate's connection.
func TestUnsafeCallsThatCrossTheCloseOfAGateAreServed(t *testing.T) {
	is := is.New(t)
	steady, _ := fakeGate(t, respondOK)
	closing := closingGate(t)
	reasons := map[exchange.Reason]int{}
	for range crossingNodes {
		// A node prefers other gates once a gate has said that it stops.
		n := newGatedNode(t, 0, closing, steady)
		for range 8 {
			response := n.call(t, "POST", "/unsafe/x", "body")
			body, _ := io.ReadAll(response.Body)
			if response.StatusCode != http.StatusOK {
				t.Fatalf("status %d: %s; attempts: %+v", response.StatusCode, body, n.attempts)
			}
			time.Sleep(rand.N(maxIdleBeforeClose))
		}
		for _, attempt := range n.attempts {
			reasons[attempt.Reason]++
		}
	}
	t.Logf("attempts that failed: %v", reasons)
	is.True(reasons[exchange.ReasonStopping] > 0) // some calls crossed the close
}
