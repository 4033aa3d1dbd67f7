package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// heldServer answers once it is let go.
func heldServer(t *testing.T, calls *callsUnderWay) (server *httptest.Server, entered chan struct{}, letGo chan struct{}) {
	t.Helper()
	entered, letGo = make(chan struct{}, 1), make(chan struct{})
	server = httptest.NewServer(calls.counted(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-letGo
		_, _ = io.WriteString(w, "whole")
	})))
	return server, entered, letGo
}

func TestDrainWaitsForCallsNotForConnections(t *testing.T) {
	is := is.New(t)
	var calls callsUnderWay
	server, entered, letGo := heldServer(t, &calls)
	unused, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer unused.Close()
	answer := make(chan string, 1)
	go func() {
		response, err := http.Get(server.URL)
		if err != nil {
			answer <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		answer <- string(body)
	}()
	<-entered
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { drained <- calls.drain(ctx, server.Config) }()
	select {
	case <-drained:
		t.Fatal("a call was under way")
	case <-time.After(3 * drainQuiet):
	}
	began := time.Now()
	close(letGo)
	is.NoErr(<-drained)
	is.True(time.Since(began) < time.Second)
	is.Equal(<-answer, "whole")
}

func TestDrainEndsWithItsTime(t *testing.T) {
	is := is.New(t)
	var calls callsUnderWay
	server, entered, letGo := heldServer(t, &calls)
	defer close(letGo)
	go func() {
		if response, err := http.Get(server.URL); err == nil {
			response.Body.Close()
		}
	}()
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(errors.Is(calls.drain(ctx, server.Config), errCallsLeft))
}
