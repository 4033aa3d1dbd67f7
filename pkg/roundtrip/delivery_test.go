package roundtrip

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// brokenConn fails every write once broken is set, like a connection whose close by the peer has
// not been noticed yet.
type brokenConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c *brokenConn) Write(data []byte) (int, error) {
	if c.broken.Load() {
		return 0, errors.New("broken pipe")
	}
	return c.Conn.Write(data)
}

func post(t *testing.T, transport http.RoundTripper, url string) (*Delivery, error) {
	t.Helper()
	delivery := &Delivery{}
	ctx := httptrace.WithClientTrace(context.Background(), delivery.trace())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, struct{ *strings.Reader }{strings.NewReader("body")})
	is.New(t).NoErr(err)
	request.ContentLength = 4
	response, err := transport.RoundTrip(request)
	if err == nil {
		response.Body.Close()
	}
	return delivery, err
}

func TestFailedWriteIsNotADelivery(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var broken atomic.Bool
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: countWrites(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &brokenConn{Conn: conn, broken: &broken}, err
	})}
	first, err := post(t, transport, server.URL)
	is.NoErr(err)
	is.True(first.MayHaveArrived())
	broken.Store(true)
	second, err := post(t, transport, server.URL)
	is.True(err != nil)
	is.True(!second.MayHaveArrived())
}

func TestFailedDialIsNotADelivery(t *testing.T) {
	is := is.New(t)
	transport := &http.Transport{DialContext: countWrites((&net.Dialer{}).DialContext)}
	delivery, err := post(t, transport, "http://127.0.0.1:1")
	is.True(err != nil)
	is.True(!delivery.MayHaveArrived())
}

func TestWrittenRequestMayHaveArrived(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	transport := &http.Transport{DialContext: countWrites((&net.Dialer{}).DialContext)}
	delivery, err := post(t, transport, server.URL)
	is.True(err != nil)
	is.True(delivery.MayHaveArrived())
}

// slowWriter delays the return of each write until the peer has responded.
type slowWriter struct{ net.Conn }

func (c slowWriter) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	time.Sleep(20 * time.Millisecond)
	return n, err
}

// A write must be counted before it returns, since the peer may respond earlier.
func TestRequestMayHaveArrivedBeforeWriteReturns(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	transport := &http.Transport{DialContext: countWrites(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return slowWriter{conn}, err
	})}
	delivery, err := post(t, transport, server.URL)
	is.True(err != nil)
	is.True(delivery.MayHaveArrived())
}

// The transport may use several connections for one request; a write on any of them counts.
func TestWriteOnEarlierConnectionMayHaveArrived(t *testing.T) {
	is := is.New(t)
	peer, other := net.Pipe()
	defer peer.Close()
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	var delivery Delivery
	first := &countedConn{Conn: other}
	delivery.recordConn(first)
	is.True(!delivery.MayHaveArrived())
	_, err := first.Write([]byte("x"))
	is.NoErr(err)
	delivery.recordConn(&countedConn{Conn: other})
	is.True(delivery.MayHaveArrived())
}

// Guards against a call that is cut off because the response before it on the connection turns out to be invalid.
func TestDiscardedConnectionServesALaterRequest(t *testing.T) {
	is := is.New(t)
	peer, other := net.Pipe()
	defer peer.Close()
	go func() { _, _ = io.Copy(peer, peer) }()
	conn := &countedConn{Conn: other}
	var earlier, later, last Delivery
	earlier.recordConn(conn)
	later.recordConn(conn)
	_, err := conn.Write([]byte("x"))
	is.NoErr(err)
	earlier.discardConn()
	_, err = io.ReadFull(conn, make([]byte, 1))
	is.NoErr(err) // the later request is still served
	last.recordConn(conn)
	_, err = conn.Write([]byte("x"))
	is.True(errors.Is(err, errRetired))
	last.discardConn()
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil) // closed
}
