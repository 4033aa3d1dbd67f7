package balancer

import "time"

// coldServiceFactor multiplies the reported service time of a cold back end.
const coldServiceFactor = 1.5

// ColdError reports that all candidate back ends are cold and cannot admit the call within its
// patience. No gate has seen the call.
type ColdError struct {
	// WarmIn is the time until the first of them is warm.
	WarmIn time.Duration
}

// Error implements error.
func (e *ColdError) Error() string {
	return "all back ends are cold and get no more calls at the moment"
}

// coldRemaining returns the time until the back end is warm, zero if it is warm or its state is unknown.
func (e *endpoint) coldRemaining(now time.Duration) time.Duration {
	if e.gate.report.Cold.Remaining == 0 {
		return 0
	}
	return max(0, e.gate.at+e.gate.report.Cold.Remaining-now)
}

// coldWait estimates how long the rate limit of a cold back end's gate delays a call, from the gate's
// last report and the calls that this node has sent since.
func (e *endpoint) coldWait(now time.Duration) time.Duration {
	remaining := e.coldRemaining(now)
	if remaining == 0 {
		return 0
	}
	cold := e.gate.report.Cold
	admittedIn := e.gate.at + cold.AdmissionDelay + time.Duration(e.gate.sent)*cold.AdmissionInterval - now
	return max(0, min(admittedIn, remaining))
}

// serviceFactor returns the factor for the back end's service time: coldServiceFactor while cold, otherwise 1.
func (e *endpoint) serviceFactor(now time.Duration) float64 {
	if e.coldRemaining(now) > 0 {
		return coldServiceFactor
	}
	return 1
}
