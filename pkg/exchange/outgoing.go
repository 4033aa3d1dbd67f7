package exchange

import (
	"net/http"
	"net/url"
)

// NewOutgoing returns the request that forwards a call to an address, without a body. Method, host,
// path, query and headers are kept, except hop-by-hop and internal headers and Expect.
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
		// A nil value prevents the transport from adding its default.
		request.Header["User-Agent"] = nil
	}
	return request
}

// outgoingHeaders is the number of headers that a hop typically adds.
const outgoingHeaders = 6
