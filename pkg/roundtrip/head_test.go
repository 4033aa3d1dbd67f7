package roundtrip

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// respondInTurn returns the URL of a server that writes the next of several texts to each request on a connection, and how
// many connections it had.
func respondInTurn(t *testing.T, texts ...string) (url string, connections func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	var mu sync.Mutex
	accepted := 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted++
			mu.Unlock()
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, text := range texts {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, text)
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return "http://" + listener.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return accepted
	}
}

// Guards against a head that is taken for that of an earlier or later response on the same connection.
func TestHeadsOfOneConnectionAreCheckedOneByOne(t *testing.T) {
	is := is.New(t)
	const keptAlive = "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
	const sound = keptAlive + "Content-Length: 5\r\n\r\nsound"
	large := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 2*maxReusedHeadBytes) + "\r\nContent-Length: 5\r\n\r\nsound"
	url, connections := respondInTurn(t, sound, large, sound, keptAlive+"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nsound", sound)
	transport := New(&http.Transport{})
	defer transport.CloseIdleConnections()
	for number, fault := range []Fault{"", "", "", FaultHead, "", ""} {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
		is.NoErr(err)
		response, err := transport.RoundTrip(request)
		is.Equal(FaultOf(err), fault)
		if fault != "" {
			is.Equal(connections(), 1)
			continue
		}
		is.NoErr(err)
		body, err := ReadAll(response, 1<<10)
		response.Body.Close()
		is.NoErr(err)
		is.Equal(string(body), "sound")
		is.Equal(connections() > 1, number > 3) // the connection of the invalid response is not used again
	}
}

// Guards against a response of HTTP/1.0 that passes unchecked because its head was received before the request was sent.
func TestHeadOfHTTP10ThatWasNotSeenIsInvalid(t *testing.T) {
	is := is.New(t)
	response := &http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 0}
	var delivery Delivery
	is.Equal(FaultOf(delivery.head.restore(response)), FaultHead)
	delivery.head.add([]byte("HTTP/1.0 200 OK\r\nA: b\r\n"))
	is.Equal(FaultOf(delivery.head.restore(response)), FaultHead)
	delivery.head.add([]byte("\r\nbody"))
	is.NoErr(delivery.head.restore(response))
}
