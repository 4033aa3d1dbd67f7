package roundtrip

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// respondRaw returns the URL of a server that writes a text to each connection, and then closes it or falls silent.
func respondRaw(t *testing.T, text string, silent bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, text)
				if silent {
					_, _ = io.Copy(io.Discard, conn)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// get returns the body of a response and the first error of Send or of the body.
func get(ctx context.Context, url string, delivery *Delivery) (string, error) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	response, err := New(&http.Transport{}).Send(ctx, request, delivery)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := ReadAll(response, 1<<10)
	return string(body), err
}

// Guards against a failed connection that counts as an invalid response, and the other way round.
func TestOnlyReceivedBytesAreAnInvalidResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		text   string
		silent bool
		fault  Fault
	}{
		"nothing, closed":       {"", false, ""},
		"nothing, silent":       {"", true, ""},
		"a byte, closed":        {"H", false, FaultHead},
		"a byte, silent":        {"H", true, FaultIncomplete},
		"a body, silent":        {head + "Content-Length: 9\r\n\r\nx", true, FaultIncomplete},
		"a body, closed":        {head + "Content-Length: 9\r\n\r\nx", false, FaultBody},
		"a body that is large":  {head + "\r\n" + strings.Repeat("x", 2<<10), false, FaultBody},
		"a head that is large":  {head + "A: " + strings.Repeat("x", 2*MaxHeadBytes), false, FaultHead},
		"1xx that are too many": {strings.Repeat("HTTP/1.1 103 x\r\n\r\n", MaxHeadBytes/10), false, FaultHead},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			var delivery Delivery
			_, err := get(ctx, respondRaw(t, c.text, c.silent), &delivery)
			is.True(err != nil)
			is.Equal(FaultOf(err), c.fault)
			is.True(delivery.MayHaveArrived())
			is.True(len(err.Error()) < 2*maxErrorBytes)
			if c.fault == FaultIncomplete {
				is.True(errors.Is(err, context.DeadlineExceeded))
			}
		})
	}
}

// Guards against an error of which nobody can tell the connection.
func TestConnectionThatEndsWithoutResponseIsNamed(t *testing.T) {
	is := is.New(t)
	var delivery Delivery
	_, err := get(context.Background(), respondRaw(t, "", false), &delivery)
	is.True(errors.Is(err, io.EOF))
	is.True(strings.Contains(err.Error(), delivery.conn.LocalAddr().String()+"->"+delivery.conn.RemoteAddr().String()))
}

// Guards against a response of HTTP/1.0 whose chunked framing is passed on as its body: net/http ignores the header there.
func TestTransferEncodingOfHTTP10IsInvalid(t *testing.T) {
	is := is.New(t)
	url := respondRaw(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n", false)
	body, err := get(context.Background(), url, &Delivery{})
	t.Logf("body %q", body)
	is.True(FaultOf(err) != "")
}

// Guards against a server of HTTP/2 over TLS with which this protocol is agreed on, and whose responses are then rejected.
func TestOnlyHTTP1IsAgreedOnOverTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	base := http.DefaultTransport.(*http.Transport).Clone()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	base.TLSClientConfig = &tls.Config{RootCAs: roots}
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	is.NoErr(err)
	response, err := New(base).RoundTrip(request)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := ReadAll(response, 1<<10)
	is.NoErr(err)
	is.Equal(string(body), "HTTP/1.1")
}
