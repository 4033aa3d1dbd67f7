package roundtrip

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that fails since the response before it was invalid: net/http still offers its connection.
func TestRequestWithBodyIsSentAgainAfterRetiredConnection(t *testing.T) {
	const body = "body"
	for name, rewind := range map[string]func() io.ReadCloser{
		"rewindable": func() io.ReadCloser { return io.NopCloser(strings.NewReader(body)) },
		"streamed":   nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan string, 10)
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				data, _ := io.ReadAll(r.Body)
				received <- string(data)
			}))
			defer server.Close()
			transport := New(&http.Transport{})
			defer transport.CloseIdleConnections()
			send := func(delivery *Delivery) error {
				request, err := http.NewRequest(http.MethodPost, server.URL, io.NopCloser(strings.NewReader(body)))
				is.NoErr(err)
				request.ContentLength = int64(len(body))
				response, err := transport.Send(context.Background(), request, delivery)
				if err == nil {
					response.Body.Close()
				}
				return err
			}
			var first Delivery
			is.NoErr(send(&first))
			is.Equal(<-received, body)
			first.RetireConn() // not closed, so that net/http uses it again
			next := Delivery{Rewind: rewind}
			err := send(&next)
			is.Equal(err == nil, rewind != nil)
			is.Equal(next.MayHaveArrived(), rewind != nil)
			is.Equal(next.RejectedByRetired(), rewind == nil)
			if rewind != nil {
				is.Equal(<-received, body)
			}
			is.Equal(len(received), 0)
		})
	}
}
