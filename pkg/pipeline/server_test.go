package pipeline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTimeout ends a test that hangs.
const testTimeout = 5 * time.Second

// desk answers requests when the test lets it.
type desk struct {
	mu      sync.Mutex
	entered map[string]chan struct{}
	release map[string]chan struct{}
	left    map[string]chan struct{}
}

func newDesk() *desk {
	return &desk{entered: map[string]chan struct{}{}, release: map[string]chan struct{}{}, left: map[string]chan struct{}{}}
}

func (d *desk) channel(set map[string]chan struct{}, path string) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if set[path] == nil {
		set[path] = make(chan struct{})
	}
	return set[path]
}

// ServeHTTP answers with the path once it is let go, or at once below /now.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	close(d.channel(d.entered, r.URL.Path))
	if !strings.HasPrefix(r.URL.Path, "/now") {
		select {
		case <-d.channel(d.release, r.URL.Path):
		case <-r.Context().Done():
			close(d.channel(d.left, r.URL.Path))
			return
		}
	}
	if r.URL.Query().Has("close") {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "answer to "+r.URL.Path)
}

func (d *desk) letGo(path string) { close(d.channel(d.release, path)) }

func (d *desk) awaitEntered(t *testing.T, path string) {
	t.Helper()
	await(t, d.channel(d.entered, path), path+" was not handled")
}

func (d *desk) hasEntered(path string) bool {
	select {
	case <-d.channel(d.entered, path):
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

func await(t *testing.T, c <-chan struct{}, complaint string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal(complaint)
	}
}

// testConfig lets GET requests run beside each other.
func testConfig(handler http.Handler) Config {
	return Config{
		Handler: handler, Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet },
		MaxConcurrent: 4, HeaderTimeout: time.Second, IdleTimeout: time.Minute, WriteTimeout: time.Second, MaxHeaderBytes: 16 << 10,
	}
}

func serve(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(cfg)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serving ended with %v", err)
		}
	})
	return s, l.Addr().String()
}

// caller is one connection.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &caller{t: t, Conn: c, reader: bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) get(path string) {
	c.t.Helper()
	c.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n")
}

func (c *caller) post(path, body string) {
	c.t.Helper()
	c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body))
}

// answer reads the next answer.
func (c *caller) answer() (response *http.Response, body string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return response, string(data)
}

// ended reports whether the server closed the connection without a further byte.
func (c *caller) ended() bool {
	data, err := io.ReadAll(c.reader)
	return err == nil && len(data) == 0
}

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

func TestShutdownEndsIdleConnectionsAndAnswersTheOthers(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	s, address := serve(t, testConfig(d))
	unused, idle, busy := dial(t, address), dial(t, address), dial(t, address)
	idle.get("/now/1")
	_, _ = idle.answer()
	busy.get("/1")
	busy.get("/2")
	d.awaitEntered(t, "/2")
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	is.True(unused.ended())
	is.True(idle.ended())
	unused.Close()
	idle.Close()
	d.letGo("/1")
	d.letGo("/2")
	first, _ := busy.answer()
	second, _ := busy.answer()
	is.True(!first.Close)
	is.True(second.Close)
	is.True(busy.ended())
	busy.Close()
	is.NoErr(<-ended)
}

