package pipeline

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"bramblelift/pkg/roundtrip"

	"golang.org/x/net/http/httpguts"
)

const (
	writeBuffer = 4 << 10
	// maxBufferedResponse is the size up to which a response without a declared length is buffered, so that its
	// Content-Length can be set.
	maxBufferedResponse = 2 << 10
)

// Errors of writing a response.
var (
	errConnClosed        = errors.New("the caller's connection is closed")
	errResponseTruncated = errors.New("the handler wrote less than its Content-Length")
	errHandlerAborted    = errors.New("the handler aborted the response")
	errStatusNotFinal    = errors.New("the handler set a status that cannot end an exchange")
)

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// response writes the response of one exchange. It implements http.ResponseWriter, and FlushError for
// http.ResponseController.
type response struct {
	x      *exchange
	header http.Header
	status int
	// buffered is the part of the body written before the head was sent.
	buffered []byte
	// committed is set once the head is being written; out receives the body after that.
	committed bool
	w         *bufio.Writer
	out       io.Writer
	chunks    io.WriteCloser
	// contentLength is the Content-Length, negative if not set; written counts the body bytes.
	contentLength int64
	written       int64
	err           error
}

func newResponse(x *exchange) *response {
	return &response{x: x, header: http.Header{}, contentLength: -1}
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. After a status that cannot end an exchange, informational ones included,
// nothing is sent and the connection is aborted.
func (r *response) WriteHeader(status int) {
	if r.status != 0 || r.err != nil {
		return
	}
	if !roundtrip.IsFinalStatus(status) {
		r.err = fmt.Errorf("status %d: %w", status, errStatusNotFinal)
		return
	}
	r.status = status
	if length, err := strconv.ParseInt(r.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		r.contentLength = length
		return
	}
	delete(r.header, "Content-Length")
}

// Write implements http.ResponseWriter. It blocks until the response's turn once the buffer is full.
func (r *response) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.err != nil {
		return 0, r.err
	}
	if !r.hasBody() {
		return len(p), nil
	}
	if r.contentLength >= 0 && r.written+int64(len(p)) > r.contentLength {
		return 0, http.ErrContentLength
	}
	if !r.committed && r.contentLength < 0 && len(r.buffered)+len(p) <= maxBufferedResponse {
		r.buffered = append(r.buffered, p...)
		r.written += int64(len(p))
		return len(p), nil
	}
	if err := r.commit(); err != nil {
		return 0, err
	}
	n, err := r.out.Write(p)
	r.written += int64(n)
	return n, err
}

// FlushError sends what was written so far, after waiting for the response's turn.
func (r *response) FlushError() error {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if err := r.commit(); err != nil {
		return err
	}
	return r.w.Flush()
}

// hasBody reports whether the response may have a body.
func (r *response) hasBody() bool {
	return r.x.request.Method != http.MethodHead && r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

// endsWithConnection reports whether the body is being sent without a length, up to the connection's end.
func (r *response) endsWithConnection() bool {
	return r.committed && r.contentLength < 0 && r.chunks == nil && r.hasBody()
}

// commit waits for the response's turn and writes its head.
func (r *response) commit() error {
	if r.committed || r.err != nil {
		return r.err
	}
	if !r.x.conn.awaitTurn(r.x) {
		r.err = errConnClosed
		return r.err
	}
	r.committed = true
	r.w = writers.Get().(*bufio.Writer)
	r.w.Reset(r.x.conn)
	r.setFraming()
	r.writeHead()
	r.out = r.w
	if r.chunks != nil {
		r.out = r.chunks
	}
	_, err := r.out.Write(r.buffered)
	r.buffered = nil
	return err
}

// setFraming sets the headers for the body's length and for keeping or closing the connection.
func (r *response) setFraming() {
	delete(r.header, "Transfer-Encoding")
	if r.status == http.StatusNoContent {
		delete(r.header, "Content-Length") // it must not have one (RFC 9110, 8.6), and a caller might wait for the body
	}
	wantClose := r.x.last || httpguts.HeaderValuesContainsToken(r.header["Connection"], "close")
	if r.x.body != nil && !r.x.body.discardRest() {
		wantClose = true
	}
	if r.contentLength < 0 && r.hasBody() {
		if r.x.request.ProtoAtLeast(1, 1) {
			r.header.Set("Transfer-Encoding", "chunked")
			r.chunks = httputil.NewChunkedWriter(r.w)
		} else {
			wantClose = true
		}
	}
	delete(r.header, "Connection")
	if r.x.conn.commitClose(r.x, wantClose) {
		r.header.Set("Connection", "close")
	}
}

func (r *response) writeHead() {
	if _, set := r.header["Date"]; !set {
		r.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	r.w.WriteString("HTTP/1.1 ")
	r.w.WriteString(strconv.Itoa(r.status))
	r.w.WriteByte(' ')
	r.w.WriteString(http.StatusText(r.status))
	r.w.WriteString("\r\n")
	_ = r.header.Write(r.w)
	r.w.WriteString("\r\n")
}

// finish completes the response. An error means that it is incomplete and the connection must be aborted.
func (r *response) finish() error {
	defer r.release()
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if errors.Is(r.err, errStatusNotFinal) {
		// Earlier responses must be complete before the connection is aborted.
		r.x.conn.awaitTurn(r.x)
		r.x.conn.server.reportUnsendable(r.x.request, r.err)
		return r.err
	}
	if !r.committed && r.contentLength < 0 && r.hasBody() {
		r.contentLength = int64(len(r.buffered))
		r.header.Set("Content-Length", strconv.Itoa(len(r.buffered)))
	}
	if err := r.commit(); err != nil {
		return err
	}
	if r.contentLength >= 0 && r.hasBody() && r.written < r.contentLength {
		return errResponseTruncated
	}
	if r.chunks != nil {
		_ = r.chunks.Close()
		r.w.WriteString("\r\n")
	}
	return r.w.Flush()
}

// release returns the writer to the pool.
func (r *response) release() {
	if r.w == nil {
		return
	}
	r.w.Reset(nil)
	writers.Put(r.w)
	r.w = nil
}
