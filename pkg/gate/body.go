package gate

import (
	"bytes"
	"io"
	"net/http"
)

// bufferedBody is a response body that was read completely.
type bufferedBody struct {
	*bytes.Reader
	release func()
}

// Close implements io.Closer.
func (b bufferedBody) Close() error {
	b.release()
	return nil
}

// notifyingBody calls onClose when a streamed response body is closed, and onError, if set, when reading it failed.
type notifyingBody struct {
	io.ReadCloser
	onClose func()
	onError func(error)
}

// Read implements io.Reader.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && b.onError != nil {
		b.onError(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *notifyingBody) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}

// bufferResponse reads a response completely if it fits into the buffer, so that a truncated
// response is detected before any of it is forwarded. Larger ones are streamed.
func (g *Gate) bufferResponse(response *http.Response) error {
	data, rest, release, err := g.config.ResponseBuffer.ReadWhole(response)
	if err != nil {
		response.Body.Close()
		return err
	}
	if rest != nil {
		response.Body = &notifyingBody{ReadCloser: struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(data), rest), response.Body}, onClose: release}
		return nil
	}
	response.Body.Close()
	response.Body = bufferedBody{bytes.NewReader(data), release}
	if response.Request == nil || response.Request.Method != http.MethodHead {
		response.ContentLength = int64(len(data))
	}
	return nil
}
