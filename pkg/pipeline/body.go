package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

const (
	continueLine = "HTTP/1.1 100 Continue\r\n\r\n"
	// maxBufferedBody is the declared length up to which a body is read before its request is handled, so that
	// the reader can continue and notice a disconnected caller.
	maxBufferedBody = 16 << 10
)

// bufferBody reads a short body into memory; it returns false if the body is long or of unknown
// length, or if the caller waits for 100 Continue.
func bufferBody(r *http.Request) (buffered bool, err error) {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody || expectsContinue(r) {
		return false, nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return true, err
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return true, nil
}

func expectsContinue(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// requestBody is a body that the handler reads from the connection. The connection's reader waits until the body
// has ended, because the next request follows it.
type requestBody struct {
	conn *conn
	body io.ReadCloser
	// contentLength is the body's declared length, negative if unknown.
	contentLength int64
	// readDone is closed once the body has been read completely or reading has failed; ended is set if it was read
	// completely.
	readDone chan struct{}
	ended    atomic.Bool

	mu sync.Mutex
	// awaitsContinue is set while the caller waits for 100 Continue.
	awaitsContinue bool
	consumed       int64
	// err is the error that ended reading: io.EOF if the body is complete.
	err error
}

func newRequestBody(c *conn, r *http.Request) *requestBody {
	return &requestBody{
		conn: c, body: r.Body, contentLength: r.ContentLength, readDone: make(chan struct{}),
		awaitsContinue: expectsContinue(r),
	}
}

// Read implements io.Reader. It first sends 100 Continue if the caller waits for it.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.awaitsContinue {
		b.awaitsContinue = false
		if _, err := io.WriteString(b.conn, continueLine); err != nil {
			return 0, b.recordEnd(err)
		}
	}
	if err := b.conn.setReadDeadline(); err != nil {
		return 0, b.recordEnd(err)
	}
	n, err := b.body.Read(p)
	b.consumed += int64(n)
	if err != nil {
		return n, b.recordEnd(err)
	}
	return n, nil
}

// recordEnd stores the error that ended reading; the mutex is held.
func (b *requestBody) recordEnd(err error) error {
	b.err = err
	if err == io.EOF {
		// The connection's reader waits for readDone, so its buffer can be examined.
		b.conn.markReceiving(b.conn.reader.Buffered() > 0)
		b.ended.Store(true)
	}
	close(b.readDone)
	return err
}

// Close implements io.Closer. It does nothing: discardRest skips the unread rest.
func (b *requestBody) Close() error { return nil }

// complete reports whether the body has been read completely.
func (b *requestBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// discardRest is called when the response begins. It skips the rest of the body if that is already buffered, and
// returns false if it is not, so that the connection must close.
func (b *requestBody) discardRest() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return b.err == io.EOF
	}
	remaining := b.contentLength - b.consumed
	if b.awaitsContinue || remaining > int64(b.conn.reader.Buffered()) {
		return false
	}
	if b.contentLength < 0 {
		b.conn.expireReading()
	}
	_, err := io.Copy(io.Discard, b.body)
	if err == nil {
		err = io.EOF
	}
	return b.recordEnd(err) == io.EOF
}
