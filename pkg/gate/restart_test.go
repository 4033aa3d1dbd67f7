package gate

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A back end that restarts under its ID must start with no calls in flight and no learned state,
// and get the calls for its ID even if the previous run had left.
func TestRestartedBackendHasNoCallsInFlight(t *testing.T) {
	for _, removed := range []bool{false, true} {
		is := is.New(t)
		address, release, calls := blockingBackend(t)
		unblock := sync.OnceFunc(func() { close(release) })
		t.Cleanup(unblock)
		g := newGateFor(address, 1)
		go do(g, newCall(t, "GET", "first", "Want", "b1"))
		for calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(g.Report().Running, 1)
		if removed {
			g.RemoveBackend("b1")
		}
		g.SetBackend(Backend{ID: "b1", Address: address, Capacity: 1, Incarnation: 2})
		is.Equal(g.Report().Running, 0)
		go do(g, newCall(t, "GET", "second", "Want", "b1"))
		for range 1000 {
			if calls.Load() == 2 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		is.Equal(calls.Load(), int64(2))
		unblock()
		for g.Report().Running > 0 {
			time.Sleep(time.Millisecond)
		}
		g.SetBackend(Backend{ID: "b1", Address: address, Capacity: 2, Incarnation: 2}) // the same incarnation
		is.Equal(g.Report().Capacity, 2)
	}
}
