package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainPoll is how often a stop looks for calls under way, and drainQuiet for how long
	// there must be none: a call whose head is being read does not count yet.
	drainPoll  = 25 * time.Millisecond
	drainQuiet = 150 * time.Millisecond
)

// errCallsLeft: the time for a stop was up with calls under way.
var errCallsLeft = errors.New("calls are still under way")

// callsUnderWay counts the calls that handlers are at work on.
type callsUnderWay struct {
	n atomic.Int64
}

// counted returns a handler whose calls are counted.
func (c *callsUnderWay) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.n.Add(1)
		defer c.n.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// awaitNone returns once no call has been under way for drainQuiet, or the context ends.
func (c *callsUnderWay) awaitNone(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for quiet := time.Duration(0); quiet < drainQuiet; quiet += drainPoll {
		if c.n.Load() > 0 {
			quiet = -drainPoll
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d: %w", c.n.Load(), errCallsLeft)
		case <-ticker.C:
		}
	}
	return nil
}

// stoppable is a server that ends with its connections, or at once.
type stoppable interface {
	Shutdown(ctx context.Context) error
	Close() error
}

// drain ends servers once no call is under way. http.Server.Shutdown alone would wait for
// connections on which nothing was ever sent, as HTTP clients keep them in reserve, until its
// time is up.
func (c *callsUnderWay) drain(ctx context.Context, servers ...stoppable) error {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { _ = server.Shutdown(ctx) })
	}
	err := c.awaitNone(ctx)
	cancel()
	group.Wait()
	for _, server := range servers {
		_ = server.Close()
	}
	return err
}
