package forward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/gate"
	"bramblelift/pkg/settings"

	"github.com/matryer/is"
)

// slowLink forwards connections to an address and delays all data and closes in that direction.
func slowLink(t *testing.T, address string, delay *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				near.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(near, far)
				near.Close()
			}()
			go forwardSlowly(far, near, delay)
		}
	}()
	return listener.Addr().String()
}

// forwardSlowly copies data from near to far; each piece is late by the delay at its arrival.
func forwardSlowly(far, near net.Conn, delay *atomic.Int64) {
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, 100)
	go func() {
		defer far.Close()
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if _, err := far.Write(p.data); err != nil {
				return
			}
		}
	}()
	defer close(pieces)
	for {
		buffer := make([]byte, 4096)
		n, err := near.Read(buffer)
		pieces <- piece{buffer[:n], time.Now().Add(time.Duration(delay.Load()))}
		if err != nil {
			return
		}
	}
}

// Guards against running a call that was delayed on a link until its caller had disconnected. The gate
// cannot see the disconnect, because it is delayed behind the call.
func TestCallDelayedOnALinkIsDroppedAfterItsCallerLeft(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	defer backend.Close()
	started := time.Now()
	g := gate.New(gate.Config{
		Headers: settings.Headers{RequestID: "Call-Id", Deadline: "Left-Ms", ExpectedInstance: "Want", Caller: "From"},
		Now:     func() time.Duration { return time.Since(started) },
	})
	g.SetBackend(gate.Backend{ID: "e0", Address: backend.Listener.Addr().String(), Capacity: 4})
	var finished atomic.Int64
	far := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer finished.Add(1)
		g.ServeHTTP(w, r)
	}))
	defer far.Close()
	var delay atomic.Int64
	n := newGatedNode(t, 0, slowLink(t, far.Listener.Addr().String(), &delay))
	is.Equal(n.call(t, "POST", "/unsafe/x", "", "Left-Ms", "2000").StatusCode, http.StatusOK)
	is.Equal(ran.Load(), int64(1))

	delay.Store(int64(400 * time.Millisecond))
	is.Equal(n.call(t, "POST", "/unsafe/x", "", "Left-Ms", "250").StatusCode, http.StatusGatewayTimeout)
	for end := time.Now().Add(5 * time.Second); finished.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(finished.Load(), int64(2))
	is.Equal(ran.Load(), int64(1)) // only the first one
}
