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

// Both addresses answer, and the end is not held up by callers that rest on a connection.
func TestServiceAnswersAtBothAddresses(t *testing.T) {
	is := is.New(t)
	s, err := Listen("127.0.0.1:0", Options{
		Status: func() any { return "s" }, Ready: func() error { return nil }, MetricsListen: "127.0.0.1:0",
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	for _, l := range s.listeners {
		status, body := get(t, l.Addr().String(), "/metrics")
		is.Equal(status, http.StatusOK)
		is.True(strings.Contains(body, "go_goroutines"))
	}
	silent, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer silent.Close()
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	cancel()
	is.NoErr(<-ended)
	is.True(time.Since(began) < time.Second)
}

func TestListenOpensAllOrNone(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := free.Addr().String()
	free.Close()
	_, err = Listen(address, Options{MetricsListen: taken.Addr().String()})
	is.True(err != nil)
	again, err := net.Listen("tcp", address) // it was let go
	is.NoErr(err)
	again.Close()
}
