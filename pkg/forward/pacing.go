package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"bramblelift/pkg/exchange"
)

// paceResponse spreads a large response over time, since it shares the link with calls, rejections
// and control traffic. One without a length, or too large for the time left, ends with the context.
func (g *gatedCall) paceResponse(ctx context.Context, response *http.Response, reserved bool) {
	size := response.ContentLength
	pacer := g.handler.config.ResponsePacer
	body, _ := response.Body.(bufferedBody)
	switch {
	case !body.complete && (size < 0 || pacer.TransferTime(size) > g.deadline-g.now()):
		response.Body = pacer.Stream(&boundedBody{ReadCloser: response.Body, ctx: ctx})
		reserved = reserved && size >= 0
	case size < exchange.LargeResponse:
		return
	default:
		response.Body = pacer.WrapResponse(response.Body, int(size), g.responseTransferTime())
	}
	response.Body = g.handler.config.Link.WrapResponse(response.Body, reserved)
}

// boundedBody is a body that ends with a context, also while its buffered part is read.
type boundedBody struct {
	io.ReadCloser
	ctx context.Context
}

// Read implements io.Reader. Once the context has ended, it skips to the error that ended the exchange.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.ctx.Err() == nil {
		return b.ReadCloser.Read(p)
	}
	if _, err := io.Copy(io.Discard, b.ReadCloser); err != nil {
		return 0, err
	}
	return 0, b.ctx.Err()
}

// responseTransferTime returns how long the transfer of a large response to the caller may take.
func (g *gatedCall) responseTransferTime() time.Duration {
	now := g.now()
	return max(g.targetLeft(now), (g.deadline-now)/bodyTimeDivisor)
}
