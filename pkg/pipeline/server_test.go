package pipeline

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestShutdownEndsIdleConnectionsAndAnswersTheOthers(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	s, address := serve(t, testConfig(d))
	unused, idle, busy := dial(t, address), dial(t, address), dial(t, address)
	idle.get("/now/1")
	_, _ = idle.answer()
	busy.get("/1")
	busy.get("/2")
	d.awaitEntered(t, "/2")
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	is.True(unused.ended())
	is.True(idle.ended())
	unused.Close()
	idle.Close()
	awaitDraining(t, s)
	d.letGo("/1")
	d.letGo("/2")
	first, _ := busy.answer()
	second, _ := busy.answer()
	is.True(!first.Close)
	is.True(second.Close)
	is.True(busy.ended())
	busy.Close()
	is.NoErr(<-ended)
}

// awaitDraining waits until a shutdown has reached each connection that is left: it comes to them one
// after the other, in no order.
func awaitDraining(t *testing.T, s *Server) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		left := slices.ContainsFunc(s.held(), func(c *conn) bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.closing
		})
		if !left {
			return
		}
	}
	t.Fatal("a connection was not told to close")
}

func TestShutdownGivesUpWithItsContext(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	s, address := serve(t, testConfig(d))
	c := dial(t, address)
	c.get("/1")
	d.awaitEntered(t, "/1")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.Equal(s.Shutdown(ctx), context.DeadlineExceeded)
}
