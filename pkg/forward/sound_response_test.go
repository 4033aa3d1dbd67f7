package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/roundtrip"

	"github.com/matryer/is"
)

// Guards against a sound response that is turned away, or a call that is repeated, because of checks on responses.
func TestSoundResponsesPassUnchanged(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 200_000)
	tests := standin.SoundResponses("sound")
	for _, c := range standin.SoundResponses(large) {
		c.Name += ", large"
		tests = append(tests, c)
	}
	other := func(name, text string, status int, body string) {
		tests = append(tests, standin.SoundResponse{Name: name, RawResponse: standin.RawResponse{First: text}, Status: status, Body: body})
	}
	other("empty chunked body", chunkedHead+"0\r\n\r\n", 200, "")
	other("204", "HTTP/1.1 204 x\r\n{id}\r\n\r\n", 204, "")
	other("304", "HTTP/1.1 304 x\r\n{id}\r\n\r\n", 304, "")
	other("text of a coding in the body of HTTP/1.0", "HTTP/1.0 200 OK\r\n{id}\r\nContent-Length: 28\r\n\r\nTransfer-Encoding: chunked\r\n", 200, "Transfer-Encoding: chunked\r\n")
	for _, status := range []int{200, 201, 202, 206, 299, 301, 302, 307, 308, 400, 401, 403, 404, 408, 409, 412, 413, 421, 422, 429, 431, 499, 500, 501, 502, 503, 504, 599} {
		other(fmt.Sprint("status ", status), withStatus(fmt.Sprint(status, " x")).First, status, "sound")
	}
	for _, c := range tests {
		t.Run(c.Name, func(t *testing.T) {
			forEachGate(t, func(t *testing.T, kind gateKind) {
				is := is.New(t)
				s := newResponseStack(t, kind, soundTimeout, c.RawResponse)
				got := s.call(t, "POST", "/unsafe/x", "sound")
				is.Equal(got.status, c.Status)
				is.True(got.complete)
				is.True(got.body == c.Body)
				for name, value := range c.Fields {
					is.Equal(got.header[http.CanonicalHeaderKey(name)], []string{value})
				}
				is.Equal(s.backend.runsOf("sound"), 1)
				is.Equal(len(s.faultsOf("sound")), 0)
			})
		})
	}
}

// Guards against trailer fields that are announced to a caller and never sent.
func TestTrailersAreNeitherAnnouncedNorSent(t *testing.T) {
	for name, body := range map[string]string{"small": "sound", "streamed": strings.Repeat("0123456789abcdef", 200_000)} {
		t.Run(name, func(t *testing.T) {
			forEachGate(t, func(t *testing.T, kind gateKind) {
				is := is.New(t)
				response := fmt.Sprintf("%sTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA: b\r\nB: c\r\n\r\n", okHead, len(body), body)
				s := newResponseStack(t, kind, soundTimeout, standin.RawResponse{First: response})
				got := s.call(t, "GET", "/safe/x", "trailers")
				is.Equal(got.status, http.StatusOK)
				is.True(got.complete)
				is.True(got.body == body)
				is.Equal(got.header["Trailer"], nil)
				is.Equal(len(got.trailer), 0)
			})
		})
	}
}

// Guards against header fields that a library adds to a response.
func TestNoHeaderFieldIsAddedForPragma(t *testing.T) {
	const pragma, control = "Pragma: no-cache\r\n", "Cache-Control: no-cache\r\n"
	for name, c := range map[string]struct {
		head  string
		added bool
	}{
		"alone":                          {okHead + pragma, false},
		"after 1xx":                      {"HTTP/1.1 103 x\r\n" + control + "\r\n" + okHead + pragma, false},
		"HTTP/1.0":                       {"HTTP/1.0 200 OK\r\n{id}\r\n" + pragma, false},
		"with Cache-Control":             {okHead + pragma + control, true},
		"with Cache-Control, lower case": {okHead + strings.ToLower(control) + pragma, true},
	} {
		t.Run(name, func(t *testing.T) {
			forEachGate(t, func(t *testing.T, kind gateKind) {
				is := is.New(t)
				s := newResponseStack(t, kind, soundTimeout, standin.RawResponse{First: c.head + soundBody, Close: true})
				head := s.callForHead(t, "pragma")
				is.True(strings.HasPrefix(head, "HTTP/1.1 200 "))
				is.True(strings.Contains(head, pragma))
				is.Equal(strings.Contains(head, control), c.added)
			})
		})
	}
}

// callForHead sends a request and returns the bytes of the response's head: http.ReadResponse would change them.
func (s *responseStack) callForHead(t *testing.T, id string) string {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", s.address)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(resultTimeout)))
	_, err = fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nCall-Id: %s\r\nConnection: close\r\n\r\n", id)
	is.NoErr(err)
	response, err := io.ReadAll(conn)
	is.NoErr(err)
	head, _, _ := strings.Cut(string(response), "\r\n\r\n")
	return head + "\r\n"
}

// Guards against a check on responses that ends a slow one before the call's time is up.
func TestSlowSoundResponsePasses(t *testing.T) {
	forEachGate(t, func(t *testing.T, kind gateKind) {
		is := is.New(t)
		s := newResponseStack(t, kind, soundTimeout, soundResponse)
		s.backend.respondInPieces(time.Second)
		got := s.call(t, "POST", "/unsafe/x", "slow")
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "sound")
		is.True(got.complete)
	})
}

// Guards against a sound call that fails because the response before it on the connection was invalid.
func TestCallAfterRetiredConnectionIsServed(t *testing.T) {
	forEachGate(t, func(t *testing.T, kind gateKind) {
		if kind == ownGate {
			return // no connection between node and gate
		}
		is := is.New(t)
		s := newResponseStack(t, kind, soundTimeout, soundResponse)
		transport, peer := s.node.gates, s.gateAddress
		if kind == noGate {
			transport, peer = s.node.snapshot.Load().service("s").transport, s.backend.address
		}
		retireConn(t, transport, peer)
		for _, id := range []string{"first", "second"} {
			got := s.call(t, "POST", "/unsafe/x", id)
			is.Equal(got.status, http.StatusOK)
			is.Equal(s.backend.runsOf(id), 1)
		}
	})
}

// retireConn leaves an idle connection to a peer that is retired and still open, as net/http keeps it for a moment after an
// invalid response without a body.
func retireConn(t *testing.T, transport *roundtrip.Transport, peer string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequest(http.MethodGet, "http://"+peer+"/", nil)
	is.NoErr(err)
	var delivery roundtrip.Delivery
	response, err := transport.Send(t.Context(), request, &delivery)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	response.Body.Close()
	is.True(delivery.RetireConn())
}
