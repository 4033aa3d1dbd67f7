package pipeline

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

const (
	writeBuffer = 4 << 10
	// maxUnframed is up to which length an answer without a declared length is held back, so
	// that it gets one.
	maxUnframed = 2 << 10
)

// Errors of answers.
var (
	errConnectionEnded = errors.New("the caller's connection has ended")
	errAnswerCutShort  = errors.New("the handler wrote less than it declared")
)

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// response writes the answer of one exchange. It implements http.ResponseWriter, and FlushError
// for http.ResponseController.
type response struct {
	x      *exchange
	header http.Header
	status int
	// held is what was written before the head.
	held []byte
	// committed is set once the head is on its way; out is what the rest goes to.
	committed bool
	w         *bufio.Writer
	out       io.Writer
	chunks    io.WriteCloser
	// declared is the length of the body, negative for none; written counts it.
	declared int64
	written  int64
	err      error
}

func newResponse(x *exchange) *response {
	return &response{x: x, header: http.Header{}, declared: -1}
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. Informational answers are not passed on.
func (r *response) WriteHeader(status int) {
	if r.status != 0 || status < http.StatusOK {
		return
	}
	r.status = status
	if length, err := strconv.ParseInt(r.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		r.declared = length
		return
	}
	delete(r.header, "Content-Length")
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if !r.hasBody() {
		return len(p), nil
	}
	if r.declared >= 0 && r.written+int64(len(p)) > r.declared {
		return 0, http.ErrContentLength
	}
	if !r.committed && r.declared < 0 && len(r.held)+len(p) <= maxUnframed {
		r.held = append(r.held, p...)
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

// FlushError sends what was written so far.
func (r *response) FlushError() error {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if err := r.commit(); err != nil {
		return err
	}
	return r.w.Flush()
}

// hasBody reports whether the answer may have a body.
func (r *response) hasBody() bool {
	return r.x.request.Method != http.MethodHead && r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

// commit waits for the answer's turn and writes its head.
func (r *response) commit() error {
	if r.committed || r.err != nil {
		return r.err
	}
	if !r.x.conn.awaitTurn(r.x) {
		r.err = errConnectionEnded
		return r.err
	}
	r.committed = true
	r.w = writers.Get().(*bufio.Writer)
	r.w.Reset(r.x.conn)
	r.frame()
	r.writeHead()
	r.out = r.w
	if r.chunks != nil {
		r.out = r.chunks
	}
	_, err := r.out.Write(r.held)
	r.held = nil
	return err
}

// frame decides how the end of the answer is found, and whether the connection stays open.
func (r *response) frame() {
	delete(r.header, "Transfer-Encoding")
	wish := r.x.last || httpguts.HeaderValuesContainsToken(r.header["Connection"], "close")
	if r.x.body != nil && !r.x.body.settle() {
		wish = true
	}
	if r.declared < 0 && r.hasBody() {
		if r.x.request.ProtoAtLeast(1, 1) {
			r.header.Set("Transfer-Encoding", "chunked")
			r.chunks = httputil.NewChunkedWriter(r.w)
		} else {
			wish = true
		}
	}
	delete(r.header, "Connection")
	if r.x.conn.commitClose(r.x, wish) {
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

// finish completes the answer. An error says that it cannot be.
func (r *response) finish() error {
	defer r.free()
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if !r.committed && r.declared < 0 && r.hasBody() {
		r.declared = int64(len(r.held))
		r.header.Set("Content-Length", strconv.Itoa(len(r.held)))
	}
	if err := r.commit(); err != nil {
		return err
	}
	if r.declared >= 0 && r.hasBody() && r.written < r.declared {
		return errAnswerCutShort
	}
	if r.chunks != nil {
		_ = r.chunks.Close()
		r.w.WriteString("\r\n")
	}
	return r.w.Flush()
}

func (r *response) free() {
	if r.w == nil {
		return
	}
	r.w.Reset(nil)
	writers.Put(r.w)
	r.w = nil
}
