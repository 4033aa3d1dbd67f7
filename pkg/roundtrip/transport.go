package roundtrip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
)

// MaxHeadBytes bounds the head of a response, together with the informational (1xx) responses before it.
const MaxHeadBytes = 64 << 10

// MaxFailureBytes bounds the body of a failure (4xx, 5xx). A longer one would take the link from other exchanges for no
// use to its caller.
const MaxFailureBytes = 1 << 20

// Transport sends requests and rejects what is not a response. It is safe for concurrent use and implements
// http.RoundTripper.
type Transport struct{ base *http.Transport }

// New returns a Transport on top of base, which it changes. It speaks HTTP/1 only, also over TLS. The head of a response is
// bounded by base.MaxResponseHeaderBytes, or by MaxHeadBytes if that is not set.
func New(base *http.Transport) *Transport {
	if base.DialContext == nil {
		base.DialContext = (&net.Dialer{}).DialContext
	}
	base.DialContext = countWrites(base.DialContext)
	base.ForceAttemptHTTP2 = false
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return t.Send(request.Context(), request, &Delivery{})
}

// Send sends a request with a context, records in delivery whether it may have arrived, and returns the response once its
// head is valid. What the peer sends in place of a response, or of its body, is an *InvalidResponse; another error means that
// no byte of a response was received, or that the body was not read because the caller closed it.
func (t *Transport) Send(ctx context.Context, request *http.Request, delivery *Delivery) (*http.Response, error) {
	request = request.WithContext(httptrace.WithClientTrace(ctx, delivery.trace()))
	defer delivery.endHead()
	response, err := t.roundTrip(request, delivery)
	if err != nil {
		return nil, headError(delivery, err)
	}
	if err = CheckHead(response); err == nil {
		err = delivery.head.restore(response)
	}
	if err != nil {
		response.Body.Close()
		delivery.discardConn()
		return nil, err
	}
	if response.Body != http.NoBody {
		response.Body = &body{ReadCloser: response.Body, response: response, delivery: delivery, left: maxBodyBytes(response.StatusCode)}
	}
	return response, nil
}

// maxReassignments bounds how often a request is assigned to another connection.
const maxReassignments = 3

// roundTrip sends a request. net/http goes on assigning requests to a connection that is retired, until it notices that it
// is closed. Such a request is assigned to another connection: by net/http if it has no body, here if its body can be
// rewound.
func (t *Transport) roundTrip(request *http.Request, delivery *Delivery) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	for range maxReassignments {
		if err == nil || request.Body == nil || delivery.Rewind == nil || !delivery.forgetRetired() {
			break
		}
		request = request.WithContext(request.Context())
		request.Body = delivery.Rewind()
		response, err = t.base.RoundTrip(request)
	}
	return response, err
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// headError classifies an error before the head of a response was complete.
func headError(delivery *Delivery, err error) error {
	switch {
	case !delivery.responseBegan():
		return delivery.nameConn(err)
	case isContextError(err):
		return &InvalidResponse{Fault: FaultIncomplete, Err: fmt.Errorf("head: %w", err)}
	}
	return &InvalidResponse{Fault: FaultHead, Err: err}
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// maxBodyBytes returns the bound of a body for a status.
func maxBodyBytes(status int) int64 {
	if status >= http.StatusBadRequest {
		return MaxFailureBytes
	}
	return math.MaxInt64
}

// body is the body of a response. Its read errors are an *InvalidResponse, and so are trailer fields that are malformed.
type body struct {
	io.ReadCloser
	response *http.Response
	delivery *Delivery
	// left is how many more bytes the body may have, negative if it had more.
	left int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, b.tooLong()
	}
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n + int(b.left), b.tooLong()
	}
	switch {
	case err == io.EOF:
		if invalid := b.checkTrailer(); invalid != nil {
			return n, invalid
		}
		return n, io.EOF
	case err == nil || errors.Is(err, http.ErrBodyReadAfterClose):
		return n, err
	case isContextError(err):
		return n, b.invalid(FaultIncomplete, fmt.Errorf("body: %w", err))
	}
	return n, b.invalid(FaultBody, err)
}

// checkTrailer returns an *InvalidResponse if a trailer field that was received is malformed. The connection, which net/http
// would use again, is closed then.
func (b *body) checkTrailer() error {
	for name, values := range b.response.Trailer {
		if values == nil {
			continue // only announced
		}
		if err := checkField(name, values); err != nil {
			b.delivery.discardConn()
			return b.invalid(FaultBody, fmt.Errorf("trailer: %w", err))
		}
	}
	return nil
}

func (b *body) tooLong() error { return b.invalid(FaultBody, errLongFailure) }

func (b *body) invalid(fault Fault, err error) error {
	return &InvalidResponse{Fault: fault, Status: b.response.StatusCode, Err: err}
}

// ReadAll reads the whole body of a response. More than limit bytes are an *InvalidResponse.
func ReadAll(response *http.Response, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = &InvalidResponse{Fault: FaultBody, Status: response.StatusCode, Err: fmt.Errorf("more than %d bytes", limit)}
	}
	return data, err
}

// CheckID returns an *InvalidResponse, and discards the connection, if a response names another request than the one with
// this ID, or several. A back end that sends two responses to one request would otherwise shift the following ones.
func CheckID(response *http.Response, header, id string, delivery *Delivery) error {
	if header == "" || (response.Header.Get(header) == id && len(response.Header.Values(header)) <= 1) {
		return nil
	}
	return Reject(response, FaultOtherRequest, ErrOtherRequest, delivery)
}

// Reject closes a response and its connection, and returns an *InvalidResponse.
func Reject(response *http.Response, fault Fault, err error, delivery *Delivery) error {
	response.Body.Close()
	delivery.discardConn()
	return &InvalidResponse{Fault: fault, Status: response.StatusCode, Err: err}
}
