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

// slowBody is a body whose second half comes when it is let go.
type slowBody struct {
	first, second io.Reader
	started       chan struct{}
	letGo         chan struct{}
}

func newSlowBody(size int) *slowBody {
	half := strings.Repeat("x", size/2)
	return &slowBody{first: strings.NewReader(half), second: strings.NewReader(half), started: make(chan struct{}), letGo: make(chan struct{})}
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
	<-b.letGo
	return b.second.Read(buf)
}

// A body that is long on its way keeps nobody from the back end.
func TestSlotIsNotHeldWhileABodyComes(t *testing.T) {
	is := is.New(t)
	var bytes int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		bytes = max(bytes, n)
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	t.Cleanup(server.Close)
	g := gateTo(server.Listener.Addr().String(), 1)
	front := httptest.NewServer(g)
	t.Cleanup(front.Close)
	body := newSlowBody(100_000)
	large, err := http.NewRequest("POST", front.URL, body)
	is.NoErr(err)
	large.ContentLength = 100_000
	for name, value := range map[string]string{"Expect": "100-continue", "Call-Id": "large", "Left-Ms": "5000"} {
		large.Header.Set(name, value)
	}
	answered := make(chan *http.Response, 1)
	go func() {
		response, err := (&http.Transport{ExpectContinueTimeout: time.Minute}).RoundTrip(large)
		if err == nil {
			answered <- response
		}
		close(answered)
	}()
	<-body.started
	is.Equal(g.Report().Queued, 1) // senders hear of it
	small := do(g, newCall(t, "GET", "small"))
	is.Equal(small.StatusCode, http.StatusOK)
	small.Body.Close()
	close(body.letGo)
	response := <-answered
	is.True(response != nil)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(bytes, int64(100_000))
	is.Equal(g.Report().Queued, 0)
}

// Bodies on their way count as calls to come: no more are let send theirs than can hope for
// a slot.
func TestNoMoreBodiesComeThanHaveHope(t *testing.T) {
	is := is.New(t)
	g := gateTo("127.0.0.1:1", 2)
	wanted := request{deadline: time.Hour}
	is.Equal(g.expectBody(wanted), exchange.Reason(""))
	is.Equal(g.expectBody(wanted), exchange.Reason(""))
	is.Equal(g.expectBody(wanted), exchange.ReasonFull)
	wanted.wait = time.Second
	is.Equal(g.expectBody(wanted), exchange.Reason(""))
	g.bodyReceived()
	g.bodyReceived()
	g.bodyReceived()
	is.Equal(g.Report().Queued, 0)
	g.RemoveBackend("b1")
	is.Equal(g.expectBody(request{instance: "b1", deadline: time.Hour}), exchange.ReasonLeft)
}
