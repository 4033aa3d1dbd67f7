package forward

import (
	"fmt"
	"strings"
	"testing"

	"bramblelift/pkg/bench/standin"

	"github.com/matryer/is"
)

// cutResponses are sound responses of a back end. untilClose is set if the body ends with the connection.
var cutResponses = []struct {
	name, text string
	untilClose bool
}{
	{"length", "HTTP/1.1 200 OK\r\n{id}\r\nSeal: 0123\r\nContent-Length: 12\r\n\r\nhello, world", false},
	{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n{id}\r\n\r\nhello, world", false},
	{"length last digit", "HTTP/1.1 200 OK\r\n{id}\r\nContent-Length: 10\r\n\r\n0123456789", false},
	{"empty", "HTTP/1.1 200 OK\r\n{id}\r\nContent-Length: 0\r\n\r\n", false},
	{"no content", "HTTP/1.1 204 No Content\r\n{id}\r\n\r\n", false},
	{"line feeds only", "HTTP/1.1 200 OK\n{id}\nContent-Length: 5\n\nsound", false},
	{"folded value", "HTTP/1.1 200 OK\r\n{id}\r\nA: b\r\n c\r\nContent-Length: 5\r\n\r\nsound", false},
	{"after 1xx", "HTTP/1.1 103 Early Hints\r\n{id}\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n{id}\r\nContent-Length: 5\r\n\r\nsound", false},
	{"closing", "HTTP/1.1 200 OK\r\n{id}\r\nConnection: close\r\nContent-Length: 5\r\n\r\nsound", false},
	{"chunks", "HTTP/1.1 200 OK\r\n{id}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n10;a=b\r\n0123456789abcdef\r\n0\r\n\r\n", false},
	{"trailers", "HTTP/1.1 200 OK\r\nTrailer: T\r\n{id}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\nT: value\r\nU: v\r\n\r\n", false},
	{"no length", "HTTP/1.1 200 OK\r\n{id}\r\nSeal: 0123\r\n\r\nsound", true},
	{"no length, closing", "HTTP/1.1 200 OK\r\n{id}\r\nConnection: close\r\n\r\nsound", true},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\n{id}\r\nSeal: 0123\r\n\r\nsound", true},
	{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n{id}\r\nContent-Length: 12\r\n\r\nhello, world", false},
	{"HTTP/1.0 kept open", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n{id}\r\nContent-Length: 5\r\n\r\nsound", false},
}

// headEnd returns the length of a response up to its body.
func headEnd(text string) int {
	if strings.HasPrefix(text, "HTTP/1.1 103") {
		first := strings.Index(text, "\r\n\r\n") + 4
		return first + headEnd(text[first:])
	}
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if at := strings.Index(text, end); at >= 0 {
			return at + len(end)
		}
	}
	panic("a head without an end")
}

// Guards against a response that is cut off in its head or body and reaches the caller as a whole one.
func TestCutResponseNeverReachesCallerAsWhole(t *testing.T) {
	for _, c := range cutResponses {
		t.Run(c.name, func(t *testing.T) {
			forEachGate(t, func(t *testing.T, kind gateKind) {
				s := newResponseStack(t, kind, soundTimeout, soundResponse)
				text := rawHeaders.Expand(c.text, cutID(0, false))
				head, whole := headEnd(text), len(text)
				for offset := range whole {
					if !c.untilClose || offset < head {
						s.checkCut(t, c.text, offset, false)
					}
					s.checkCut(t, c.text, offset, true)
				}
				if c.untilClose {
					s.checkCut(t, c.text, whole, true)
				}
			})
		})
	}
}

// cutID returns the ID of the call for a cut. All have the same length.
func cutID(offset int, reset bool) string {
	if reset {
		return fmt.Sprintf("%04d-reset", offset)
	}
	return fmt.Sprintf("%04d-close", offset)
}

// checkCut verifies what a caller receives for a response that is cut off at an offset.
func (s *responseStack) checkCut(t *testing.T, text string, offset int, reset bool) {
	t.Helper()
	id := cutID(offset, reset)
	cut := rawHeaders.Expand(text, id)[:offset]
	s.backend.respondWith(standin.RawResponse{First: cut, Close: true, Reset: reset})
	got := s.call(t, "POST", "/unsafe/x", id)
	if got.complete && got.status/100 == 2 {
		t.Errorf("%q, reset %t: status %d, body %q, complete", cut, reset, got.status, got.body)
	}
	if runs := s.backend.runsOf(id); runs != 1 {
		t.Errorf("%q, reset %t: %d runs, status %d", cut, reset, runs, got.status)
	}
}

// Guards against a stack for cut responses that turns whole ones away.
func TestUncutResponseReachesCaller(t *testing.T) {
	for _, c := range cutResponses {
		t.Run(c.name, func(t *testing.T) {
			forEachGate(t, func(t *testing.T, kind gateKind) {
				is := is.New(t)
				s := newResponseStack(t, kind, soundTimeout, standin.RawResponse{First: c.text, Close: true})
				got := s.call(t, "POST", "/unsafe/x", "cut")
				is.Equal(got.status/100, 2)
				is.True(got.complete)
			})
		})
	}
}
