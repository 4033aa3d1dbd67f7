package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bramblelift/pkg/catalog"
)

// Bounds of the client.
const (
	maxAnswerBytes = 64 << 20
	// firstAttemptTimeout bounds each replica's answer in the first round: a frozen one
	// must not keep an operator from the others. A resend under the same operation ID
	// is harmless.
	firstAttemptTimeout = 1500 * time.Millisecond
	attemptTimeout      = 5 * time.Second
	retryPause          = 200 * time.Millisecond
)

// Client calls the control replicas, one after another, until the leader answers.
type Client struct {
	addresses []string
	http      *http.Client
	next      int
}

// NewClient returns a client for the operators' addresses of the control replicas.
func NewClient(addresses []string) *Client {
	return &Client{addresses: addresses, http: &http.Client{Timeout: attemptTimeout}}
}

// NewOperationID draws an ID under which a request may be resent.
func NewOperationID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Do sends a request until a leader has answered or the context ends. The request is
// the same each time, so it must carry an operation ID if it changes anything. It
// pauses only after every replica was asked in vain. A refusal is a
// *catalog.OperationError.
func (c *Client) Do(ctx context.Context, method, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	for attempts := 1; ; attempts++ {
		address := c.addresses[c.next%len(c.addresses)]
		err := c.attemptWithin(ctx, timeoutOf(attempts, len(c.addresses)), method, "http://"+address+path, body, answer)
		if err == nil || !worthRetrying(err) {
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

// Each asks every replica once and hands the answers over; it returns how many
// answered.
func (c *Client) Each(ctx context.Context, path string, take func(answer []byte) error) (int, error) {
	answered := 0
	var last error
	for _, address := range c.addresses {
		var raw json.RawMessage
		if err := c.attempt(ctx, http.MethodGet, "http://"+address+path, nil, &raw); err != nil {
			last = err
			continue
		}
		if err := take(raw); err != nil {
			return answered, err
		}
		answered++
	}
	if answered == 0 {
		return 0, last
	}
	return answered, nil
}

// transportError is a failure in which it is open whether the call arrived.
type transportError struct{ error }

// Unwrap returns the cause.
func (e transportError) Unwrap() error { return e.error }

func worthRetrying(err error) bool {
	var transport transportError
	if errors.As(err, &transport) {
		return true
	}
	var refused *catalog.OperationError
	if errors.As(err, &refused) {
		return refused.Code == catalog.CodeUnavailable || refused.Code == catalog.CodeUnknownOutcome
	}
	return false
}

// timeoutOf returns how long an attempt may take; attempts count from one.
func timeoutOf(attempt, replicas int) time.Duration {
	if attempt <= replicas {
		return firstAttemptTimeout
	}
	return attemptTimeout
}

func (c *Client) attemptWithin(ctx context.Context, timeout time.Duration, method, url string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.attempt(ctx, method, url, body, answer)
}

func (c *Client) attempt(ctx context.Context, method, url string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request for %s: %w", url, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return transportError{fmt.Errorf("call %s: %w", url, err)}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return transportError{fmt.Errorf("read answer of %s: %w", url, err)}
	}
	if response.StatusCode != http.StatusOK {
		return refusalOf(url, response.Status, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return nil
}

func refusalOf(url, status string, data []byte) error {
	var refused catalog.OperationError
	if json.Unmarshal(data, &refused) == nil && refused.Code != "" {
		return &refused
	}
	return fmt.Errorf("call %s: status %s", url, status)
}
