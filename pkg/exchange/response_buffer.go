package exchange

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// ResponseBuffer bounds the bytes of large responses that a process buffers, however slowly their
// callers read, and however many are being received. It is safe for concurrent use; a nil
// ResponseBuffer has no bound.
type ResponseBuffer struct {
	limit int64
	held  atomic.Int64
}

// NewResponseBuffer returns a buffer of limit bytes. The response that reaches the limit may exceed it, by MaxBuffered at
// most.
func NewResponseBuffer(limit int64) *ResponseBuffer { return &ResponseBuffer{limit: limit} }

// Held returns the number of bytes buffered or reserved for responses that are being received.
func (b *ResponseBuffer) Held() int64 { return b.held.Load() }

// ReadWhole reads a response body like the function ReadWhole. Once the limit is reached, no more of a large
// response is buffered: rest continues where data ends. The caller must call release once
// the data has been forwarded.
func (b *ResponseBuffer) ReadWhole(response *http.Response) (data []byte, rest io.Reader, release func(), err error) {
	size := response.ContentLength
	if b == nil || (size >= 0 && size < LargeResponse) {
		data, rest, err = ReadWhole(response.Body, size)
		return data, rest, func() {}, err
	}
	r := reservation{buffer: b}
	if size >= LargeResponse && !r.grow(min(size, MaxBuffered)) {
		return nil, response.Body, func() {}, nil
	}
	if size >= LargeResponse {
		data, rest, err = ReadWhole(response.Body, size)
	} else {
		data, rest, err = r.readInSteps(response.Body)
	}
	if err != nil || len(data) < LargeResponse {
		r.shrinkTo(0)
		return data, rest, func() {}, err
	}
	r.shrinkTo(int64(len(data)))
	return data, rest, sync.OnceFunc(func() { r.shrinkTo(0) }), nil
}

// reservation is the part of a ResponseBuffer that one response uses.
type reservation struct {
	buffer *ResponseBuffer
	size   int64
}

// grow reserves more bytes, and returns false if the limit is reached.
func (r *reservation) grow(bytes int64) bool {
	for {
		held := r.buffer.held.Load()
		if held >= r.buffer.limit {
			return false
		}
		if r.buffer.held.CompareAndSwap(held, held+bytes) {
			r.size += bytes
			return true
		}
	}
}

// shrinkTo returns all but size bytes.
func (r *reservation) shrinkTo(size int64) {
	r.buffer.held.Add(size - r.size)
	r.size = size
}

// readInSteps reads a body of unknown length like ReadWhole, and reserves each step before it is read. The first
// LargeResponse bytes need no reservation.
func (r *reservation) readInSteps(body io.Reader) (data []byte, rest io.Reader, err error) {
	var buffer bytes.Buffer
	for step := int64(LargeResponse); ; step = min(int64(buffer.Len()), MaxBuffered+1-int64(buffer.Len())) {
		if buffer.Len() > 0 && !r.grow(step) {
			return buffer.Bytes(), body, nil
		}
		_, err := io.CopyN(&buffer, body, step)
		switch {
		case err == io.EOF:
			return buffer.Bytes(), nil, nil
		case err != nil:
			return nil, nil, err
		case buffer.Len() > MaxBuffered:
			return buffer.Bytes(), body, nil
		}
	}
}
