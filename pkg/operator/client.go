package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/roundtrip"
)

// Limits and timeouts of a Client.
const (
	maxResponseBytes = 64 << 20
	// firstAttemptTimeout bounds the first request to each replica, so that an unresponsive one doesn't
	// delay the others. A resend under the same operation ID is harmless.
	firstAttemptTimeout = 1500 * time.Millisecond
	attemptTimeout      = 5 * time.Second
	retryPause          = 200 * time.Millisecond
)

// Client sends requests to the control replicas in turn until the leader responds. It isn't safe for
// concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
	next      int
}

// NewClient returns a client for the operator addresses of the control replicas.
func NewClient(addresses []string) *Client {
	transport := roundtrip.New(http.DefaultTransport.(*http.Transport).Clone())
	return &Client{addresses: addresses, http: &http.Client{Timeout: attemptTimeout, Transport: transport, CheckRedirect: checkRedirect}}
}

// maxRedirects is how many redirects are followed, as net/http does by default.
const maxRedirects = 10

// Causes of redirects that are not followed.
var (
	errMethodChanged    = errors.New("the redirect changes the request's method")
	errTooManyRedirects = fmt.Errorf("more than %d redirects", maxRedirects)
)

// checkRedirect rejects redirects after which net/http would send a GET in place of another request: its response is not
// one to that request.
func checkRedirect(next *http.Request, sent []*http.Request) error {
	if next.Method != sent[0].Method {
		return errMethodChanged
	}
	if len(sent) >= maxRedirects {
		return errTooManyRedirects
	}
	return nil
}

// NewOperationID returns a random ID under which a request may be resent.
func NewOperationID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Do sends a request until a leader responds or the context ends, and decodes the response into result. A
// request that changes anything must carry an operation ID, since it is resent unchanged. Do pauses only
// after a round over all replicas. A rejection is a *catalog.OperationError.
func (c *Client) Do(ctx context.Context, method, path string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request body: %w", err)
	}
	for attempts := 1; ; attempts++ {
		address := c.addresses[c.next%len(c.addresses)]
		err := c.attemptWithTimeout(ctx, timeoutForAttempt(attempts, len(c.addresses)), method, "http://"+address+path, body, result)
		if err == nil || !isRetryable(err) {
			return err
		}
		c.next++
		if attempts%len(c.addresses) != 0 && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no leader answered in time; last error: %w", err)
		case <-time.After(retryPause):
		}
	}
}

// QueryAll sends a GET request to every replica once and passes each response to handle. It returns the number
// of responses, and the last error if there were none. An error of handle ends the query and is returned.
func (c *Client) QueryAll(ctx context.Context, path string, handle func(response []byte) error) (int, error) {
	responses := 0
	var lastErr error
	for _, address := range c.addresses {
		var raw json.RawMessage
		if err := c.attempt(ctx, http.MethodGet, "http://"+address+path, nil, &raw); err != nil {
			lastErr = err
			continue
		}
		if err := handle(raw); err != nil {
			return responses, err
		}
		responses++
	}
	if responses == 0 {
		return 0, lastErr
	}
	return responses, nil
}

// transportError is a failure, or a response that cannot be read, after which it is unknown whether the request was
// received.
type transportError struct{ error }

// Unwrap returns the underlying error.
func (e transportError) Unwrap() error { return e.error }

// isRetryable reports whether another replica or a resend may succeed.
func isRetryable(err error) bool {
	var transport transportError
	if errors.As(err, &transport) {
		return true
	}
	var rejection *catalog.OperationError
	if errors.As(err, &rejection) {
		return rejection.Code == catalog.CodeUnavailable || rejection.Code == catalog.CodeUnknownOutcome
	}
	return false
}

// timeoutForAttempt returns the timeout of an attempt, which counts from one.
func timeoutForAttempt(attempt, replicas int) time.Duration {
	if attempt <= replicas {
		return firstAttemptTimeout
	}
	return attemptTimeout
}

func (c *Client) attemptWithTimeout(ctx context.Context, timeout time.Duration, method, url string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.attempt(ctx, method, url, body, result)
}

func (c *Client) attempt(ctx context.Context, method, url string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request for %s: %w", url, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return transportError{fmt.Errorf("call %s: %w", url, err)}
	}
	defer response.Body.Close()
	data, err := roundtrip.ReadAll(response, maxResponseBytes)
	if err != nil {
		return transportError{fmt.Errorf("read response of %s: %w", url, err)}
	}
	if response.StatusCode != http.StatusOK {
		return decodeRejection(url, response.Status, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return transportError{fmt.Errorf("decode response of %s: %w", url, err)}
	}
	return nil
}

// decodeRejection returns the operation error in a response, or an error with the status.
func decodeRejection(url, status string, data []byte) error {
	var rejection catalog.OperationError
	if json.Unmarshal(data, &rejection) == nil && rejection.Code != "" {
		return &rejection
	}
	return fmt.Errorf("call %s: status %s", url, status)
}
