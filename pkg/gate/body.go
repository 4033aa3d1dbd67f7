package gate

import (
	"bytes"
	"io"
	"net/http"
)

// heldBody is a body that was read whole.
type heldBody struct {
	*bytes.Reader
	release func()
}

// Close implements io.Closer.
func (b heldBody) Close() error {
	b.release()
	return nil
}

// closingBody tells when an answer that is passed on piece by piece is done.
type closingBody struct {
	io.ReadCloser
	finish func()
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish()
	return err
}

// holdWhole reads an answer whole if it is not too long, so that one which is cut off is
// found out before any of it is passed on.
func (g *Gate) holdWhole(response *http.Response) error {
	data, rest, release, err := g.config.AnswerBuffer.ReadWhole(response)
	if err != nil {
		response.Body.Close()
		return err
	}
	if rest != nil {
		response.Body = &closingBody{ReadCloser: struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(data), rest), response.Body}, finish: release}
		return nil
	}
	response.Body.Close()
	response.Body = heldBody{bytes.NewReader(data), release}
	if response.Request == nil || response.Request.Method != http.MethodHead {
		response.ContentLength = int64(len(data))
	}
	return nil
}
