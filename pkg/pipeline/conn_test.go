package pipeline

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHandlersLearnThatTheCallerHasLeft(t *testing.T) {
	d := newDesk()
	_, address := serve(t, testConfig(d))
	c := dial(t, address)
	c.get("/1")
	c.get("/2")
	c.post("/3", "body") // read, not begun
	d.awaitEntered(t, "/1")
	d.awaitEntered(t, "/2")
	c.Close()
	await(t, d.channel(d.left, "/1"), "/1 was not told")
	await(t, d.channel(d.left, "/2"), "/2 was not told")
	if d.hasEntered("/3") {
		t.Fatal("a request began after its caller had left")
	}
}

func TestCallerThatLeavesIsNoticedDuringItsLastRequest(t *testing.T) {
	d := newDesk()
	_, address := serve(t, testConfig(d))
	c := dial(t, address)
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	d.awaitEntered(t, "/1")
	c.Close()
	await(t, d.channel(d.left, "/1"), "the handler was not told")
}

// A caller that does not read holds up only itself.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	cfg := testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/small" {
			return
		}
		piece := make([]byte, 1<<20)
		for {
			if _, err := w.Write(piece); err != nil {
				ended <- err
				return
			}
		}
	}))
	cfg.WriteTimeout = 200 * time.Millisecond
	_, address := serve(t, cfg)
	stuck := dial(t, address)
	stuck.get("/endless")
	other := dial(t, address)
	other.get("/small")
	response, _ := other.answer()
	is.Equal(response.StatusCode, http.StatusOK)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the handler still writes")
	}
}

func TestTimeouts(t *testing.T) {
	is := is.New(t)
	cfg := testConfig(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	cfg.HeaderTimeout, cfg.IdleTimeout = 50*time.Millisecond, 100*time.Millisecond
	_, address := serve(t, cfg)
	half, idle := dial(t, address), dial(t, address)
	half.send("GET / HT")
	is.True(half.ended())
	idle.get("/")
	_, _ = idle.answer()
	is.True(idle.ended())
}
