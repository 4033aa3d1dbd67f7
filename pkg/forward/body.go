package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBufferedBody is the size in bytes up to which a body is buffered, so that the call can be
// retried.
const maxBufferedBody = 64 << 10

// replayBody holds a call's body. A small one is read in full first; a large one is streamed and
// can be sent again only if nothing was read from it.
type replayBody struct {
	data        []byte
	complete    bool
	stream      io.Reader
	readStarted atomic.Bool
	length      int64
}

// errBodyRead reports that the caller's request body could not be read.
var errBodyRead = errors.New("cannot read the caller's body")

func newReplayBody(r *http.Request) (*replayBody, error) {
	body := &replayBody{stream: r.Body, length: r.ContentLength}
	if r.ContentLength == 0 {
		body.complete = true
		return body, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return body, nil
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Join(errBodyRead, err)
	}
	body.data = data
	body.complete = true
	return body, nil
}

// replayable reports whether the body can be sent again.
func (b *replayBody) replayable() bool { return b.complete || !b.readStarted.Load() }

// rewind returns the Rewind of a roundtrip.Delivery: a function that returns the body from its start, nil for one that is
// streamed.
func (b *replayBody) rewind() func() io.ReadCloser {
	if !b.complete {
		return nil
	}
	return b.reader
}

// reader returns the body for one attempt. It is never http.NoBody and cannot be rewound, which
// keeps the transport from retrying the request.
func (b *replayBody) reader() io.ReadCloser {
	if b.complete {
		return io.NopCloser(bytes.NewReader(b.data))
	}
	return io.NopCloser(&trackedReader{body: b})
}

// trackedReader records whether the transport started to read.
type trackedReader struct {
	body *replayBody
}

// Read implements io.Reader.
func (t *trackedReader) Read(buffer []byte) (int, error) {
	t.body.readStarted.Store(true)
	return t.body.stream.Read(buffer)
}

// bufferedBody is a response body whose first part, or all of it, has been read.
type bufferedBody struct {
	io.Reader
	closer  io.Closer
	release func()
	// complete is set if the whole body has been read.
	complete bool
}

func newBufferedBody(data []byte, rest io.Reader, closer io.Closer, release func()) io.ReadCloser {
	if rest == nil {
		return bufferedBody{bytes.NewReader(data), closer, release, true}
	}
	return bufferedBody{io.MultiReader(bytes.NewReader(data), rest), closer, release, false}
}

// Close implements io.Closer and releases the buffer.
func (b bufferedBody) Close() error {
	b.release()
	return b.closer.Close()
}
