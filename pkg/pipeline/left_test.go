package pipeline

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// onceListener hands out connections that are read once; all further reads wait until the test lets them
// go, as on a machine that has no time for the reader yet.
type onceListener struct {
	net.Listener
	further chan struct{}
}

func (l *onceListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &onceConn{TCPConn: conn.(*net.TCPConn), further: l.further}, nil
}

type onceConn struct {
	*net.TCPConn
	further chan struct{}
	reads   atomic.Int64
}

func (c *onceConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) > 1 {
		<-c.further
	}
	return c.TCPConn.Read(p)
}

// A node that was busy or stood still finds requests whose callers have left meanwhile: they must not be
// passed on, though the reader has not come to the end of the connection yet.
func TestRequestsOfCallersWhoHaveLeftAreNotHandled(t *testing.T) {
	for name, send := range map[string]func(*caller){
		"without a body": func(c *caller) { c.get("/now") },
		"with a body":    func(c *caller) { c.post("/now", "body") },
	} {
		for _, left := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				c := dial(t, listener.Addr().String())
				send(c)
				if left {
					is.NoErr(c.Close())
				}
				var handled atomic.Int64
				s := New(testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					handled.Add(1)
					_, _ = io.WriteString(w, "answer")
				})))
				held := &onceListener{Listener: listener, further: make(chan struct{})}
				ended := make(chan error, 1)
				go func() { ended <- s.Serve(held) }()
				if left {
					awaitDeadOr(t, s, func() bool { return handled.Load() > 0 })
				} else {
					c.answer()
				}
				close(held.further)
				s.Close()
				is.Equal(<-ended, http.ErrServerClosed)
				is.Equal(handled.Load() == 0, left)
			})
		}
	}
}

// awaitDeadOr waits until a server has ended a connection, or until something else has happened.
func awaitDeadOr(t *testing.T, s *Server, other func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, c := range s.held() {
			c.mu.Lock()
			dead := c.dead
			c.mu.Unlock()
			if dead {
				return
			}
		}
		if other() {
			return
		}
	}
	t.Fatal("no connection ended")
}
