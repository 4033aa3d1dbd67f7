package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/roundtrip"

	"github.com/matryer/is"
)

// Guards against failures whose bodies do not end and that take the link, a slot and processor time until the call's deadline.
func TestFailureWithoutEndEndsEarly(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	for name, rest := range map[string]standin.RawResponse{
		"no length": {First: "\r\n", Endless: block},
		"length":    {First: "Content-Length: 1099511627776\r\n\r\n", Endless: block},
		"chunks":    {First: "Transfer-Encoding: chunked\r\n\r\n", Endless: "10000\r\n" + block + "\r\n"},
	} {
		for _, status := range []string{"400", "404", "500", "503", "599"} {
			t.Run(name+" "+status, func(t *testing.T) {
				forEachGate(t, func(t *testing.T, kind gateKind) {
					is := is.New(t)
					response := standin.RawResponse{First: "HTTP/1.1 " + status + " x\r\n{id}\r\n" + rest.First, Endless: rest.Endless}
					s := newResponseStack(t, kind, soundTimeout, response)
					got := s.call(t, "POST", "/unsafe/x", "endless")
					t.Logf("status %d, %d bytes, complete %t, after %v", got.status, len(got.body), got.complete, got.took)
					is.True(got.took < soundTimeout/2)
					is.NoErr(checkBroken(got))
					is.True(len(got.body) <= roundtrip.MaxFailureBytes)
					is.NoErr(s.awaitIdle())
					is.Equal(s.backend.runsOf("endless"), 1)
					is.Equal(s.faultsOf("endless"), []roundtrip.Fault{roundtrip.FaultBody})
				})
			})
		}
	}
}

// Guards against a bound on the bodies of failures that turns sound ones away.
func TestLargeFailurePasses(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", roundtrip.MaxFailureBytes/16)
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			forEachGate(t, func(t *testing.T, kind gateKind) {
				is := is.New(t)
				response := standin.RawResponse{First: fmt.Sprintf("HTTP/1.1 %d x\r\n{id}\r\n\r\n%s", status, body), Close: true}
				got := newResponseStack(t, kind, soundTimeout, response).call(t, "POST", "/unsafe/x", "large")
				is.Equal(got.status, status)
				is.True(got.complete)
				is.True(got.body == body)
			})
		})
	}
}
