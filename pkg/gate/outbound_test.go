package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/link"

	"github.com/matryer/is"
)

// largeResponseServer responds with Want-Bytes bytes, or declares that length and stops after
// Cut-At bytes.
func largeResponseServer(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.Header.Get("Want-Bytes"))
		cut, _ := strconv.Atoi(r.Header.Get("Cut-At"))
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		if cut == 0 {
			cut = size
		}
		_, _ = io.WriteString(w, strings.Repeat("x", cut))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newGateWithLink returns a gate with a link of 1 MB/s.
func newGateWithLink(t *testing.T, capacity int) *Gate {
	t.Helper()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	g := New(Config{Headers: testHeaders, Now: now, Link: link.NewMeter(8e6), ResponsePacer: exchange.NewResponsePacer(8e6, noOtherTraffic, now)})
	g.SetBackend(Backend{ID: "b1", Address: largeResponseServer(t), Capacity: capacity})
	return g
}

func get(t *testing.T, g *Gate, id string, header ...string) *http.Response {
	t.Helper()
	r := newCall(t, "GET", id, header...)
	r.Body, r.ContentLength = http.NoBody, 0
	return do(g, r)
}

// A call whose large response would be late must be rejected before it uses the back end, with the
// link wait in the report. Small responses must not be affected.
func TestLargeResponseThatWouldBeLateIsRejectedBeforeTheCallRuns(t *testing.T) {
	is := is.New(t)
	g := newGateWithLink(t, 8)
	large := []string{exchange.HeaderExpectedResponse, "400000", exchange.HeaderTarget, "1300", "Want-Bytes", "400000"}
	for _, id := range []string{"first", "second"} {
		is.Equal(get(t, g, id, large...).StatusCode, http.StatusOK)
	}
	rejected := get(t, g, "third", large...) // the link is reserved for a second
	is.Equal(reasonOf(rejected), exchange.ReasonLink)
	is.Equal(rejected.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	report, ok := exchange.ReadReport(rejected.Header)
	is.True(ok)
	is.True(report.LinkWait > 800*time.Millisecond && report.LinkWait <= time.Second)
	is.Equal(get(t, g, "small", exchange.HeaderTarget, "1300", "Want-Bytes", "100").StatusCode, http.StatusOK)
	is.Equal(report.Running, 0) // it got no slot
}

// A reservation must be adjusted to the actual response, and canceled for calls without one.
func TestUnusedLinkReservationIsReturned(t *testing.T) {
	for name, test := range map[string]struct {
		header  []string
		maxWait time.Duration
	}{
		"the answer is shorter":      {[]string{"Want-Bytes", "40000"}, 60 * time.Millisecond},
		"the answer is cut short":    {[]string{"Want-Bytes", "40000", "Cut-At", "10"}, 10 * time.Millisecond},
		"the back end is another":    {[]string{"Want", "b2"}, 10 * time.Millisecond},
		"the answer was as expected": {[]string{"Want-Bytes", "400000"}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGateWithLink(t, 8)
			get(t, g, "x", append([]string{exchange.HeaderExpectedResponse, "400000", exchange.HeaderTarget, "1300"}, test.header...)...)
			wait := g.outbound.wait(g.config.Now())
			is.True(wait <= test.maxWait)
			is.Equal(wait > 300*time.Millisecond, test.maxWait == time.Second)
		})
	}
	is := is.New(t)
	g := newGateWithLink(t, 8)
	get(t, g, "x", "Want-Bytes", "400000") // without an expected size
	is.True(g.outbound.wait(g.config.Now()) > 300*time.Millisecond)
	g = newGateWithLink(t, 8)
	head := newCall(t, "HEAD", "x", "Want-Bytes", "400000")
	head.Body, head.ContentLength = http.NoBody, 0
	is.Equal(do(g, head).StatusCode, http.StatusOK)
	is.Equal(g.outbound.wait(g.config.Now()), time.Duration(0)) // a HEAD response has a length but no body
}

// A late call must not get link time before calls that are not late.
func TestLateCallGetsOnlyAFreeLink(t *testing.T) {
	is := is.New(t)
	g := newGateWithLink(t, 8)
	is.Equal(get(t, g, "x", exchange.HeaderExpectedResponse, "400000", exchange.HeaderTarget, "1300", "Want-Bytes", "400000").StatusCode, http.StatusOK)
	late := get(t, g, "late", exchange.HeaderExpectedResponse, "400000", exchange.HeaderTarget, "0", "Want-Bytes", "400000")
	is.Equal(reasonOf(late), exchange.ReasonLink)
}

