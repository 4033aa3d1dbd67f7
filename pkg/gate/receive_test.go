package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// slowBody is a body whose second half is sent after resume is closed.
type slowBody struct {
	first, second io.Reader
	started       chan struct{}
	resume        chan struct{}
}

func newSlowBody(size int) *slowBody {
	half := strings.Repeat("x", size/2)
	return &slowBody{first: strings.NewReader(half), second: strings.NewReader(half), started: make(chan struct{}), resume: make(chan struct{})}
}

// Read implements io.Reader.
func (b *slowBody) Read(buf []byte) (int, error) {
	n, err := b.first.Read(buf)
	if err == nil {
		return n, nil
	}
	select {
	case <-b.started:
	default:
		close(b.started)
	}
	<-b.resume
	return b.second.Read(buf)
}

// A call whose body arrives slowly must not hold a slot of the back end.
func TestSlotIsNotHeldWhileABodyIsReceived(t *testing.T) {
	is := is.New(t)
	var bytes int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		bytes = max(bytes, n)
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	t.Cleanup(server.Close)
	g := newGateFor(server.Listener.Addr().String(), 1)
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	body := newSlowBody(100_000)
	large, err := http.NewRequest("POST", front.URL, body)
	is.NoErr(err)
	large.ContentLength = 100_000
	for name, value := range map[string]string{"Expect": "100-continue", "Call-Id": "large", "Left-Ms": "5000"} {
		large.Header.Set(name, value)
	}
	responses := make(chan *http.Response, 1)
	go func() {
		response, err := (&http.Transport{ExpectContinueTimeout: time.Minute}).RoundTrip(large)
		if err == nil {
			responses <- response
		}
		close(responses)
	}()
	<-body.started
	is.Equal(g.Report().Queued, 1) // senders see it in the load report
	small := do(g, newCall(t, "GET", "small"))
	is.Equal(small.StatusCode, http.StatusOK)
	small.Body.Close()
	close(body.resume)
	response := <-responses
	is.True(response != nil)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(bytes, int64(100_000))
	is.Equal(g.Report().Queued, 0)
}

// Calls whose bodies are being received must count against the capacity: no more may send a body
// than can expect a slot.
func TestBodiesInTransitAreLimitedByExpectedSlots(t *testing.T) {
	is := is.New(t)
	g := newGateFor("127.0.0.1:1", 2)
	req := request{deadline: time.Hour}
	is.Equal(g.startReceiving(req), exchange.Reason(""))
	is.Equal(g.startReceiving(req), exchange.Reason(""))
	is.Equal(g.startReceiving(req), exchange.ReasonFull)
	req.wait = time.Second
	is.Equal(g.startReceiving(req), exchange.Reason(""))
	g.finishReceiving()
	g.finishReceiving()
	g.finishReceiving()
	is.Equal(g.Report().Queued, 0)
	g.RemoveBackend("b1")
	is.Equal(g.startReceiving(request{instance: "b1", deadline: time.Hour}), exchange.ReasonRemoved)
}
