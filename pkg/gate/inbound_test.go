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

func noOtherTraffic(time.Duration) float64 { return 0 }

// Large bodies must be limited to the rate that other traffic leaves, with a minimum share.
func TestBodiesGetLinkRateLeftByOtherTraffic(t *testing.T) {
	is := is.New(t)
	otherTraffic := 0.0
	l := newLinkScheduler(1e6, inboundShare, inboundUsableShare, func(time.Duration) float64 { return otherTraffic })
	for _, c := range []struct{ otherTraffic, availableRate float64 }{{0, 700_000}, {300_000, 600_000}, {600_000, 300_000}, {790_000, 110_000}, {2e6, 100_000}} {
		otherTraffic = c.otherTraffic
		is.Equal(math.Round(l.availableRate(0)), c.availableRate)
	}
}

func TestBodiesAreScheduledOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	l := newLinkScheduler(1e6, inboundShare, inboundUsableShare, noOtherTraffic) // 1 MB/s
	first := l.duration(0, 70_000)
	is.Equal(first, 100*time.Millisecond) // at the share for large bodies
	due, ok := l.reserve(0, 70_000, 0)
	is.True(ok)
	is.Equal(due, time.Duration(0))
	_, ok = l.reserve(0, 70_000, first/2)
	is.True(!ok) // a rejected reservation uses no link time
	due, ok = l.reserve(0, 70_000, first)
	is.True(ok)
	is.Equal(due, first)
	due, ok = l.reserve(time.Second, 70_000, 0)
	is.True(ok)
	is.Equal(due, time.Second) // the link was free
	var none *linkScheduler
	due, ok = none.reserve(3, 1<<30, 0)
	is.True(ok)
	is.Equal(due, time.Duration(3))
}

func TestMaxLinkWaitOfBodies(t *testing.T) {
	is := is.New(t)
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return 0 }, Link: link.NewMeter(8e6)})
	const size = 70_000 // takes 100 ms
	call := request{work: 100 * time.Millisecond, wait: 5 * time.Second, targeted: true, targetLeft: time.Second}
	is.Equal(g.maxBodyLinkWait(call, size), time.Second-130*time.Millisecond-100*time.Millisecond)
	call.targetLeft, call.late = 50*time.Millisecond, true
	is.Equal(g.maxBodyLinkWait(call, size), linkSlack)
	is.Equal(g.maxBodyLinkWait(request{wait: time.Second}, size), time.Second) // without a target
	is.Equal(g.maxBodyLinkWait(request{}, size), linkSlack)
}

// postLargeBody posts a large body with Expect: 100-continue and returns the response.
func postLargeBody(t *testing.T, url, id string, header ...string) *http.Response {
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

// A body that the link cannot transfer in time must be rejected before it is sent; one that may
// wait must get a response.
func TestBodyThatLinkCannotDeliverInTimeIsRejected(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	t.Cleanup(server.Close)
	started := time.Now()
	// A body takes twice as long as any body may wait.
	const duration = 2 * linkSlack
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return time.Since(started) }, Link: link.NewMeter(100_000 / duration.Seconds() / inboundShare * 8)})
	g.SetBackend(Backend{ID: "b1", Address: server.Listener.Addr().String(), Capacity: 4})
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	is.Equal(postLargeBody(t, front.URL, "1").StatusCode, http.StatusOK)
	rejected := postLargeBody(t, front.URL, "2")
	is.Equal(reasonOf(rejected), exchange.ReasonLink)
	is.Equal(rejected.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.Equal(g.Report().Queued, 0)
	waited := postLargeBody(t, front.URL, "3", exchange.HeaderTarget, "2000")
	is.Equal(waited.StatusCode, http.StatusOK)
	is.True(time.Since(started) >= duration-10*time.Millisecond)
}
