package forward

import (
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"

	"github.com/matryer/is"
)

// Guards against responses that do not end and fill the link until the call's deadline.
func TestResponseWithoutEndLeavesTheLinkToOthers(t *testing.T) {
	const bytesPerSecond = 1 << 20
	block := strings.Repeat("x", 64<<10)
	for name, response := range map[string]standin.RawResponse{
		"no length": {First: okHead + "\r\n", Endless: block},
		"length":    {First: okHead + "Content-Length: 1099511627776\r\n\r\n", Endless: block},
		"chunks":    {First: chunkedHead, Endless: "10000\r\n" + block + "\r\n"},
	} {
		for _, kind := range []gateKind{ownGate, otherGate} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newLinkedResponseStack(t, kind, invalidTimeout, bytesPerSecond, response)
				got := s.call(t, "POST", "/unsafe/x", "endless")
				t.Logf("%d bytes in %v", len(got.body), got.took)
				is.True(!got.complete)
				is.True(got.took < invalidTimeout+500*time.Millisecond)
				is.True(float64(len(got.body)) <= bytesPerSecond*got.took.Seconds())
				is.NoErr(s.awaitIdle())
			})
		}
	}
}

// Guards against pacing that delays a large response without a length more than the link does.
func TestLargeResponseWithoutLengthUsesTheLink(t *testing.T) {
	const bytesPerSecond = 4 << 20
	body := strings.Repeat("0123456789abcdef", 128<<10)
	for _, kind := range []gateKind{ownGate, otherGate} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newLinkedResponseStack(t, kind, soundTimeout, bytesPerSecond, standin.RawResponse{First: okHead + "\r\n" + body, Close: true})
			got := s.call(t, "POST", "/unsafe/x", "large")
			t.Logf("%d bytes in %v", len(got.body), got.took)
			is.True(got.complete)
			is.True(got.body == body)
			is.True(got.took < 2*time.Second) // half a second at the link's rate
		})
	}
}
