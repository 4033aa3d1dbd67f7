package pipeline

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

type wrappedConn struct{ net.Conn }

func (c wrappedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
func (c wrappedConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

type wrappingListener struct{ net.Listener }

func (l wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return wrappedConn{conn}, err
}

// Guards against a cut response that a caller of HTTP/1.0 takes for complete.
func TestCutResponseWithoutALengthIsResetThroughAWrapper(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 3*maxBufferedResponse))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	})))
	go func() { _ = s.Serve(wrappingListener{l}) }()
	t.Cleanup(func() { s.Close() })
	c := dial(t, l.Addr().String())
	c.send("GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
}
