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

// largeServer answers with as many bytes as the call asks for in Want-Bytes, and cuts the answer short
// after those of Cut-At.
func largeServer(t *testing.T) string {
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

// gateOnLink is a gate with a link of a megabyte a second.
func gateOnLink(t *testing.T, capacity int) *Gate {
	t.Helper()
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	g := New(Config{Headers: testHeaders, Now: now, Link: link.NewMeter(8e6), Answers: exchange.NewAnswerPacer(8e6, nothing, now)})
	g.SetBackend(Backend{ID: "b1", Address: largeServer(t), Capacity: capacity})
	return g
}

func get(t *testing.T, g *Gate, id string, header ...string) *http.Response {
	t.Helper()
	r := newCall(t, "GET", id, header...)
	r.Body, r.ContentLength = http.NoBody, 0
	return do(g, r)
}

// What would get out too late is refused before it costs the back end any work; small answers are not
// touched by it, and the refusal says for how long the link is taken.
func TestLargeAnswerThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := gateOnLink(t, 8)
	large := []string{exchange.HeaderExpectedAnswer, "400000", exchange.HeaderTarget, "1300", "Want-Bytes", "400000"}
	for _, id := range []string{"first", "second"} {
		is.Equal(get(t, g, id, large...).StatusCode, http.StatusOK)
	}
	refused := get(t, g, "third", large...) // the link is taken for a second
	is.Equal(reasonOf(refused), exchange.ReasonLink)
	is.Equal(refused.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	report, ok := exchange.ReadReport(refused.Header)
	is.True(ok)
	is.True(report.LinkWait > 800*time.Millisecond && report.LinkWait <= time.Second)
	is.Equal(get(t, g, "small", exchange.HeaderTarget, "1300", "Want-Bytes", "100").StatusCode, http.StatusOK)
	is.Equal(report.Running, 0) // it has not got a slot
}

// The account of the link is put right by what the answer was, and by calls that brought none.
func TestBookedLinkIsGivenBack(t *testing.T) {
	for name, test := range map[string]struct {
		header []string
		most   time.Duration
	}{
		"the answer is shorter":      {[]string{"Want-Bytes", "40000"}, 60 * time.Millisecond},
		"the answer is cut short":    {[]string{"Want-Bytes", "40000", "Cut-At", "10"}, 10 * time.Millisecond},
		"the back end is another":    {[]string{"Want", "b2"}, 10 * time.Millisecond},
		"the answer was as expected": {[]string{"Want-Bytes", "400000"}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := gateOnLink(t, 8)
			get(t, g, "x", append([]string{exchange.HeaderExpectedAnswer, "400000", exchange.HeaderTarget, "1300"}, test.header...)...)
			wait := g.outbound.wait(g.config.Now())
			is.True(wait <= test.most)
			is.Equal(wait > 300*time.Millisecond, test.most == time.Second)
		})
	}
	is := is.New(t)
	g := gateOnLink(t, 8)
	get(t, g, "x", "Want-Bytes", "400000") // nobody expected it
	is.True(g.outbound.wait(g.config.Now()) > 300*time.Millisecond)
	g = gateOnLink(t, 8)
	head := newCall(t, "HEAD", "x", "Want-Bytes", "400000")
	head.Body, head.ContentLength = http.NoBody, 0
	is.Equal(do(g, head).StatusCode, http.StatusOK)
	is.Equal(g.outbound.wait(g.config.Now()), time.Duration(0)) // it tells a length and has no body
}

// A call that is late already takes no room from those that are not.
func TestLateCallTakesOnlyLinkThatIsFree(t *testing.T) {
	is := is.New(t)
	g := gateOnLink(t, 8)
	is.Equal(get(t, g, "x", exchange.HeaderExpectedAnswer, "400000", exchange.HeaderTarget, "1300", "Want-Bytes", "400000").StatusCode, http.StatusOK)
	late := get(t, g, "late", exchange.HeaderExpectedAnswer, "400000", exchange.HeaderTarget, "0", "Want-Bytes", "400000")
	is.Equal(reasonOf(late), exchange.ReasonLink)
}

