package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// The load of the back end beside a call's sender must be reported, whether or not the call is
// admitted.
func TestSenderHeaderIsReportedForEveryCall(t *testing.T) {
	is := is.New(t)
	reported := map[string]exchange.Sender{}
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return 0 },
		OnSender: func(service string, sender exchange.Sender) { reported[service] = sender }})
	for _, text := range []string{"b7=3,0,4,1500", "", "b8", "b9=3,0,4", "=3,0,4,1500"} {
		r := httptest.NewRequest(http.MethodGet, "http://gate/x", nil)
		r.Header.Set(exchange.HeaderSender, text)
		r.Header.Set(testHeaders.Caller, "orders")
		g.ServeHTTP(httptest.NewRecorder(), r)
	}
	is.Equal(reported, map[string]exchange.Sender{
		"orders": {ID: "b7", Report: exchange.Report{Running: 3, Capacity: 4, ServiceTime: 1500 * time.Microsecond}},
	})
}

// A gate must advertise its back end only while that has a free slot.
func TestSenderIsEmptyWithoutAFreeSlot(t *testing.T) {
	is := is.New(t)
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return 0 }})
	is.Equal(g.SenderReport(), "")
	g.SetBackend(Backend{ID: "b1", Capacity: 2})
	is.Equal(g.SenderReport(), "b1=0,0,2,0")
	g.takeSlot(0, 0)
	is.Equal(g.SenderReport(), "b1=1,0,2,0")
	g.takeSlot(0, 0)
	is.Equal(g.SenderReport(), "")
	g.RemoveBackend("b1")
	is.Equal(g.SenderReport(), "")
}
