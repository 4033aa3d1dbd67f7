package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// brokenConn takes no more bytes after those of its first request, as one whose peer has closed it
// without the reader having noticed.
type brokenConn struct {
	net.Conn
	writes int
}

func (c *brokenConn) Write(data []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, errors.New("broken pipe")
	}
	return c.Conn.Write(data)
}

func post(t *testing.T, transport http.RoundTripper, url string) (*Delivery, error) {
	t.Helper()
	delivery := &Delivery{}
	ctx := httptrace.WithClientTrace(context.Background(), delivery.Trace())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, struct{ *strings.Reader }{strings.NewReader("body")})
	is.New(t).NoErr(err)
	request.ContentLength = 4
	response, err := transport.RoundTrip(request)
	if err == nil {
		response.Body.Close()
	}
	return delivery, err
}

func TestNothingArrivesOnAConnectionThatTakesNoByte(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: CountWrites(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &brokenConn{Conn: conn}, err
	})}
	first, err := post(t, transport, server.URL)
	is.NoErr(err)
	is.True(first.MayHaveArrived())
	second, err := post(t, transport, server.URL)
	is.True(err != nil)
	is.True(!second.MayHaveArrived())
}

func TestNothingArrivesWithoutAConnection(t *testing.T) {
	is := is.New(t)
	transport := &http.Transport{DialContext: CountWrites((&net.Dialer{}).DialContext)}
	delivery, err := post(t, transport, "http://127.0.0.1:1")
	is.True(err != nil)
	is.True(!delivery.MayHaveArrived())
}

func TestWhatWasSentMayHaveArrived(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	transport := &http.Transport{DialContext: CountWrites((&net.Dialer{}).DialContext)}
	delivery, err := post(t, transport, server.URL)
	is.True(err != nil)
	is.True(delivery.MayHaveArrived())
}
