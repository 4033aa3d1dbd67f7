package pipeline

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Concurrent requests must be answered in order of arrival, whichever handler returns first.
func TestConcurrentRequestsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	h := newBlockingHandler()
	_, address := serve(t, testConfig(h))
	c := dial(t, address)
	c.get("/1")
	c.get("/2")
	c.get("/3")
	for _, path := range []string{"/1", "/2", "/3"} {
		h.awaitStarted(t, path)
	}
	h.unblock("/3")
	h.unblock("/2")
	h.unblock("/1")
	for _, path := range []string{"/1", "/2", "/3"} {
		response, body := c.readResponse()
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, "answer to "+path)
	}
}

// A connection must not run more than MaxConcurrent requests.
func TestConcurrentRequestsOfOneConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	h := newBlockingHandler()
	_, address := serve(t, testConfig(h))
	c := dial(t, address)
	for i := range 6 {
		c.get(fmt.Sprintf("/%d", i))
	}
	h.awaitStarted(t, "/3")
	is.True(!h.hasStarted("/4"))
	h.unblock("/0")
	h.awaitStarted(t, "/4")
	is.True(!h.hasStarted("/5"))
}

// A request that must run at most once must not overlap with any other.
func TestNonConcurrentRequestRunsAlone(t *testing.T) {
	is := is.New(t)
	h := newBlockingHandler()
	_, address := serve(t, testConfig(h))
	c := dial(t, address)
	c.get("/1")
	c.post("/2", "body")
	c.get("/3")
	h.awaitStarted(t, "/1")
	is.True(!h.hasStarted("/2"))
	is.True(!h.hasStarted("/3"))
	h.unblock("/1")
	h.awaitStarted(t, "/2")
	is.True(!h.hasStarted("/3")) // not while the one before it is in flight
	h.unblock("/2")
	h.awaitStarted(t, "/3")
	h.unblock("/3")
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body := c.readResponse()
		is.Equal(body, "answer to "+path)
	}
}

// Guards against a request that runs at most once and starts after a response that closes the connection: its caller may send
// it again.
func TestNoRequestStartsAfterAClosingResponse(t *testing.T) {
	is := is.New(t)
	h := newBlockingHandler()
	_, address := serve(t, testConfig(h))
	c := dial(t, address)
	c.get("/1?close")
	h.awaitStarted(t, "/1")
	h.unblock("/1")
	response, body := c.readResponse()
	is.Equal(body, "answer to /1")
	is.True(response.Close)
	c.post("/2", "body")
	is.True(c.closedByServer())
	is.True(!h.hasStarted("/2"))
}

// Guards against a received request that is dropped because an earlier response asks to close the connection, whether it runs
// at most once, is in flight, or arrives while others are.
func TestReceivedRequestsAreAnsweredBeforeTheConnectionCloses(t *testing.T) {
	for name, sendSecond := range map[string]func(c *caller){
		"concurrent": func(c *caller) { c.get("/2") }, "alone": func(c *caller) { c.post("/2", "body") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newBlockingHandler()
			s, address := serve(t, testConfig(h))
			c := dial(t, address)
			c.get("/1?close")
			sendSecond(c)
			awaitReceived(t, s, 2)
			h.unblock("/1")
			first, _ := c.readResponse()
			is.True(!first.Close)
			h.awaitStarted(t, "/2")
			c.get("/3") // sent after the decision to close
			awaitReceived(t, s, 2)
			h.unblock("/2")
			second, body := c.readResponse()
			is.Equal(body, "answer to /2")
			is.True(!second.Close)
			h.unblock("/3")
			third, body := c.readResponse()
			is.Equal(body, "answer to /3")
			is.True(third.Close)
			is.True(c.closedByServer())
		})
	}
}

// awaitReceived waits until the connection has this many requests queued or running.
func awaitReceived(t *testing.T, s *Server, want int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, c := range s.openConns() {
			c.mu.Lock()
			received := len(c.queue) + len(c.running)
			c.mu.Unlock()
			if received == want {
				return
			}
		}
	}
	t.Fatalf("no connection has %d requests", want)
}

// A panic must close the connection only after the earlier responses.
func TestPanicClosesTheConnectionAfterEarlierResponses(t *testing.T) {
	is := is.New(t)
	panics := make(chan any, 1)
	h := newBlockingHandler()
	cfg := testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("fault")
		}
		h.ServeHTTP(w, r)
	}))
	cfg.OnPanic = func(value any) { panics <- value }
	_, address := serve(t, cfg)
	c := dial(t, address)
	c.get("/1")
	c.get("/panic")
	is.Equal(<-panics, "fault")
	h.unblock("/1")
	_, body := c.readResponse()
	is.Equal(body, "answer to /1")
	is.True(c.closedByServer())
}

// Waited must return the time that a request waited behind others.
func TestWaitedReturnsTheWaitBehindOtherRequests(t *testing.T) {
	is := is.New(t)
	waited := make(chan time.Duration, 2)
	_, address := serve(t, testConfig(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- Waited(r)
		time.Sleep(30 * time.Millisecond)
	})))
	c := dial(t, address)
	c.post("/1", "")
	c.post("/2", "")
	_, _ = c.readResponse()
	_, _ = c.readResponse()
	is.True(<-waited < 20*time.Millisecond)
	is.True(<-waited >= 20*time.Millisecond)
}
