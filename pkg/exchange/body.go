package exchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// MaxBuffered is the size in bytes up to which bodies are buffered whole. A buffered request can be
// retried, and a buffered response is known to be complete before its first byte is forwarded.
const MaxBuffered = 1 << 20

// LargeResponse is the size in bytes from which a response is scheduled on a link and paced. On a
// link of 10 Mbit/s such a response takes 13 ms, as long as about ten small messages.
const LargeResponse = 16 << 10

// BodyStatus returns the HTTP status of a call whose request body could not be read.
func BodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// ReadWhole reads a body up to MaxBuffered. If the body is longer, rest is non-nil and continues
// where data ends.
func ReadWhole(body io.Reader, sizeHint int64) (data []byte, rest io.Reader, err error) {
	buffer := bytes.Buffer{}
	if sizeHint > 0 && sizeHint <= MaxBuffered {
		buffer.Grow(int(sizeHint) + bytes.MinRead)
	}
	if _, err := buffer.ReadFrom(io.LimitReader(body, MaxBuffered+1)); err != nil {
		return nil, nil, err
	}
	if buffer.Len() > MaxBuffered {
		return buffer.Bytes(), body, nil
	}
	return buffer.Bytes(), nil, nil
}

// Body is a request body, buffered whole unless it exceeds MaxBuffered.
type Body struct {
	data     []byte
	rest     io.Reader
	consumed bool
}

// ReadBody reads a request's body up to MaxBuffered.
func ReadBody(r *http.Request) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	data, rest, err := ReadWhole(r.Body, r.ContentLength)
	if err != nil {
		return nil, err
	}
	return &Body{data: data, rest: rest}, nil
}

// Repeatable reports whether the body can be sent again.
func (b *Body) Repeatable() bool { return b.rest == nil || !b.consumed }

// Data returns the buffered part of the body; it must not be modified.
func (b *Body) Data() []byte { return b.data }

// Size returns the number of buffered bytes.
func (b *Body) Size() int { return len(b.data) }

// Empty reports whether the body has no bytes.
func (b *Body) Empty() bool { return len(b.data) == 0 && b.rest == nil }

// Attach sets the body of a request. declaredLength is the content length used for a body that is
// not buffered whole. The reader cannot be rewound, which prevents the HTTP transport from retrying
// the request itself.
func (b *Body) Attach(request *http.Request, declaredLength int64) {
	request.ContentLength = declaredLength
	if b.rest == nil {
		request.ContentLength = int64(len(b.data))
		request.Body = b.newReader()
		return
	}
	b.consumed = true
	request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.data), b.rest))
}

// Rewind returns the Rewind of a roundtrip.Delivery: a function that returns the body from its start, nil for a body that is
// not buffered whole.
func (b *Body) Rewind() func() io.ReadCloser {
	if b.rest != nil {
		return nil
	}
	return b.newReader
}

func (b *Body) newReader() io.ReadCloser { return io.NopCloser(readerOnly{bytes.NewReader(b.data)}) }

// readerOnly hides every other method of a reader, such as WriteTo.
type readerOnly struct{ io.Reader }

// CopyBody copies a response body to a caller. A response without a length is flushed after each
// write.
func CopyBody(w http.ResponseWriter, response *http.Response) error {
	if response.ContentLength >= 0 {
		_, err := io.Copy(w, readerOnly{response.Body})
		return err
	}
	_, err := io.Copy(flushWriter{w}, readerOnly{response.Body})
	return err
}

// flushWriter flushes after each write.
type flushWriter struct{ http.ResponseWriter }

// Write implements io.Writer.
func (f flushWriter) Write(data []byte) (int, error) {
	written, err := f.ResponseWriter.Write(data)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return written, err
}
