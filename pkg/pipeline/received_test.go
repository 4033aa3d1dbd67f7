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

// Guards against a response that its back end has given, and that is dropped because the request before it is canceled.
func TestCanceledRequestDoesNotDropResponsesBehindIt(t *testing.T) {
	is := is.New(t)
	handled := make(chan struct{}, 2)
	s, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
		handled <- struct{}{}
	})))
	c := dial(t, address)
	c.get("/slow")
	c.get("/done")
	<-handled
	ended := startShutdown(t, s)
	awaitDraining(t, s)
	s.CancelRequests()
	_, body := c.readResponse()
	is.Equal(body, "answer to /slow")
	_, body = c.readResponse()
	is.Equal(body, "answer to /done")
	c.Close()
	is.NoErr(<-ended)
}

// lateListener accepts connections whose second read returns late, as if the process lost the processor after it.
type lateListener struct {
	net.Listener
	resume chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: conn.(*net.TCPConn), resume: l.resume}, nil
}

type lateConn struct {
	*net.TCPConn
	resume chan struct{}
	reads  int
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.reads++; c.reads == 2 {
		<-c.resume
	}
	return n, err
}

// Guards against a request that is dropped because its first bytes were read, but not counted, when the connection closes.
func TestClosingResponseWaitsForRequestsThatAreBeingRead(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h := newBlockingHandler()
	s := New(testConfig(h))
	late := &lateListener{Listener: l, resume: make(chan struct{})}
	go func() { _ = s.Serve(late) }()
	t.Cleanup(func() { s.Close() })
	c := dial(t, l.Addr().String())
	c.get("/1")
	h.awaitStarted(t, "/1")
	ended := startShutdown(t, s)
	awaitDraining(t, s)
	c.get("/now/2")
	time.Sleep(50 * time.Millisecond)
	h.unblock("/1")
	time.Sleep(50 * time.Millisecond)
	close(late.resume)
	_, body := c.readResponse()
	is.Equal(body, "answer to /1")
	_, body = c.readResponse()
	is.Equal(body, "answer to /now/2")
	c.Close()
	is.NoErr(<-ended)
}

// starvedListener loses the processor for longer than acceptQuietTime before each accept.
type starvedListener struct{ *net.TCPListener }

func (l starvedListener) Accept() (net.Conn, error) {
	time.Sleep(4 * acceptQuietTime)
	return l.TCPListener.Accept()
}

// Guards against established connections that are reset because a process short of processor time notices the deadline first.
func TestShutdownAcceptsEstablishedConnectionsWhileStarved(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(testConfig(newBlockingHandler()))
	go func() { _ = s.Serve(starvedListener{l.(*net.TCPListener)}) }()
	t.Cleanup(func() { s.Close() })
	time.Sleep(6 * acceptQuietTime)
	ended := startShutdown(t, s)
	c := dial(t, l.Addr().String())
	c.get("/now/1")
	_, body := c.readResponse()
	is.Equal(body, "answer to /now/1")
	c.Close()
	is.NoErr(<-ended)
}

// Guards against a received request that is dropped because the one before it has a body that is not buffered.
func TestReceivedRequestBehindAnUnbufferedBodyIsAnswered(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	})))
	c := dial(t, address)
	c.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	_, got := c.readResponse()
	is.Equal(got, "answer to /1")
	_, got = c.readResponse()
	is.Equal(got, "answer to /2")
}

// Guards against a stop that lasts until its timeout because a caller sent an empty line after a body.
func TestEmptyLineAfterABodyDoesNotDelayShutdown(t *testing.T) {
	is := is.New(t)
	cfg := testConfig(newBlockingHandler())
	cfg.HeaderTimeout = time.Minute
	s, address := serve(t, cfg)
	c := dial(t, address)
	c.send("POST /now HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody\r\n")
	_, _ = c.readResponse()
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 4*lingerTime)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
}

// starvedWriter loses the processor before its second write.
type starvedWriter struct {
	*net.TCPConn
	writes int
}

func (c *starvedWriter) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 2 {
		time.Sleep(closeNoticeTimeout + 20*time.Millisecond)
	}
	return c.TCPConn.Write(p)
}

type starvedWriterListener struct{ *net.TCPListener }

func (l starvedWriterListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &starvedWriter{TCPConn: conn}, nil
}

// Guards against a close notice that is left out because the process was not scheduled before its deadline.
func TestCloseNoticeIsSentWhileStarved(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	cfg := testConfig(newBlockingHandler())
	cfg.CloseNotice = http.Header{noticeHeader: {"not-run"}}
	s := New(cfg)
	go func() { _ = s.Serve(starvedWriterListener{l.(*net.TCPListener)}) }()
	t.Cleanup(func() { s.Close() })
	c := dial(t, l.Addr().String())
	c.get("/now/1")
	_, _ = c.readResponse()
	ended := startShutdown(t, s)
	awaitDraining(t, s)
	time.Sleep(50 * time.Millisecond)
	c.post("/2", "body")
	response, _ := c.readResponse()
	is.Equal(response.Header.Get(noticeHeader), "not-run")
	c.Close()
	is.NoErr(<-ended)
}

// Guards against a response that is reset in the caller's kernel or on its way because the request behind it is aborted with unread input.
func TestAbortedRequestDoesNotCutTheResponseBeforeIt(t *testing.T) {
	is := is.New(t)
	const size = 400 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})))
	go func() { _ = s.Serve(bufferingListener{l.(*net.TCPListener)}) }()
	t.Cleanup(func() { s.Close() })
	c := dial(t, l.Addr().String())
	is.NoErr(c.Conn.(*net.TCPConn).SetReadBuffer(32 << 10))
	c.get("/whole")
	c.send("POST /abort HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50000))
	time.Sleep(100 * time.Millisecond)
	response, body := c.readResponse()
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(len(body), size)
}

// Guards against a connection that stays open for good because a request with a long body was dropped from its queue.
func TestConnectionEndsThoughARequestWithABodyIsDropped(t *testing.T) {
	is := is.New(t)
	committed, release := make(chan struct{}), make(chan struct{})
	s, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).Flush()
		close(committed)
		<-release
	})))
	c := dial(t, address)
	c.get("/1")
	await(t, committed, "the head was not sent")
	c.send("POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
	awaitReceived(t, s, 2)
	close(release)
	response, _ := c.readResponse()
	is.True(response.Close)
	c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 4*lingerTime)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
}

// Guards against a close notice that is left out because the caller's kernel delays the acknowledgement of the last response.
func TestCloseNoticeIsSentBehindARecentResponse(t *testing.T) {
	is := is.New(t)
	cfg := testConfig(newBlockingHandler())
	cfg.CloseNotice = http.Header{noticeHeader: {"not-run"}}
	for range 5 {
		s, address := serve(t, cfg)
		c := dial(t, address)
		for range 40 {
			c.get("/now/" + strconv.FormatInt(time.Now().UnixNano(), 10))
			_, _ = c.readResponse()
		}
		ended := startShutdown(t, s)
		response, _ := c.readResponse()
		is.Equal(response.Header.Get(noticeHeader), "not-run")
		c.Close()
		is.NoErr(<-ended)
	}
}
