package exchange

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// ResponseBuffer bounds the bytes of large responses that a process buffers, however slowly their
// callers read. It is safe for concurrent use; a nil ResponseBuffer has no bound.
type ResponseBuffer struct {
	limit int64
	held  atomic.Int64
}

// NewResponseBuffer returns a buffer of limit bytes. The limit can be exceeded by one response for
// each call that is being read when it is reached.
func NewResponseBuffer(limit int64) *ResponseBuffer { return &ResponseBuffer{limit: limit} }

// Held returns the number of bytes buffered.
func (b *ResponseBuffer) Held() int64 { return b.held.Load() }

// ReadWhole reads a response body like the function ReadWhole. While the limit is reached, a large
// response is not buffered: rest is its body and data is empty. The caller must call release once
// the data has been forwarded.
func (b *ResponseBuffer) ReadWhole(response *http.Response) (data []byte, rest io.Reader, release func(), err error) {
	if b == nil {
		data, rest, err = ReadWhole(response.Body, response.ContentLength)
		return data, rest, func() {}, err
	}
	small := response.ContentLength >= 0 && response.ContentLength < LargeResponse
	if !small && b.held.Load() >= b.limit {
		return nil, response.Body, func() {}, nil
	}
	data, rest, err = ReadWhole(response.Body, response.ContentLength)
	size := int64(len(data))
	if err != nil || size < LargeResponse {
		return data, rest, func() {}, err
	}
	b.held.Add(size)
	return data, rest, sync.OnceFunc(func() { b.held.Add(-size) }), nil
}
