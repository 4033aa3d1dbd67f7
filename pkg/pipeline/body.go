package pipeline

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
)

const (
	continueLine = "HTTP/1.1 100 Continue\r\n\r\n"
	// maxHeldBody is up to which declared length a body is read before its request is handled:
	// the reader need not stand still for it, and goes on to notice a caller that leaves.
	maxHeldBody = 16 << 10
)

// holdBody reads a short body, and returns false if it is none.
func holdBody(r *http.Request) (held bool, err error) {
	if r.ContentLength < 0 || r.ContentLength > maxHeldBody || expectsContinue(r) {
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

// requestBody is a long request's body on a connection that is read further behind it. The reader of
// the connection stands still until the body was read.
type requestBody struct {
	conn *conn
	body io.ReadCloser
	// declared is the length, negative if it is not known.
	declared int64
	// read is closed once the body was read whole or cannot be.
	read chan struct{}

	mu sync.Mutex
	// expects is set while the caller waits to be asked for the body.
	expects bool
	taken   int64
	// err is what ended the reading: io.EOF if the body is whole.
	err error
}

func newRequestBody(c *conn, r *http.Request) *requestBody {
	return &requestBody{
		conn: c, body: r.Body, declared: r.ContentLength, read: make(chan struct{}),
		expects: expectsContinue(r),
	}
}

// Read implements io.Reader. It asks the caller for the body first where the caller expects so.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.expects {
		b.expects = false
		if _, err := io.WriteString(b.conn, continueLine); err != nil {
			return 0, b.end(err)
		}
	}
	if err := b.conn.setReadDeadline(); err != nil {
		return 0, b.end(err)
	}
	n, err := b.body.Read(p)
	b.taken += int64(n)
	if err != nil {
		return n, b.end(err)
	}
	return n, nil
}

// end notes how the reading ended; the mutex is held.
func (b *requestBody) end(err error) error {
	b.err = err
	close(b.read)
	return err
}

// Close implements io.Closer. What is left is up to settle.
func (b *requestBody) Close() error { return nil }

// complete reports whether the body was read whole.
func (b *requestBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// settle is called when the answer begins: it skips a rest that is here already. It returns
// false if the next request cannot be found behind the body, so that the connection must close.
func (b *requestBody) settle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return b.err == io.EOF
	}
	left := b.declared - b.taken
	if b.expects || b.declared < 0 || left > int64(b.conn.reader.Buffered()) {
		return false
	}
	_, err := io.Copy(io.Discard, b.body)
	if err == nil {
		err = io.EOF
	}
	return b.end(err) == io.EOF
}
