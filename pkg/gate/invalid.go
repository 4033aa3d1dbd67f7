package gate

import (
	"context"
	"errors"

	"bramblelift/pkg/roundtrip"
)

// reportInvalid reports an invalid response to a call, except one that its caller did not wait for.
func (g *Gate) reportInvalid(call *Call, req request, err error) {
	if errors.Is(err, context.Canceled) && g.config.Now() < req.deadline-transitTolerance {
		return
	}
	roundtrip.Verdict{Reader: roundtrip.ReaderGate, RequestID: call.RequestID, Instance: call.Backend}.Report(g.config.OnInvalidResponse, err)
}
