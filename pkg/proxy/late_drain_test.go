package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response that is dropped because a process short of processor time notices the end of the stop before
// the calls that it cancels have responded.
func TestCanceledCallsAreAnsweredThoughTheStopIsNoticedLate(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	server, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		_, _ = io.WriteString(w, "given up")
	})
	result := make(chan string, 1)
	go func() { result <- getBody(address) }()
	<-started
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-2*drainTestReserve))
	defer cancel()
	is.True(errors.Is(drain(ctx, drainTestReserve, server), errCallsCanceled))
	is.Equal(<-result, "given up")
}
