package pipeline

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalledListener accepts connections on which only the first read, and the first wait for input, succeed at once;
// further ones block until resume is closed, as if the reader were not scheduled.
type stalledListener struct {
	net.Listener
	resume   chan struct{}
	accepted atomic.Int64
}

func (l *stalledListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &stalledConn{TCPConn: conn.(*net.TCPConn), resume: l.resume}, nil
}

type stalledConn struct {
	*net.TCPConn
	resume       chan struct{}
	reads, waits atomic.Int64
}

// SyscallConn implements syscall.Conn.
func (c *stalledConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &stalledRawConn{RawConn: raw, conn: c}, err
}

type stalledRawConn struct {
	syscall.RawConn
	conn *stalledConn
}

// Read implements syscall.RawConn.
func (r *stalledRawConn) Read(ready func(fd uintptr) (done bool)) error {
	if r.conn.waits.Add(1) > 1 {
		<-r.conn.resume
	}
	return r.RawConn.Read(ready)
}

func (c *stalledConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) > 1 {
		<-c.resume
	}
	return c.TCPConn.Read(p)
}

// After a pause of the process, requests of callers that have disconnected must not be handled, even if the
// reader has not noticed the disconnect yet.
func TestRequestsOfDisconnectedCallersAreNotHandled(t *testing.T) {
	for name, send := range map[string]func(*caller){
		"without a body": func(c *caller) { c.get("/now") },
		"with a body":    func(c *caller) { c.post("/now", "body") },
	} {
		for _, disconnected := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				c := dial(t, listener.Addr().String())
				send(c)
				if disconnected {
					is.NoErr(c.Close())
				}
				var handled atomic.Int64
				s := New(testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					handled.Add(1)
					_, _ = io.WriteString(w, "answer")
				})))
				stalled := &stalledListener{Listener: listener, resume: make(chan struct{})}
				ended := make(chan error, 1)
				go func() { ended <- s.Serve(stalled) }()
				if disconnected {
					awaitClosedOr(t, s, func() bool { return handled.Load() > 0 || (stalled.accepted.Load() > 0 && len(s.openConns()) == 0) })
				} else {
					c.readResponse()
				}
				close(stalled.resume)
				s.Close()
				is.Equal(<-ended, http.ErrServerClosed)
				is.Equal(handled.Load() == 0, disconnected)
			})
		}
	}
}

// awaitClosedOr waits until the server has closed a connection or condition holds.
func awaitClosedOr(t *testing.T, s *Server, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, c := range s.openConns() {
			c.mu.Lock()
			closed := c.closed
			c.mu.Unlock()
			if closed {
				return
			}
		}
		if condition() {
			return
		}
	}
	t.Fatal("no connection was closed")
}