// A response that the back end truncates must never look complete to another node, whether it is
// buffered or streamed.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	for name, size := range map[string]int{"held": 200_000, "passed on": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			front := httptest.NewServer(newGateWithLink(t, 1))
			defer front.Close()
			r, err := http.NewRequest(http.MethodGet, front.URL, nil)
			is.NoErr(err)
			r.Header.Set("Call-Id", "x")
			r.Header.Set("Left-Ms", "900")
			r.Header.Set("Want-Bytes", strconv.Itoa(size))
			r.Header.Set("Cut-At", strconv.Itoa(size-1000))
			response, err := http.DefaultTransport.RoundTrip(r)
			is.NoErr(err)
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			is.True(err != nil || response.StatusCode == http.StatusBadGateway)
		})
	}
}

// A caller that disconnects during a large response must stop the transfer, and a slow reader must
// not occupy the back end's slot.
func TestCallerDisconnectStopsItsResponse(t *testing.T) {
	is := is.New(t)
	g := newGateWithLink(t, 1)
	front := httptest.NewServer(g)
	defer front.Close()
	r, err := http.NewRequest(http.MethodGet, front.URL, nil)
	is.NoErr(err)
	for name, value := range map[string]string{"Call-Id": "x", "Left-Ms": "20000", exchange.HeaderTarget: "9000", "Want-Bytes": "1000000"} {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	_, err = io.ReadFull(response.Body, make([]byte, 50_000))
	is.NoErr(err)
	is.Equal(get(t, g, "other", "Want-Bytes", "10").StatusCode, http.StatusOK) // the slot is free
	response.Body.Close()
	time.Sleep(150 * time.Millisecond)
	sent := g.config.Link.LargeResponseBytesSent()
	is.True(sent >= 50_000 && sent < 700_000)
	time.Sleep(150 * time.Millisecond)
	is.Equal(g.config.Link.LargeResponseBytesSent(), sent)
}

// A response beyond the buffer limit must be streamed completely and hold its slot until it has
// been read.
func TestResponsesBeyondTheBufferLimitAreStreamed(t *testing.T) {
	is := is.New(t)
	g := newGateWithLink(t, 1)
	g.config.ResponseBuffer = exchange.NewResponseBuffer(150_000)
	first := get(t, g, "first", "Want-Bytes", "200000")
	is.Equal(g.config.ResponseBuffer.Held(), int64(200_000))
	second := get(t, g, "second", "Want-Bytes", "200000")
	is.Equal(g.config.ResponseBuffer.Held(), int64(200_000))                                   // not buffered
	is.Equal(reasonOf(get(t, g, "third", exchange.HeaderWait, "1")), exchange.ReasonFull)      // the slot is taken
	is.Equal(get(t, g, "small", "Want-Bytes", "10", exchange.HeaderWait, "1").StatusCode, 503) // also against small calls
	data, err := io.ReadAll(second.Body)
	is.NoErr(err)
	is.Equal(len(data), 200_000)
	second.Body.Close()
	is.Equal(get(t, g, "small", "Want-Bytes", "10").StatusCode, http.StatusOK)
	first.Body.Close()
	is.Equal(g.config.ResponseBuffer.Held(), int64(0))
}

// A large response that its caller does not read completely must return the rest of its link time.
func TestUnreadResponseReturnsItsLinkTime(t *testing.T) {
	is := is.New(t)
	g := newGateWithLink(t, 1)
	response := get(t, g, "x", "Want-Bytes", "8000000", "Left-Ms", "60000")
	defer response.Body.Close()
	is.True(g.outbound.wait(g.config.Now()) > 7*time.Second)
	_, err := io.ReadFull(response.Body, make([]byte, 50_000))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(g.outbound.wait(g.config.Now()) < 200*time.Millisecond)
	is.NoErr(response.Body.Close())
	is.True(g.outbound.wait(g.config.Now()) < 200*time.Millisecond)
}

// A canceled reservation must return the time that was reserved, even if the other traffic has
// changed since.
func TestCanceledReservationIsReturnedInFull(t *testing.T) {
	is := is.New(t)
	otherTraffic := 0.0
	l := newLinkScheduler(1e6, largeResponseShare, outboundUsableShare, func(time.Duration) float64 { return otherTraffic })
	_, inTime := l.reserve(0, 400_000, 0)
	is.True(inTime)
	first := l.wait(0)
	otherTraffic = 0.6e6
	reserved := l.duration(0, 100_000)
	_, inTime = l.reserve(0, 100_000, time.Minute)
	is.True(inTime)
	otherTraffic = 0
	l.adjust(0, -reserved)
	is.Equal(l.wait(0), first)
}

// The transfer time of a response must be limited to the time that the call has left.
func TestResponseTransferTimeFitsRemainingTime(t *testing.T) {
	is := is.New(t)
	r := newCall(t, "GET", "x", exchange.HeaderTarget, "1000", "Left-Ms", "2100")
	g := newGateWithLink(t, 1)
	is.Equal(g.maxTransferTime(r, 0), time.Second)
	is.Equal(g.maxTransferTime(r, 600*time.Millisecond), 500*time.Millisecond) // a third of the time left
	is.Equal(g.maxTransferTime(r, 5*time.Second), time.Duration(0))
}
