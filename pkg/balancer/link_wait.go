package balancer

import "time"

// linkState is the wait for its link that a gate reported last, for large responses.
type linkState struct {
	wait time.Duration
	at   time.Duration
}

// linkWait returns how long a large response waits for the link of the back end's gate: the reported wait
// less the time since the report.
func (e *endpoint) linkWait(now time.Duration) time.Duration {
	return max(0, e.link.wait-(now-e.link.at))
}

// expectedWait estimates how long a call waits at the gate for a slot and, if its response is large, for the link.
// Processing the call overlaps with the wait for the link.
func (e *endpoint) expectedWait(params scoreParams) time.Duration {
	wait := e.slotWait(params.now, params.priority)
	if params.largeResponse {
		wait += max(0, e.linkWait(params.now)-e.gate.report.ServiceTime)
	}
	return wait
}
