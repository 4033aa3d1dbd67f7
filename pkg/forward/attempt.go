package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/roundtrip"
)

// attemptFailure describes why one attempt at a back end failed.
type attemptFailure struct {
	outcome Outcome
	peer    string
	step    string
	err     error
	status  int
	// retryAfter is what the back end asked for, zero for none.
	retryAfter time.Duration
}

// declined reports whether the back end stated that it has not begun the call.
func (f *attemptFailure) declined() bool { return errors.Is(f.err, errDeclined) }

// refusal converts the failure to a response with the outcome of the whole call.
func (f *attemptFailure) refusal(outcome Outcome) *Refusal {
	retryAfter := f.retryAfter
	if retryAfter == 0 {
		retryAfter = unavailableRetry
	}
	return &Refusal{Outcome: outcome, Step: f.step, Peer: f.peer, Reason: f.err.Error(), Status: f.status, RetryAfter: retryAfter}
}

// maxDeclineBytes bounds the body of a rejection by a gate or a back end.
const maxDeclineBytes = 64 << 10

var errDeclined = errors.New("the back end declined the call")

// attempt sends the call to one back end. It returns nil once a response has begun to reach the
// caller; a later error can only abort the caller's connection.
func (c *call) attempt(ctx context.Context, ticket *balancer.Ticket) *attemptFailure {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request := c.outgoingRequest(httptrace.WithClientTrace(ctx, trace), ticket)
	delivery := roundtrip.Delivery{Rewind: c.body.rewind()}
	response, err := c.service.transport.Send(request.Context(), request, &delivery)
	if err == nil {
		err = c.checkID(response, &delivery)
	}
	if err != nil {
		return c.transportFailure(ctx, ticket, connected.Load(), err)
	}
	load, draining := readReport(response.Header, c.handler.config.Headers.Leaving)
	ticket.Report(load, draining)
	if isDecline(response) {
		// A rejection counts only if it is complete.
		if _, err := roundtrip.ReadAll(response, maxDeclineBytes); err != nil {
			response.Body.Close()
			return c.transportFailure(ctx, ticket, true, err)
		}
		ticket.Done(c.handler.config.Now(), balancer.Refused)
		response.Body.Close()
		return &attemptFailure{
			outcome: NotRun, peer: ticket.Address, step: "back end's answer", err: errDeclined,
			status: http.StatusServiceUnavailable, retryAfter: readRetryAfter(response.Header),
		}
	}
	c.reportSurvival(response.StatusCode)
	c.writeResponse(ctx, ticket, response)
	return nil
}

// outgoingRequest builds the request for a back end.
func (c *call) outgoingRequest(ctx context.Context, ticket *balancer.Ticket) *http.Request {
	incoming := c.request
	request := &http.Request{
		Method: incoming.Method, Host: incoming.Host,
		URL: &url.URL{
			Scheme: "http", Host: ticket.Address, Path: incoming.URL.Path,
			RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery,
		},
		Header: make(http.Header, len(incoming.Header)+2),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	exchange.Copy(request.Header, incoming.Header)
	exchange.RemoveHop(request.Header)
	if _, set := request.Header["User-Agent"]; !set {
		// An explicit nil keeps net/http from adding its own User-Agent.
		request.Header["User-Agent"] = nil
	}
	remaining := max(1, (c.deadline - c.handler.config.Now()).Milliseconds())
	request.Header.Set(c.handler.config.Headers.Deadline, strconv.FormatInt(remaining, 10))
	if c.attempts > 1 {
		request.Header.Set(HeaderRetry, "1")
	}
	c.setTenantHeader(request.Header)
	if c.route.Credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.route.Credential)
	}
	if c.body.length != 0 || !c.repeatable {
		request.Body = c.body.reader()
		request.ContentLength = c.body.length
	}
	return request.WithContext(ctx)
}

// transportFailure classifies a transport error. The outcome is NotRun only if no connection was
// established.
func (c *call) transportFailure(ctx context.Context, ticket *balancer.Ticket, connected bool, err error) *attemptFailure {
	failure := &attemptFailure{outcome: Unknown, peer: ticket.Address, step: "exchange with back end", err: err, status: http.StatusBadGateway}
	if !connected {
		failure.outcome = NotRun
		failure.step = "connect to back end"
		failure.status = http.StatusServiceUnavailable
	}
	if connected && ctx.Err() == nil {
		c.reportCrash(ctx, ticket, err)
	}
	c.reportInvalid(ticket, err)
	outcome := balancer.Failed
	if ctx.Err() != nil {
		failure.status = http.StatusGatewayTimeout
		failure.err = fmt.Errorf("deadline: %w", err)
		if errors.Is(ctx.Err(), context.Canceled) {
			outcome = balancer.Canceled
		}
	}
	ticket.Done(c.handler.config.Now(), outcome)
	return failure
}

// writeResponse copies the response to the caller, without its trailer fields and their announcement.
func (c *call) writeResponse(ctx context.Context, ticket *balancer.Ticket, response *http.Response) {
	defer response.Body.Close()
	done := c.doneAtEnd(ctx, ticket)
	c.status = response.StatusCode
	exchange.RemoveHop(response.Header)
	exchange.Copy(c.writer.Header(), response.Header)
	c.writer.WriteHeader(response.StatusCode)
	// A truncated body must reach the caller as an error, so the connection is aborted.
	err := exchange.CopyBody(c.writer, response)
	if err != nil {
		outcome := balancer.Failed
		if c.request.Context().Err() != nil || ctx.Err() != nil {
			outcome = balancer.Canceled
		}
		done(outcome)
		c.reportInvalid(ticket, err)
		c.handler.reportCall(c, nil)
		panic(http.ErrAbortHandler)
	}
	done(balancer.Answered)
}

// doneAtEnd returns a function that ends a ticket while the response is streamed. The ticket ends with the context at the
// latest: the back end's connection is closed then, but the caller may not read.
func (c *call) doneAtEnd(ctx context.Context, ticket *balancer.Ticket) func(balancer.Outcome) {
	var once sync.Once
	end := func(outcome balancer.Outcome) {
		once.Do(func() { ticket.Done(c.handler.config.Now(), outcome) })
	}
	stop := context.AfterFunc(ctx, func() { end(balancer.Canceled) })
	return func(outcome balancer.Outcome) {
		stop()
		end(outcome)
	}
}

// checkID verifies that a response belongs to the call. A rejection may name none.
func (c *call) checkID(response *http.Response, delivery *roundtrip.Delivery) error {
	name := c.handler.config.Headers.RequestID
	if isDecline(response) && response.Header.Get(name) == "" {
		return nil
	}
	return roundtrip.CheckID(response, name, c.request.Header.Get(name), delivery)
}

// isDecline reports whether the back end states that it has not begun the call.
func isDecline(response *http.Response) bool {
	declining := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	return declining && response.Header.Get(HeaderOutcome) == string(NotRun)
}

func readReport(header http.Header, leavingNames []string) (load float64, draining bool) {
	load, err := strconv.ParseFloat(header.Get(HeaderLoad), 64)
	if err != nil || load < 0 {
		load = -1
	}
	return load, header.Get(HeaderDraining) != "" || exchange.ReadStatement(header, nil, leavingNames).Leaving
}

func readRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
