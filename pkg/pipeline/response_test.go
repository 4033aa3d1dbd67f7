package pipeline

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The framing of each response must let the caller find its end and notice a truncated one.
func TestResponseFraming(t *testing.T) {
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
	response, body := c.readResponse()
	is.Equal(response.ContentLength, int64(5))
	is.Equal(body, "short")
	is.True(response.Header.Get("Date") != "")
	c.get("/long")
	response, body = c.readResponse()
	is.Equal(response.TransferEncoding, []string{"chunked"})
	is.Equal(len(body), 10000)
	c.get("/none")
	response, _ = c.readResponse()
	is.Equal(response.StatusCode, http.StatusNoContent)
	c.get("/declared")
	_, body = c.readResponse()
	is.Equal(body, "declared")
	http10 := dial(t, address)
	http10.send("GET /long HTTP/1.0\r\n\r\n")
	response, body = http10.readResponse()
	is.Equal(len(response.TransferEncoding), 0)
	is.Equal(len(body), 10000)
	is.True(response.Close)
	// A truncated response must not look complete.
	c.get("/lies")
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	is.True(err != nil)
}

// Guards against a response 204 with the length of a body that does not follow.
func TestNoContentHasNoLength(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5")
		w.WriteHeader(http.StatusNoContent)
	})))
	c := dial(t, address)
	c.get("/1")
	response, _ := c.readResponse()
	is.Equal(response.StatusCode, http.StatusNoContent)
	is.Equal(response.Header["Content-Length"], nil)
}

// A response to HEAD must not have a body, which the caller would parse as the next response.
func TestResponsesToHeadHaveNoBody(t *testing.T) {
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
	_, body := c.readResponse()
	is.Equal(body, "words")
}

// Guards against a status that cannot be sent being replaced by another one.
func TestStatusThatCannotBeSentAbortsTheConnection(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 100, 101, 103, 199, 600, 999, 1000} {
		for _, path := range []string{"/empty", "/body", "/length", "/flushed", "/corrected"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				is := is.New(t)
				reported := make(chan error, 1)
				cfg := testConfig(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/sound" {
						_, _ = io.WriteString(w, "sound")
						return
					}
					writeWithStatus(w, r.URL.Path, status)
				}))
				cfg.OnUnsendable = func(_ *http.Request, err error) { reported <- err }
				_, address := serve(t, cfg)
				c := dial(t, address)
				c.get("/sound")
				c.get(path)
				response, body := c.readResponse()
				is.Equal(response.StatusCode, http.StatusOK) // the earlier response is complete
				is.Equal(body, "sound")
				rest, _ := io.ReadAll(c.reader)
				is.Equal(string(rest), "")
				is.True(errors.Is(<-reported, errStatusNotFinal))
			})
		}
	}
}

// writeWithStatus writes a response in the manner that the path names.
func writeWithStatus(w http.ResponseWriter, path string, status int) {
	if path == "/length" {
		w.Header().Set("Content-Length", "5")
	}
	w.WriteHeader(status)
	switch path {
	case "/body", "/length":
		_, _ = io.WriteString(w, "words")
	case "/flushed":
		_ = http.NewResponseController(w).Flush()
	case "/corrected":
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedResponse))
	}
}
