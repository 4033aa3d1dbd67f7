package gate

import (
	"errors"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// A caller whose body cannot be read says nothing of the back end: others still get in, at full rate.
func TestUnreadableBodyLeavesTheBackEndAsItIs(t *testing.T) {
	is := is.New(t)
	b := newColdBackend(t, 0)
	g := b.gateBeside(20)
	g.HeardCold("b1", 0)
	call := httptest.NewRequest("POST", "http://gate/x", iotest.ErrReader(errors.New("malformed chunk")))
	call.Header.Set("Call-Id", "unreadable")
	answer := httptest.NewRecorder()
	g.ServeHTTP(answer, call)
	is.Equal(answer.Result().Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.Equal(answer.Result().Header.Get(exchange.HeaderReason), string(exchange.ReasonBroken))
	is.Equal(g.Report().Running, 0)
	is.Equal(g.Report().Cold, exchange.Cold{})
	response := do(g, newCall(t, "POST", "next"))
	response.Body.Close()
	is.Equal(reasonOf(response), exchange.Reason(""))
	is.Equal(len(b.arrived()), 1)
}
