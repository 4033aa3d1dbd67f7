package gate

import (
	"errors"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// A request body that cannot be read must not mark the back end as failed or cold.
func TestUnreadableBodyDoesNotMarkBackendCold(t *testing.T) {
	is := is.New(t)
	b := newColdBackend(t, 0)
	g := b.newGate(20)
	g.SetColdRemaining("b1", 0)
	call := httptest.NewRequest("POST", "http://gate/x", iotest.ErrReader(errors.New("malformed chunk")))
	call.Header.Set("Call-Id", "unreadable")
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, call)
	is.Equal(recorder.Result().Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.Equal(recorder.Result().Header.Get(exchange.HeaderReason), string(exchange.ReasonBroken))
	is.Equal(g.Report().Running, 0)
	is.Equal(g.Report().Cold, exchange.Cold{})
	response := do(g, newCall(t, "POST", "next"))
	response.Body.Close()
	is.Equal(reasonOf(response), exchange.Reason(""))
	is.Equal(len(b.arrived()), 1)
}
