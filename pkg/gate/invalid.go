package gate

import "bramblelift/pkg/roundtrip"

// InvalidResponse describes, for logs, bytes of the back end that are not a response.
type InvalidResponse struct {
	// RequestID is empty for a probe of the health path.
	RequestID string
	Backend   string
	Fault     roundtrip.Fault
	Err       error
}

// reportInvalid calls OnInvalidResponse if err reports an invalid response to a call.
func (g *Gate) reportInvalid(call *Call, err error) {
	if fault, invalid := roundtrip.FaultOf(err); invalid && g.config.OnInvalidResponse != nil {
		g.config.OnInvalidResponse(InvalidResponse{RequestID: call.RequestID, Backend: call.Backend, Fault: fault, Err: err})
	}
}
