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