func TestShutdownGivesUpWithItsContext(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	s, address := serve(t, testConfig(d))
	c := dial(t, address)
	c.get("/1")
	d.awaitEntered(t, "/1")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.Equal(s.Shutdown(ctx), context.DeadlineExceeded)
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

func TestBodies(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Fprintf(w, "%s %s", r.URL.Path, data)
	})))
	c := dial(t, address)
	c.post("/1", "length")
	c.send("POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	c.get("/3")
	for _, want := range []string{"/1 length", "/2 abcde", "/3 "} {
		_, body := c.answer()
		is.Equal(body, want)
	}
	c.send("POST /4 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, _ = c.reader.ReadString('\n')
	c.send("ok")
	_, body := c.answer()
	is.Equal(body, "/4 ok")
	// A broken body is answered, and nothing is read behind it.
	c.send("POST /5 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nnot a length\r\n")
	response, _ := c.answer()
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.True(response.Close)
}

// The bytes of a body that was not read must not be taken for a request.
func TestUnreadBodies(t *testing.T) {
	is := is.New(t)
	var served atomic.Int32
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		_, _ = io.WriteString(w, r.URL.Path)
	})))
	c := dial(t, address)
	hidden := "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	c.post("/short", hidden)
	response, _ := c.answer()
	is.True(!response.Close)
	long := strings.Repeat(hidden, maxHeldBody/len(hidden)+1)
	c.send(fmt.Sprintf("POST /long HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(long)))
	response, body := c.answer()
	is.Equal(body, "/long")
	is.True(response.Close)
	c.send(long)
	is.True(c.ended())
	is.Equal(served.Load(), int32(2))
}

func TestRequestsThatCannotBeUnderstood(t *testing.T) {
	long := strings.Repeat("x", 20<<10)
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"no request":        {"nonsense\r\n\r\n", 400},
		"no host":           {"GET / HTTP/1.1\r\n\r\n", 400},
		"two hosts":         {"GET / HTTP/1.1\r\nHost: a\r\nhost: b\r\n\r\n", 400},
		"control character": {"GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", 400},
		"two lengths":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"strange encoding":  {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		"later protocol":    {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
		"long head":         {"GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", 431},
		"endless head":      {"GET / HTTP/1.1\r\nHost: a\r\nX: " + long, 431},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, address := serve(t, testConfig(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				t.Error("the request was handled")
			})))
			c := dial(t, address)
			c.send(test.text)
			response, _ := c.answer()
			is.Equal(response.StatusCode, test.status)
			is.True(response.Close)
			is.True(c.ended())
		})
	}
}

func TestLongHeadsWithinTheBound(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%d %s", len(r.Header.Get("X")), r.URL.Path)
	})))
	c := dial(t, address)
	long := strings.Repeat("x", 9000)
	for range 2 {
		c.send("GET /long HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n")
		c.get("/behind")
		_, body := c.answer()
		is.Equal(body, "9000 /long")
		_, body = c.answer()
		is.Equal(body, "0 /behind")
	}
}

func TestFramingOfAnswers(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/short":
			_, _ = io.WriteString(w, "short")
		case "/long":
			for range 100 {
				_, _ = io.WriteString(w, strings.Repeat("x", 100))
			}
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/lies":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
		case "/declared":
			w.Header().Set("Content-Length", "8")
			_, _ = io.WriteString(w, "declared")
		}
	})))
	c := dial(t, address)
	c.get("/short")
	response, body := c.answer()
	is.Equal(response.ContentLength, int64(5))
	is.Equal(body, "short")
	is.True(response.Header.Get("Date") != "")
	c.get("/long")
	response, body = c.answer()
	is.Equal(response.TransferEncoding, []string{"chunked"})
	is.Equal(len(body), 10000)
	c.get("/none")
	response, _ = c.answer()
	is.Equal(response.StatusCode, http.StatusNoContent)
	c.get("/declared")
	_, body = c.answer()
	is.Equal(body, "declared")
	old := dial(t, address)
	old.send("GET /long HTTP/1.0\r\n\r\n")
	response, body = old.answer()
	is.Equal(len(response.TransferEncoding), 0)
	is.Equal(len(body), 10000)
	is.True(response.Close)
	// An answer that was cut short must not look complete.
	c.get("/lies")
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	is.True(err != nil)
}

func TestHeadAnswersHaveNoBody(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "words")
	})))
	c := dial(t, address)
	c.send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	c.get("/2")
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	is.NoErr(err)
	is.Equal(response.ContentLength, int64(5))
	_, body := c.answer()
	is.Equal(body, "words")
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

// The time for a head does not bound a long body.
func TestLongBodyMayTakeLongerThanAHead(t *testing.T) {
	is := is.New(t)
	cfg := testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%d %v", n, err)
	}))
	cfg.HeaderTimeout = 400 * time.Millisecond
	_, address := serve(t, cfg)
	const pieces, piece = 6, 5 << 10
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", pieces*piece)
	c := dial(t, address)
	c.send(head)
	for range pieces {
		time.Sleep(cfg.HeaderTimeout / 4)
		c.send(strings.Repeat("x", piece))
	}
	_, body := c.answer()
	is.Equal(body, fmt.Sprintf("%d <nil>", pieces*piece))
	// One that does not come at all does not hold its connection for ever.
	stuck := dial(t, address)
	stuck.send(head)
	response, _ := stuck.answer()
	is.True(response.Close)
	is.True(stuck.ended())
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
