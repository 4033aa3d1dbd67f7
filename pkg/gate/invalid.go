package gate

import (
	"context"
	"errors"
	"net/http"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/roundtrip"
)

// reportInvalid reports an invalid response to a call, except one that its caller did not wait for.
func (g *Gate) reportInvalid(call *Call, req request, err error) {
	if errors.Is(err, context.Canceled) && g.config.Now() < req.deadline-transitTolerance {
		return
	}
	roundtrip.Verdict{Reader: roundtrip.ReaderGate, RequestID: call.RequestID, Instance: call.Backend}.Report(g.config.OnInvalidResponse, err)
}

// checkResponse verifies that a response belongs to the request and does not contradict itself. It returns the outcome that a
// rejection states: one that names no request proves that the call has not run only as the first response on its connection,
// since later it could be a surplus response to an earlier request. The connection of a response that names none is not used
// again: a second copy would look like the response to the next request.
func (g *Gate) checkResponse(sent http.Header, response *http.Response, delivery *roundtrip.Delivery) (exchange.Outcome, error) {
	declined := g.declined(response)
	if declined && response.StatusCode < http.StatusBadRequest {
		return "", roundtrip.Reject(response, roundtrip.FaultStatus, errNotRunSuccess, delivery)
	}
	name := g.config.Headers.RequestID
	if name != "" && response.Header.Get(name) == "" {
		first := delivery.RetireConn()
		if declined && first {
			return exchange.NotRun, nil
		}
		if declined {
			return exchange.Unknown, nil
		}
	}
	return exchange.NotRun, roundtrip.CheckID(response, name, sent.Get(name), delivery)
}

var errNotRunSuccess = errors.New("a response that is no failure states that the call has not run")

// declined reports whether the back end states that it has not started the call.
func (g *Gate) declined(response *http.Response) bool {
	name := g.config.Headers.NotRun
	return name != "" && response.Header.Get(name) != ""
}
