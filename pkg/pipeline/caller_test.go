package pipeline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// testTimeout bounds each wait of a test.
const testTimeout = 5 * time.Second

// blockingHandler blocks each request until the test unblocks it, and records by path which requests started and
// which were canceled.
type blockingHandler struct {
	mu       sync.Mutex
	started  map[string]chan struct{}
	release  map[string]chan struct{}
	canceled map[string]chan struct{}
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{started: map[string]chan struct{}{}, release: map[string]chan struct{}{}, canceled: map[string]chan struct{}{}}
}

func (h *blockingHandler) channel(set map[string]chan struct{}, path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if set[path] == nil {
		set[path] = make(chan struct{})
	}
	return set[path]
}

// ServeHTTP responds with the path once it is unblocked, or immediately if the path starts with /now.
func (h *blockingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	close(h.channel(h.started, r.URL.Path))
	if !strings.HasPrefix(r.URL.Path, "/now") {
		select {
		case <-h.channel(h.release, r.URL.Path):
		case <-r.Context().Done():
			close(h.channel(h.canceled, r.URL.Path))
			return
		}
	}
	if r.URL.Query().Has("close") {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "answer to "+r.URL.Path)
}

func (h *blockingHandler) unblock(path string) { close(h.channel(h.release, path)) }

func (h *blockingHandler) awaitStarted(t *testing.T, path string) {
	t.Helper()
	await(t, h.channel(h.started, path), path+" was not handled")
}

// hasStarted reports whether the request starts within 50 ms.
func (h *blockingHandler) hasStarted(path string) bool {
	select {
	case <-h.channel(h.started, path):
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

// await fails the test with message if c is not closed within testTimeout.
func await(t *testing.T, c <-chan struct{}, message string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal(message)
	}
}

// testConfig returns a Config in which GET requests may run concurrently.
func testConfig(handler http.Handler) Config {
	return Config{
		Handler: handler, Concurrent: func(r *http.Request) bool { return r.Method == http.MethodGet },
		MaxConcurrent: 4, HeaderTimeout: time.Second, IdleTimeout: time.Minute, WriteTimeout: time.Second, MaxHeaderBytes: 16 << 10,
	}
}

// serve starts a server on a local port and returns it with its address.
func serve(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(cfg)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve returned %v", err)
		}
	})
	return s, l.Addr().String()
}

// caller is a test client with one connection.
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

// readResponse reads the next response.
func (c *caller) readResponse() (response *http.Response, body string) {
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

// closedByServer reports whether the server closed the connection without sending further bytes.
func (c *caller) closedByServer() bool {
	data, err := io.ReadAll(c.reader)
	return err == nil && len(data) == 0
}
