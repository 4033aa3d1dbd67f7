package exchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// MaxBuffered is up to which size bodies are held whole. A whole request can be sent
// again, and a whole answer is known to be one before the first byte of it is passed on.
const MaxBuffered = 1 << 20

// LargeAnswer is from which length on an answer is booked on a link and spread over time: on a link of
// 10 Mbit/s it takes 13 ms, as long as some ten small messages.
const LargeAnswer = 16 << 10

// BodyStatus is the HTTP status of a call whose body could not be read.
func BodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// ReadWhole reads a body up to MaxBuffered. If there is more, rest continues where data
// ends.
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

// Body is a body that may be held whole.
type Body struct {
	data []byte
	rest io.Reader
	read bool
}

// ReadBody takes in a request's body.
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

// Repeatable reports whether the body can be sent once more.
func (b *Body) Repeatable() bool { return b.rest == nil || !b.read }

// Data returns what is held of the body; it must not be changed.
func (b *Body) Data() []byte { return b.data }

// Size returns how much of the body is held.
func (b *Body) Size() int { return len(b.data) }

// Empty reports whether there is no body.
func (b *Body) Empty() bool { return len(b.data) == 0 && b.rest == nil }

// Attach gives a request the body. The reader cannot be rewound, which keeps the HTTP
// transport from repeating the request on its own.
func (b *Body) Attach(request *http.Request, declared int64) {
	request.ContentLength = declared
	if b.rest == nil {
		request.ContentLength = int64(len(b.data))
		request.Body = io.NopCloser(onlyReader{bytes.NewReader(b.data)})
		return
	}
	b.read = true
	request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b.data), b.rest))
}

type onlyReader struct{ io.Reader }

// CopyBody copies an answer's body to a caller. An answer without a length is passed on
// piece by piece.
func CopyBody(w http.ResponseWriter, response *http.Response) error {
	if response.ContentLength >= 0 {
		_, err := io.Copy(w, onlyReader{response.Body})
		return err
	}
	_, err := io.Copy(flushWriter{w}, onlyReader{response.Body})
	return err
}

// flushWriter passes each piece of a streamed answer on at once.
type flushWriter struct{ http.ResponseWriter }

// Write implements io.Writer.
func (f flushWriter) Write(data []byte) (int, error) {
	written, err := f.ResponseWriter.Write(data)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return written, err
}