// An answer that the back end cuts short never looks whole to another node, whether it is held or
// passed on piece by piece.
func TestAnswerCutShortNeverLooksWhole(t *testing.T) {
	for name, size := range map[string]int{"held": 200_000, "passed on": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			front := httptest.NewServer(gateOnLink(t, 1))
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

// A caller that leaves in the middle of a large answer stops it: nothing more is sent, and a caller that
// reads slowly keeps nobody from the back end.
func TestCallerThatLeavesStopsItsAnswer(t *testing.T) {
	is := is.New(t)
	g := gateOnLink(t, 1)
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
	sent := g.config.Link.AnswersSent()
	is.True(sent >= 50_000 && sent < 700_000)
	time.Sleep(150 * time.Millisecond)
	is.Equal(g.config.Link.AnswersSent(), sent)
}

// What is held of large answers is bounded: one beyond the bound is passed on as it comes, whole, and
// its slot is free again once it has been taken.
func TestLargeAnswersBeyondTheBoundArePassedOnAsTheyCome(t *testing.T) {
	is := is.New(t)
	g := gateOnLink(t, 1)
	g.config.AnswerBuffer = exchange.NewAnswerBuffer(150_000)
	first := get(t, g, "first", "Want-Bytes", "200000")
	is.Equal(g.config.AnswerBuffer.Held(), int64(200_000))
	second := get(t, g, "second", "Want-Bytes", "200000")
	is.Equal(g.config.AnswerBuffer.Held(), int64(200_000))                                     // not held
	is.Equal(reasonOf(get(t, g, "third", exchange.HeaderWait, "1")), exchange.ReasonFull)      // its slot is busy
	is.Equal(get(t, g, "small", "Want-Bytes", "10", exchange.HeaderWait, "1").StatusCode, 503) // for whoever comes
	data, err := io.ReadAll(second.Body)
	is.NoErr(err)
	is.Equal(len(data), 200_000)
	second.Body.Close()
	is.Equal(get(t, g, "small", "Want-Bytes", "10").StatusCode, http.StatusOK)
	first.Body.Close()
	is.Equal(g.config.AnswerBuffer.Held(), int64(0))
}

// A long answer that its caller does not take to the end leaves the rest of its time on the link to others.
func TestAnswerThatIsNotTakenGivesItsLinkBack(t *testing.T) {
	is := is.New(t)
	g := gateOnLink(t, 1)
	answer := get(t, g, "x", "Want-Bytes", "8000000", "Left-Ms", "60000")
	defer answer.Body.Close()
	is.True(g.outbound.wait(g.config.Now()) > 7*time.Second)
	_, err := io.ReadFull(answer.Body, make([]byte, 50_000))
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	is.True(g.outbound.wait(g.config.Now()) < 200*time.Millisecond)
	is.NoErr(answer.Body.Close())
	is.True(g.outbound.wait(g.config.Now()) < 200*time.Millisecond)
}

// What was booked is given back as it was booked, whatever else crosses the link by then.
func TestBookedTimeIsGivenBackWhole(t *testing.T) {
	is := is.New(t)
	others := 0.0
	l := newLinkRoom(1e6, outboundShare, outboundUsable, func(time.Duration) float64 { return others })
	_, inTime := l.reserve(0, 400_000, 0)
	is.True(inTime)
	first := l.wait(0)
	others = 0.6e6
	booked := l.takes(0, 100_000)
	_, inTime = l.reserve(0, 100_000, time.Minute)
	is.True(inTime)
	others = 0
	l.amend(0, -booked)
	is.Equal(l.wait(0), first)
}

// The time that an answer may take on its way to another node is what the call has left when it is known.
func TestAnswerIsPacedWithinWhatIsLeft(t *testing.T) {
	is := is.New(t)
	r := newCall(t, "GET", "x", exchange.HeaderTarget, "1000", "Left-Ms", "2100")
	g := gateOnLink(t, 1)
	is.Equal(g.answerTime(r, 0), time.Second)
	is.Equal(g.answerTime(r, 600*time.Millisecond), 500*time.Millisecond) // a third of what is left
	is.Equal(g.answerTime(r, 5*time.Second), time.Duration(0))
}
