package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startShutdown shuts a server down in the background until the test ends.
func startShutdown(t *testing.T, s *Server) (ended chan error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	ended = make(chan error, 1)
	go func() { ended <- s.Shutdown(ctx) }()
	return ended
}

// Guards against a request that is dropped because it has arrived, but was not read, when its idle connection closes.
func TestShutdownAnswersRequestsThatTheKernelHolds(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(testConfig(newBlockingHandler()))
	stalled := &stalledListener{Listener: l, resume: make(chan struct{})}
	go func() { _ = s.Serve(stalled) }()
	t.Cleanup(func() { s.Close() })
	c := dial(t, l.Addr().String())
	c.get("/now/1")
	_, _ = c.readResponse()
	c.get("/now/2")
	ended := startShutdown(t, s)
	awaitDraining(t, s)
	time.Sleep(50 * time.Millisecond)
	close(stalled.resume)
	response, body := c.readResponse()
	is.Equal(body, "answer to /now/2")
	is.True(response.Close)
	c.Close()
	is.NoErr(<-ended)
}

// Guards against a request behind others that is dropped because it has arrived, but was not read, when the last of them is
// answered.
func TestClosingResponseWaitsForRequestsThatTheKernelHolds(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h := newBlockingHandler()
	s := New(testConfig(h))
	stalled := &stalledListener{Listener: l, resume: make(chan struct{})}
	go func() { _ = s.Serve(stalled) }()
	t.Cleanup(func() { s.Close() })
	c := dial(t, l.Addr().String())
	c.get("/1")
	h.awaitStarted(t, "/1")
	ended := startShutdown(t, s)
	awaitDraining(t, s)
	c.get("/now/2")
	time.Sleep(50 * time.Millisecond)
	h.unblock("/1")
	first, _ := c.readResponse()
	is.True(!first.Close)
	close(stalled.resume)
	second, body := c.readResponse()
	is.Equal(body, "answer to /now/2")
	is.True(second.Close)
	c.Close()
	is.NoErr(<-ended)
}

// slowAcceptListener accepts connections only once resume is closed, as if the process were not scheduled.
type slowAcceptListener struct {
	*net.TCPListener
	resume chan struct{}
}

func (l *slowAcceptListener) Accept() (net.Conn, error) {
	<-l.resume
	return l.TCPListener.Accept()
}

// Guards against connections that are reset because they were established, but not accepted, when the listener closes.
func TestShutdownAnswersRequestsOfConnectionsThatAreNotAccepted(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(testConfig(newBlockingHandler()))
	slow := &slowAcceptListener{TCPListener: l.(*net.TCPListener), resume: make(chan struct{})}
	go func() { _ = s.Serve(slow) }()
	t.Cleanup(func() { s.Close() })
	time.Sleep(20 * time.Millisecond)
	c := dial(t, l.Addr().String())
	c.get("/now/1")
	ended := startShutdown(t, s)
	time.Sleep(100 * time.Millisecond)
	close(slow.resume)
	_, body := c.readResponse()
	is.Equal(body, "answer to /now/1")
	c.Close()
	is.NoErr(<-ended)
}

// bufferingListener accepts connections with a large send buffer, so that responses are written at once.
type bufferingListener struct{ *net.TCPListener }

func (l bufferingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return conn, conn.SetWriteBuffer(1 << 20)
}

// Guards against a response that is cut because its caller reads it slowly, and sends on, after the connection has closed.
func TestConnectionLastsUntilItsOutputIsAcknowledged(t *testing.T) {
	is := is.New(t)
	const size = 400 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})))
	go func() { _ = s.Serve(bufferingListener{l.(*net.TCPListener)}) }()
	t.Cleanup(func() { s.Close() })
	c := dial(t, l.Addr().String())
	is.NoErr(c.Conn.(*net.TCPConn).SetReadBuffer(32 << 10))
	c.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	ended := startShutdown(t, s)
	time.Sleep(3 * lingerTime / 2)
	select {
	case <-ended:
		t.Fatal("the server shut down with unacknowledged output")
	default:
	}
	c.get("/late")
	_, body := c.readResponse()
	is.Equal(len(body), size)
	c.Close()
	is.NoErr(<-ended)
}

// Guards against a connection that stays open after its last response because the stop began while that was in flight.
func TestResponsesInFlightAnnounceTheClose(t *testing.T) {
	is := is.New(t)
	h := newBlockingHandler()
	s, address := serve(t, testConfig(h))
	c := dial(t, address)
	c.get("/1")
	c.get("/2")
	awaitReceived(t, s, 2)
	s.AnnounceClose()
	h.unblock("/2")
	h.unblock("/1")
	first, _ := c.readResponse()
	second, _ := c.readResponse()
	is.True(!first.Close)
	is.True(second.Close)
	is.True(c.closedByServer())
}
