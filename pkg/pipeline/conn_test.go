package pipeline

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// When the caller disconnects, running handlers must be canceled and queued requests dropped.
func TestDisconnectCancelsRunningHandlersAndDropsQueue(t *testing.T) {
	h := newBlockingHandler()
	_, address := serve(t, testConfig(h))
	c := dial(t, address)
	c.get("/1")
	c.get("/2")
	c.post("/3", "body") // read, not started
	h.awaitStarted(t, "/1")
	h.awaitStarted(t, "/2")
	c.Close()
	await(t, h.channel(h.canceled, "/1"), "/1 was not canceled")
	await(t, h.channel(h.canceled, "/2"), "/2 was not canceled")
	if h.hasStarted("/3") {
		t.Fatal("a request started after its caller had disconnected")
	}
}

// A disconnect must be noticed after the last request of a connection, too.
func TestDisconnectDuringTheLastRequestCancelsItsHandler(t *testing.T) {
	h := newBlockingHandler()
	_, address := serve(t, testConfig(h))
	c := dial(t, address)
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	h.awaitStarted(t, "/1")
	c.Close()
	await(t, h.channel(h.canceled, "/1"), "the handler was not canceled")
}

// A caller that does not read its response must be disconnected, without delaying other callers.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
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
	response, _ := other.readResponse()
	is.Equal(response.StatusCode, http.StatusOK)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the handler is still writing")
	}
}

// Connections with an incomplete head or without a request must be closed.
func TestHeaderAndIdleTimeoutsCloseConnections(t *testing.T) {
	is := is.New(t)
	cfg := testConfig(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	cfg.HeaderTimeout, cfg.IdleTimeout = 50*time.Millisecond, 100*time.Millisecond
	_, address := serve(t, cfg)
	incomplete, idle := dial(t, address), dial(t, address)
	incomplete.send("GET / HT")
	is.True(incomplete.closedByServer())
	idle.get("/")
	_, _ = idle.readResponse()
	is.True(idle.closedByServer())
}
