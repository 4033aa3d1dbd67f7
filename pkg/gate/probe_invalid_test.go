package gate

import (
	"net"
	"net/http"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/roundtrip"
	"bramblelift/pkg/settings"

	"github.com/matryer/is"
)

// Guards against a probe that takes a back end's state from bytes that are no response, or waits for their end.
func TestProbeTakesNothingFromInvalidResponses(t *testing.T) {
	headers := settings.Headers{RequestID: "Call-Id", Cold: "Cold-Ms", Limit: []string{"Named-Limit"}}
	const statements = "\r\nCold-Ms: 0\r\nNamed-Limit: 1"
	for _, c := range standin.InvalidResponses {
		if c.Fault == roundtrip.FaultOtherRequest {
			continue // a probe has no ID
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := scriptedBackend(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
				return c.Write(conn, standin.RawHeaders{RequestID: "Call-Id", NotRun: "Not-Run"}, "x"+statements)
			})
			started := time.Now()
			g := New(Config{Headers: headers, Now: func() time.Duration { return time.Since(started) }})
			remaining, said, err := g.probeHealth(address, "/health")
			is.Equal(roundtrip.FaultOf(err) != "", true)
			is.Equal(remaining, time.Duration(0))
			is.Equal(said, exchange.Statement{})
			is.True(time.Since(started) < probeTimeout+200*time.Millisecond)
		})
	}
}

// Guards against a check on responses that keeps a probe from the state of a back end whose response is sound.
func TestProbeTakesStateFromSoundResponses(t *testing.T) {
	headers := settings.Headers{RequestID: "Call-Id", Cold: "Cold-Ms", Limit: []string{"Named-Limit"}}
	for _, c := range standin.SoundResponses("sound") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := scriptedBackend(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
				return c.Write(conn, standin.RawHeaders{RequestID: "Call-Id", NotRun: "Not-Run"}, "x\r\nCold-Ms: 40\r\nNamed-Limit: 1")
			})
			g := New(Config{Headers: headers, Now: func() time.Duration { return 0 }})
			remaining, said, err := g.probeHealth(address, "/health")
			is.NoErr(err)
			is.Equal(remaining, 40*time.Millisecond)
			is.True(said != exchange.Statement{})
		})
	}
}
