package admin

import (
	"context"
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
