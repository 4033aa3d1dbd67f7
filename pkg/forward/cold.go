package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
)

const (
	// maxColdRefusals is how many gates may say that their cold back ends have no room before the call is
	// refused: when a whole zone or fleet is cold, one gate after the other would say the same.
	maxColdRefusals = 3
	// coldRetryDivisor divides the time left: a call that cold back ends refused comes back within that,
	// since it still needs time for its work.
	coldRetryDivisor = 2
	// coldSpread is the part of the time until the first back end is warm over which refused calls are
	// spread after it, so that they do not all come at that moment.
	coldSpread = 0.3
)

// noteCold takes in that no back end was chosen, if all are cold.
func (g *gatedCall) noteCold(err error) {
	if cold := (*balancer.ColdError)(nil); errors.As(err, &cold) {
		g.last = exchange.ReasonCold
		g.warmIn = cold.WarmIn
	}
}

// countCold takes in a refusal for a cold back end without room.
func (g *gatedCall) countCold(report exchange.Report) {
	g.coldRefusals++
	if remaining := report.Cold.Remaining; g.warmIn == 0 || remaining < g.warmIn {
		g.warmIn = remaining
	}
}

// tooManyCold reports whether a refusal is the last of cold back ends that the call asks for.
func (g *gatedCall) tooManyCold(failure *gateFailure) bool {
	return failure.reason == exchange.ReasonCold && g.coldRefusals >= maxColdRefusals
}

// retryAfterCold is in how long the caller should try again if cold back ends were the reason: not before
// the first of them is warm, since most of those that come back sooner are refused again.
func (g *gatedCall) retryAfterCold(left time.Duration) time.Duration {
	pause := left / gateRetryDivisor
	warm := time.Duration((1 + coldSpread*rand.Float64()) * float64(g.warmIn))
	return max(pause, min(warm, left/coldRetryDivisor))
}
