package pipeline

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Invalid requests must get an error status and close the connection, without reaching the handler.
func TestInvalidRequestsAreRejected(t *testing.T) {
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
			response, _ := c.readResponse()
			is.Equal(response.StatusCode, test.status)
			is.True(response.Close)
			is.True(c.closedByServer())
		})
	}
}

// Heads longer than the initial buffer must be read without losing the next request.
func TestHeadsLongerThanTheReadBuffer(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%d %s", len(r.Header.Get("X")), r.URL.Path)
	})))
	c := dial(t, address)
	long := strings.Repeat("x", 9000)
	for range 2 {
		c.send("GET /long HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n")
		c.get("/behind")
		_, body := c.readResponse()
		is.Equal(body, "9000 /long")
		_, body = c.readResponse()
		is.Equal(body, "0 /behind")
	}
}
