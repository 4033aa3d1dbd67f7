package admin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func get(t *testing.T, address, path string) (status int, body string) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return response.StatusCode, string(text)
}

// Both addresses must respond, and an idle connection must not delay the shutdown.
func TestServiceRespondsAtBothAddressesAndStopsPromptly(t *testing.T) {
	is := is.New(t)
	s, err := Listen("127.0.0.1:0", Options{
		Status: func() any { return "s" }, Ready: func() error { return nil }, MetricsListen: "127.0.0.1:0",
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	for _, l := range s.listeners {
		status, body := get(t, l.Addr().String(), "/metrics")
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(body, "go_goroutines"))
	}
	idleConn, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer idleConn.Close()
	time.Sleep(20 * time.Millisecond)
	start := time.Now()
	cancel()
	is.NoErr(<-served)
	is.True(time.Since(start) < time.Second)
}

func TestFailedListenClosesOpenedListeners(t *testing.T) {
	is := is.New(t)
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer occupied.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	free.Close()
	_, err = Listen(address, Options{MetricsListen: occupied.Addr().String()})
	is.True(err != nil)
	reopened, err := net.Listen("tcp", address) // it was closed
	is.NoErr(err)
	reopened.Close()
}

// Guards against a request without end that keeps a connection and a goroutine of a server for good.
func TestServerEndsRequestsWithoutEnd(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for name, request := range map[string]struct{ first, endless string }{
		"head, silent":          {"GET / HTTP/1.1\r\nHost: a\r\n", ""},
		"head lines":            {"GET / HTTP/1.1\r\nHost: a\r\n", strings.Repeat("A: b\r\n", 100)},
		"body, silent":          {"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx", ""},
		"chunks, one at a time": {"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }), timeout)
			is.True(server.ReadHeaderTimeout > 0)
			server.ReadHeaderTimeout = timeout
			defer server.Close()
			go func() { _ = server.Serve(listener) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, request.first)
			is.NoErr(err)
			go func() {
				for request.endless != "" {
					if _, err := io.WriteString(conn, request.endless); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}()
			is.NoErr(conn.SetReadDeadline(time.Now().Add(timeout + time.Second)))
			_, err = io.Copy(io.Discard, conn) // until the server closes the connection
			var netErr net.Error
			is.True(!errors.As(err, &netErr) || !netErr.Timeout())
		})
	}
}
