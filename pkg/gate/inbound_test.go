package gate

import (
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/link"

	"github.com/matryer/is"
)

func nothing(time.Duration) float64 { return 0 }

// Bodies get what all else leaves of the link: callers' own uploads and small messages come whether
// there is room or not.
func TestBodiesGetWhatIsLeftOfTheLink(t *testing.T) {
	is := is.New(t)
	others := 0.0
	l := newLinkRoom(1e6, inboundShare, inboundUsable, func(time.Duration) float64 { return others })
	for _, c := range []struct{ others, room float64 }{{0, 700_000}, {300_000, 600_000}, {600_000, 300_000}, {790_000, 110_000}, {2e6, 100_000}} {
		others = c.others
		is.Equal(math.Round(l.room(0)), c.room)
	}
}

func TestBodiesGetTheLinkOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	l := newLinkRoom(1e6, inboundShare, inboundUsable, nothing) // a megabyte a second
	first := l.takes(0, 70_000)
	is.Equal(first, 100*time.Millisecond) // at the share for bodies
	due, ok := l.reserve(0, 70_000, 0)
	is.True(ok)
	is.Equal(due, time.Duration(0))
	_, ok = l.reserve(0, 70_000, first/2)
	is.True(!ok) // takes no time
	due, ok = l.reserve(0, 70_000, first)
	is.True(ok)
	is.Equal(due, first)
	due, ok = l.reserve(time.Second, 70_000, 0)
	is.True(ok)
	is.Equal(due, time.Second) // the link was free
	var none *linkRoom
	due, ok = none.reserve(3, 1<<30, 0)
	is.True(ok)
	is.Equal(due, time.Duration(3))
}

func TestPatienceForTheLink(t *testing.T) {
	is := is.New(t)
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return 0 }, Link: link.NewMeter(8e6)})
	const size = 70_000 // 100 ms
	call := request{work: 100 * time.Millisecond, wait: 5 * time.Second, targeted: true, targetLeft: time.Second}
	is.Equal(g.linkPatience(call, size), time.Second-130*time.Millisecond-100*time.Millisecond)
	call.targetLeft, call.late = 50*time.Millisecond, true
	is.Equal(g.linkPatience(call, size), bodySlack)
	is.Equal(g.linkPatience(request{wait: time.Second}, size), time.Second) // no target is known
	is.Equal(g.linkPatience(request{}, size), bodySlack)
}

// post sends a large body that is sent once the gate asks for it.
func post(t *testing.T, url, id string, header ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, io.LimitReader(endless{}, 100_000))
	is.New(t).NoErr(err)
	r.ContentLength = 100_000
	r.Header.Set("Expect", "100-continue")
	r.Header.Set("Call-Id", id)
	r.Header.Set("Left-Ms", "5000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := (&http.Transport{ExpectContinueTimeout: time.Minute}).RoundTrip(r)
	is.New(t).NoErr(err)
	response.Body.Close()
	return response
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// What the link cannot bring in time is refused before it is sent; what waits for the link is
// answered.
func TestGateRefusesWhatItsLinkCannotBringInTime(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	t.Cleanup(server.Close)
	started := time.Now()
	// A body takes twice as long of the link as one may wait in any case.
	const takes = 2 * bodySlack
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return time.Since(started) }, Link: link.NewMeter(100_000 / takes.Seconds() / inboundShare * 8)})
	g.SetBackend(Backend{ID: "b1", Address: server.Listener.Addr().String(), Capacity: 4})
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	is.Equal(post(t, front.URL, "1").StatusCode, http.StatusOK)
	refused := post(t, front.URL, "2")
	is.Equal(reasonOf(refused), exchange.ReasonLink)
	is.Equal(refused.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.Equal(g.Report().Queued, 0)
	waited := post(t, front.URL, "3", exchange.HeaderTarget, "2000")
	is.Equal(waited.StatusCode, http.StatusOK)
	is.True(time.Since(started) >= takes-10*time.Millisecond)
}
