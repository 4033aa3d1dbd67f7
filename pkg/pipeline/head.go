package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Errors of reading a request's head. Their texts are sent to the caller.
var (
	errHeadTooLarge = errors.New("the head of the request is too large")
	errHostHeader   = errors.New("a request has just one Host header")
	errHeaderValue  = errors.New("a header has a value that must not be sent")
	errVersion      = errors.New("the protocol's version is not supported")
)

// readRequest reads a request's head and a short body. An invalid request gets a handler that responds with the
// error in its turn. An error is returned if the connection cannot be read.
func (c *conn) readRequest() (*exchange, error) {
	head, err := c.peekHead()
	if err != nil && !errors.Is(err, errHeadTooLarge) {
		return nil, err
	}
	var r *http.Request
	if err == nil {
		r, err = parseRequest(c.reader, head)
	}
	x := &exchange{conn: c, turn: make(chan struct{}), done: make(chan struct{}), readAt: time.Now()}
	if err != nil {
		x.request = &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
		x.handler, x.last = errorHandler(errorStatus(err), err), true
		return x, nil
	}
	if err := c.setReadDeadline(); err != nil {
		return nil, err
	}
	r.RemoteAddr = c.rwc.RemoteAddr().String()
	x.last = r.Close || !r.ProtoAtLeast(1, 1)
	x.handler = c.server.cfg.Handler
	x.request = r.WithContext(c.requestCtx)
	if r.Body == http.NoBody {
		x.concurrent = c.server.cfg.Concurrent != nil && c.server.cfg.Concurrent(x.request)
		return x, nil
	}
	buffered, err := bufferBody(x.request)
	if err != nil {
		return nil, fmt.Errorf("read the body of a request from %s: %w", c.rwc.RemoteAddr(), err)
	}
	if !buffered {
		x.body = newRequestBody(c, r)
		x.request.Body = x.body
	}
	return x, nil
}

// peekHead waits until the buffer holds a complete head and returns it without consuming it.
func (c *conn) peekHead() ([]byte, error) {
	searched := 0
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := headLength(buffered, searched); end > 0 {
			if end > c.server.cfg.MaxHeaderBytes {
				return nil, errHeadTooLarge
			}
			return buffered[:end], nil
		}
		searched = len(buffered)
		if len(buffered) >= c.server.cfg.MaxHeaderBytes {
			return nil, errHeadTooLarge
		}
		if len(buffered) == c.reader.Size() {
			c.growBuffer(buffered)
			continue
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return nil, fmt.Errorf("read the head of a request from %s: %w", c.rwc.RemoteAddr(), err)
		}
	}
}

// skipEmptyLines discards empty lines, which some callers send after a body (RFC 9112, section 2.2).
func (c *conn) skipEmptyLines() {
	for c.reader.Buffered() > 0 {
		first, _ := c.reader.Peek(1)
		if first[0] != '\r' && first[0] != '\n' {
			return
		}
		_, _ = c.reader.Discard(1)
	}
}

// growBuffer replaces the read buffer by one that fits a head of MaxHeaderBytes.
func (c *conn) growBuffer(buffered []byte) {
	copied := bytes.Clone(buffered)
	size := c.server.cfg.MaxHeaderBytes + readBufferSize
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(copied), input{c}), size)
	_, _ = c.reader.Peek(len(copied))
}

// headLength returns the length of the head at the start of data, zero if its end is missing. The first searched
// bytes contain no end.
func headLength(data []byte, searched int) int {
	const overlap = len("\n\r\n") - 1
	for from := max(0, searched-overlap); ; {
		at := bytes.IndexByte(data[from:], '\n')
		if at < 0 {
			return 0
		}
		rest := data[from+at+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return from + at + 2
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return from + at + 3
		}
		from += at + 1
	}
}

// parseRequest reads a request whose head is in the buffer, and makes the checks that http.ReadRequest leaves to
// servers.
func parseRequest(reader *bufio.Reader, head []byte) (*http.Request, error) {
	hosts := countHostHeaders(head)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	if r.ProtoMajor != 1 {
		return nil, errVersion
	}
	if hosts > 1 || (hosts == 0 && r.ProtoAtLeast(1, 1)) || !httpguts.ValidHostHeader(r.Host) {
		return nil, errHostHeader
	}
	for _, values := range r.Header {
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil, errHeaderValue
			}
		}
	}
	return r, nil
}

// countHostHeaders returns the number of Host headers, which http.ReadRequest does not report.
func countHostHeaders(head []byte) int {
	const name = "host:"
	count := 0
	for line := range bytes.Lines(head) {
		if len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			count++
		}
	}
	return count
}

// errorStatus returns the HTTP status for an error of readRequest.
func errorStatus(err error) int {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errVersion):
		return http.StatusHTTPVersionNotSupported
	}
	return http.StatusBadRequest
}

// errorHandler returns a handler that responds with the error to a request that could not be parsed. No
// further request of its connection is read.
func errorHandler(status int, err error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, err.Error(), status) })
}
