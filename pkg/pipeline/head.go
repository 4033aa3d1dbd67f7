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

// Errors of reading a request's head.
var (
	errHeadTooLarge = errors.New("the head of the request is too large")
	errHost         = errors.New("a request has just one Host header")
	errHeaderValue  = errors.New("a header has a value that must not be sent")
	errVersion      = errors.New("the protocol's version is not supported")
)

// readRequest reads a request's head, and a short body. A request that cannot be understood is answered so in its
// turn; an error is returned if there is nobody to answer.
func (c *conn) readRequest() (*exchange, error) {
	head, err := c.awaitHead()
	if err != nil && !errors.Is(err, errHeadTooLarge) {
		return nil, err
	}
	var r *http.Request
	if err == nil {
		r, err = parse(c.reader, head)
	}
	x := &exchange{conn: c, turn: make(chan struct{}), done: make(chan struct{}), arrived: time.Now()}
	if err != nil {
		x.request = &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
		x.handler, x.last = refuse(statusOf(err), err), true
		return x, nil
	}
	r.RemoteAddr = c.rwc.RemoteAddr().String()
	x.last = r.Close || !r.ProtoAtLeast(1, 1)
	x.handler = c.server.cfg.Handler
	x.request = r.WithContext(c.ctx)
	if r.Body == http.NoBody {
		x.concurrent = c.server.cfg.Concurrent != nil && c.server.cfg.Concurrent(x.request)
		return x, nil
	}
	held, err := holdBody(x.request)
	if err != nil {
		return nil, fmt.Errorf("read the body of a request from %s: %w", c.rwc.RemoteAddr(), err)
	}
	if !held {
		x.body = newRequestBody(c, r)
		x.request.Body = x.body
	}
	return x, nil
}

// awaitHead returns a request's head once it is in the buffer whole, without taking it out.
func (c *conn) awaitHead() ([]byte, error) {
	c.skipEmptyLines()
	searched := 0
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := endOfHead(buffered, searched); end > 0 {
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

// skipEmptyLines takes out what some callers send behind a body (RFC 9112, 2.2).
func (c *conn) skipEmptyLines() {
	for c.reader.Buffered() > 0 {
		first, _ := c.reader.Peek(1)
		if first[0] != '\r' && first[0] != '\n' {
			return
		}
		_, _ = c.reader.Discard(1)
	}
}

// growBuffer makes room for a head as long as is allowed.
func (c *conn) growBuffer(buffered []byte) {
	held := bytes.Clone(buffered)
	size := c.server.cfg.MaxHeaderBytes + readBuffer
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(held), c.rwc), size)
	_, _ = c.reader.Peek(len(held))
}

// endOfHead returns the length of a head, zero if its end is not there. The first bytes were
// searched before.
func endOfHead(data []byte, searched int) int {
	const longest = len("\n\r\n") - 1
	for from := max(0, searched-longest); ; {
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

// parse reads a request whose head is in the buffer, and checks what http.ReadRequest leaves to
// servers.
func parse(reader *bufio.Reader, head []byte) (*http.Request, error) {
	hosts := countHosts(head)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	if r.ProtoMajor != 1 {
		return nil, errVersion
	}
	if hosts > 1 || (hosts == 0 && r.ProtoAtLeast(1, 1)) || !httpguts.ValidHostHeader(r.Host) {
		return nil, errHost
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

// countHosts counts the Host headers of a head.
func countHosts(head []byte) int {
	const name = "host:"
	count := 0
	for line := range bytes.Lines(head) {
		if len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name)) {
			count++
		}
	}
	return count
}

// statusOf returns the status that tells a caller what is wrong with its request.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errVersion):
		return http.StatusHTTPVersionNotSupported
	}
	return http.StatusBadRequest
}

// refuse answers a request that could not be read. It is its connection's last one.
func refuse(status int, err error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, err.Error(), status) })
}
