package exchange

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// AnswerBuffer bounds what a process holds of large answers, however slowly their callers read. It is safe
// for concurrent use; nil has no bound.
type AnswerBuffer struct {
	limit int64
	held  atomic.Int64
}

// NewAnswerBuffer returns a buffer of so many bytes. One answer more may be held by each call that is being
// read when the bound is reached.
func NewAnswerBuffer(limit int64) *AnswerBuffer { return &AnswerBuffer{limit: limit} }

// Held returns the bytes that are held.
func (b *AnswerBuffer) Held() int64 { return b.held.Load() }

// ReadWhole is ReadWhole for an answer. A large one is passed on piece by piece while too much is held:
// then rest is its body and data is empty. release must be called once what was read has been passed on.
func (b *AnswerBuffer) ReadWhole(response *http.Response) (data []byte, rest io.Reader, release func(), err error) {
	if b == nil {
		data, rest, err = ReadWhole(response.Body, response.ContentLength)
		return data, rest, func() {}, err
	}
	small := response.ContentLength >= 0 && response.ContentLength < LargeAnswer
	if !small && b.held.Load() >= b.limit {
		return nil, response.Body, func() {}, nil
	}
	data, rest, err = ReadWhole(response.Body, response.ContentLength)
	size := int64(len(data))
	if err != nil || size < LargeAnswer {
		return data, rest, func() {}, err
	}
	b.held.Add(size)
	return data, rest, sync.OnceFunc(func() { b.held.Add(-size) }), nil
}
