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
