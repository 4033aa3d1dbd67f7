package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// What a call says of the back end beside its sender is heard, whatever becomes of the call.
func TestGateHearsOfTheSendersBackEnd(t *testing.T) {
	is := is.New(t)
	heard := map[string]exchange.Report{}
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return 0 },
		OnSender: func(id string, report exchange.Report) { heard[id] = report }})
	for _, text := range []string{"b7=3,0,4,1500", "", "b8", "b9=3,0,4", "=3,0,4,1500"} {
		r := httptest.NewRequest(http.MethodGet, "http://gate/x", nil)
		r.Header.Set(exchange.HeaderSender, text)
		g.ServeHTTP(httptest.NewRecorder(), r)
	}
	is.Equal(heard, map[string]exchange.Report{"b7": {Running: 3, Capacity: 4, Service: 1500 * time.Microsecond}})
}

// A gate tells of its back end only while that has a free slot.
func TestSenderTellsOfFreeSlotsOnly(t *testing.T) {
	is := is.New(t)
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return 0 }})
	is.Equal(g.Sender(), "")
	g.SetBackend(Backend{ID: "b1", Capacity: 2})
	is.Equal(g.Sender(), "b1=0,0,2,0")
	g.grant(0, 0)
	is.Equal(g.Sender(), "b1=1,0,2,0")
	g.grant(0, 0)
	is.Equal(g.Sender(), "")
	g.RemoveBackend("b1")
	is.Equal(g.Sender(), "")
}
