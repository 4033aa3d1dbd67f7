package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// maxBufferedBody is up to which size a body is kept so that it can be sent again
// after a refusal that says the call did not run.
const maxBufferedBody = 64 << 10

// replayBody holds a call's body. A small one is read whole first; a large one
// streams, and can be sent again only if nothing was taken from it.
type replayBody struct {
	buffered []byte
	whole    bool
	stream   io.Reader
	taken    atomic.Bool
	length   int64
}

// errBodyRead marks that the caller's own body could not be read.
var errBodyRead = errors.New("cannot read the caller's body")

func newReplayBody(r *http.Request) (*replayBody, error) {
	body := &replayBody{stream: r.Body, length: r.ContentLength}
	if r.ContentLength == 0 {
		body.whole = true
		return body, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return body, nil
	}
	buffered, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Join(errBodyRead, err)
	}
	body.buffered = buffered
	body.whole = true
	return body, nil
}

// repeatable reports whether the body can be sent once more.
func (b *replayBody) repeatable() bool { return b.whole || !b.taken.Load() }

// reader returns the body for one attempt. It is never http.NoBody and cannot be
// rewound, which keeps the transport from repeating the request on its own.
func (b *replayBody) reader() io.ReadCloser {
	if b.whole {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return io.NopCloser(&trackedReader{body: b})
}

// trackedReader notes when the transport starts to read.
type trackedReader struct {
	body *replayBody
}

// Read implements io.Reader.
func (t *trackedReader) Read(buffer []byte) (int, error) {
	t.body.taken.Store(true)
	return t.body.stream.Read(buffer)
}

// wholeBody is an answer's body of which the first part, or all, was read already.
type wholeBody struct {
	io.Reader
	closer  io.Closer
	release func()
	// whole is set if all of it was read.
	whole bool
}

func newWholeBody(data []byte, rest io.Reader, closer io.Closer, release func()) io.ReadCloser {
	if rest == nil {
		return wholeBody{bytes.NewReader(data), closer, release, true}
	}
	return wholeBody{io.MultiReader(bytes.NewReader(data), rest), closer, release, false}
}

// Close implements io.Closer.
func (b wholeBody) Close() error {
	b.release()
	return b.closer.Close()
}
