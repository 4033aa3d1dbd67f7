package pipeline

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Bodies of each framing must be read exactly, so that the next request is found.
func TestBodyFraming(t *testing.T) {
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
		_, body := c.readResponse()
		is.Equal(body, want)
	}
	c.send("POST /4 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, _ = c.reader.ReadString('\n')
	c.send("ok")
	_, body := c.readResponse()
	is.Equal(body, "/4 ok")
	// A malformed body gets a response, and nothing after it is read.
	c.send("POST /5 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nnot a length\r\n")
	response, _ := c.readResponse()
	is.Equal(response.StatusCode, http.StatusBadRequest)
	is.True(response.Close)
}

// The bytes of an unread body must not be parsed as a request.
func TestUnreadBodyIsNotParsedAsARequest(t *testing.T) {
	is := is.New(t)
	var served atomic.Int32
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		_, _ = io.WriteString(w, r.URL.Path)
	})))
	c := dial(t, address)
	hidden := "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	c.post("/short", hidden)
	response, _ := c.readResponse()
	is.True(!response.Close)
	long := strings.Repeat(hidden, maxBufferedBody/len(hidden)+1)
	c.send(fmt.Sprintf("POST /long HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(long)))
	response, body := c.readResponse()
	is.Equal(body, "/long")
	is.True(response.Close)
	c.send(long)
	is.True(c.closedByServer())
	is.Equal(served.Load(), int32(2))
}

// HeaderTimeout must bound each piece of a long body, not the body as a whole.
func TestLongBodyMayTakeLongerThanHeaderTimeout(t *testing.T) {
	is := is.New(t)
	cfg := testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%d %v", n, err)
	}))
	cfg.HeaderTimeout = 400 * time.Millisecond
	_, address := serve(t, cfg)
	const pieceCount, pieceSize = 6, 5 << 10
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", pieceCount*pieceSize)
	c := dial(t, address)
	c.send(head)
	for range pieceCount {
		time.Sleep(cfg.HeaderTimeout / 4)
		c.send(strings.Repeat("x", pieceSize))
	}
	_, body := c.readResponse()
	is.Equal(body, fmt.Sprintf("%d <nil>", pieceCount*pieceSize))
	// A body that never arrives must not hold its connection open.
	stuck := dial(t, address)
	stuck.send(head)
	response, _ := stuck.readResponse()
	is.True(response.Close)
	is.True(stuck.closedByServer())
}

// Guards against a response that is held back while its caller sends a body without end.
func TestEndlessBodyDoesNotDelayItsResponse(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})))
	c := dial(t, address)
	c.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	go func() {
		for chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"; ; {
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
	}()
	response, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Close)
}
