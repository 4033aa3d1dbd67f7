package pipeline

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Shutdown must close idle connections, and complete the responses of the others.
func TestShutdownClosesIdleConnectionsAndCompletesTheOthers(t *testing.T) {
	is := is.New(t)
	h := newBlockingHandler()
	s, address := serve(t, testConfig(h))
	unused, idle, busy := dial(t, address), dial(t, address), dial(t, address)
	idle.get("/now/1")
	_, _ = idle.readResponse()
	busy.get("/1")
	busy.get("/2")
	h.awaitStarted(t, "/2")
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	is.True(unused.closedByServer())
	is.True(idle.closedByServer())
	unused.Close()
	idle.Close()
	awaitDraining(t, s)
	h.unblock("/1")
	h.unblock("/2")
	first, _ := busy.readResponse()
	second, _ := busy.readResponse()
	is.True(!first.Close)
	is.True(second.Close)
	is.True(busy.closedByServer())
	busy.Close()
	is.NoErr(<-ended)
}

// awaitDraining waits until Shutdown has marked every open connection as closing, which it does in no fixed order.
func awaitDraining(t *testing.T, s *Server) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		pending := slices.ContainsFunc(s.openConns(), func(c *conn) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.closing
		})
		if !pending {
			return
		}
	}
	t.Fatal("a connection is not draining")
}

// Shutdown must return when its context ends, even with requests in flight.
func TestShutdownReturnsWhenItsContextEnds(t *testing.T) {
	is := is.New(t)
	h := newBlockingHandler()
	s, address := serve(t, testConfig(h))
	c := dial(t, address)
	c.get("/1")
	h.awaitStarted(t, "/1")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.Equal(s.Shutdown(ctx), context.DeadlineExceeded)
}

// Guards against a shutdown that drops requests which were received before its connection announces the close.
func TestShutdownAnswersReceivedRequests(t *testing.T) {
	is := is.New(t)
	h := newBlockingHandler()
	s, address := serve(t, testConfig(h))
	c := dial(t, address)
	c.get("/1")
	c.post("/2", "body")
	c.get("/3")
	awaitReceived(t, s, 3)
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	awaitDraining(t, s)
	c.get("/4")
	c.get("/5")
	awaitReceived(t, s, 5)
	for i, path := range []string{"/1", "/2", "/3", "/4", "/5"} {
		h.unblock(path)
		response, body := c.readResponse()
		is.Equal(body, "answer to "+path)
		is.Equal(response.Close, i == 4)
	}
	is.True(c.closedByServer())
	c.Close()
	is.NoErr(<-ended)
}
