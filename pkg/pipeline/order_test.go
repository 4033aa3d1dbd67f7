package pipeline

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSafeRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	_, address := serve(t, testConfig(d))
	c := dial(t, address)
	c.get("/1")
	c.get("/2")
	c.get("/3")
	for _, path := range []string{"/1", "/2", "/3"} {
		d.awaitEntered(t, path)
	}
	d.letGo("/3")
	d.letGo("/2")
	d.letGo("/1")
	for _, path := range []string{"/1", "/2", "/3"} {
		response, body := c.answer()
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, "answer to "+path)
	}
}

func TestRequestsOfOneConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	_, address := serve(t, testConfig(d))
	c := dial(t, address)
	for i := range 6 {
		c.get(fmt.Sprintf("/%d", i))
	}
	d.awaitEntered(t, "/3")
	is.True(!d.hasEntered("/4"))
	d.letGo("/0")
	d.awaitEntered(t, "/4")
	is.True(!d.hasEntered("/5"))
}

func TestUnsafeRequestRunsAlone(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	_, address := serve(t, testConfig(d))
	c := dial(t, address)
	c.get("/1")
	c.post("/2", "body")
	c.get("/3")
	d.awaitEntered(t, "/1")
	is.True(!d.hasEntered("/2"))
	is.True(!d.hasEntered("/3"))
	d.letGo("/1")
	d.awaitEntered(t, "/2")
	is.True(!d.hasEntered("/3")) // not while the one before it is under way
	d.letGo("/2")
	d.awaitEntered(t, "/3")
	d.letGo("/3")
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body := c.answer()
		is.Equal(body, "answer to "+path)
	}
}

// An unsafe request behind an answer that closes the connection must not have begun.
func TestNothingUnsafeBeginsBehindAnAnswerThatCloses(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	_, address := serve(t, testConfig(d))
	c := dial(t, address)
	c.get("/1?close")
	c.post("/2", "body")
	d.awaitEntered(t, "/1")
	d.letGo("/1")
	response, body := c.answer()
	is.Equal(body, "answer to /1")
	is.True(response.Close)
	is.True(c.ended())
	is.True(!d.hasEntered("/2"))
}

// What was begun is answered, also behind an answer that asks for the end.
func TestRequestsUnderWayAreAnsweredBeforeTheConnectionCloses(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	_, address := serve(t, testConfig(d))
	c := dial(t, address)
	c.get("/1?close")
	c.get("/2")
	d.awaitEntered(t, "/1")
	d.awaitEntered(t, "/2")
	d.letGo("/1")
	first, _ := c.answer()
	is.True(!first.Close)
	c.get("/3") // comes after the end was decided
	d.letGo("/2")
	second, body := c.answer()
	is.Equal(body, "answer to /2")
	is.True(second.Close)
	is.True(c.ended())
	is.True(!d.hasEntered("/3"))
}

// A handler that panics ends its connection, but not the answers before its own.
func TestPanicEndsTheConnectionInItsTurn(t *testing.T) {
	is := is.New(t)
	told := make(chan any, 1)
	d := newDesk()
	cfg := testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			panic("fault")
		}
		d.ServeHTTP(w, r)
	}))
	cfg.OnPanic = func(value any) { told <- value }
	_, address := serve(t, cfg)
	c := dial(t, address)
	c.get("/1")
	c.get("/panic")
	is.Equal(<-told, "fault")
	d.letGo("/1")
	_, body := c.answer()
	is.Equal(body, "answer to /1")
	is.True(c.ended())
}

// The time that a request waited behind others is told to its handler.
func TestWaitedIsTold(t *testing.T) {
	is := is.New(t)
	waited := make(chan time.Duration, 2)
	_, address := serve(t, testConfig(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		waited <- Waited(r)
		time.Sleep(30 * time.Millisecond)
	})))
	c := dial(t, address)
	c.post("/1", "")
	c.post("/2", "")
	_, _ = c.answer()
	_, _ = c.answer()
	is.True(<-waited < 20*time.Millisecond)
	is.True(<-waited >= 20*time.Millisecond)
}
