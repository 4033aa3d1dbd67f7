package exchange

import (
	"net/http"
	"net/url"
)

// NewOutgoing returns the request by which a call goes on to an address, without a body:
// method, host, path and query as they came, and all headers but those that concern one
// connection or only nodes and gates.
func NewOutgoing(incoming *http.Request, address string) *http.Request {
	request := &http.Request{
		Method: incoming.Method, Host: incoming.Host, Header: make(http.Header, len(incoming.Header)+outgoingHeaders),
		URL: &url.URL{
			Scheme: "http", Host: address, Path: incoming.URL.Path,
			RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery, ForceQuery: incoming.URL.ForceQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	Copy(request.Header, incoming.Header)
	RemoveHop(request.Header)
	RemoveInternal(request.Header)
	request.Header.Del("Expect")
	if _, set := request.Header["User-Agent"]; !set {
		// An explicit nil keeps the transport from adding its own.
		request.Header["User-Agent"] = nil
	}
	return request
}

// outgoingHeaders is about how many headers a hop adds.
const outgoingHeaders = 6
