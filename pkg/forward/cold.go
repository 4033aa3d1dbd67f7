package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
)

const (
	// maxCold is how many gates may say that their cold back ends have no room before the call is
	// refused: when a whole zone or fleet is cold, one gate after the other would say the same.
	maxCold = 3
	// coldRetryShare of the time left is at most until when to come back after a refusal of cold back
	// ends: the call still needs time for its work.
	coldRetryShare = 2
	// coldSpread spreads those that were refused over more than the moment at which all are warm.
	coldSpread = 0.3
)

// noteCold takes in that no back end was chosen, if all are cold.
func (g *gatedCall) noteCold(err error) {
	if cold := (*balancer.ColdError)(nil); errors.As(err, &cold) {
		g.last = exchange.ReasonCold
		g.warmIn = cold.Room
	}
}

// tooManyCold counts the gates of cold back ends without room.
func (g *gatedCall) tooManyCold(failure *gateFailure) bool {
	if failure.reason != exchange.ReasonCold {
		return false
	}
	g.colds++
	if remaining := failure.report.Cold.Remaining; g.warmIn == 0 || remaining < g.warmIn {
		g.warmIn = remaining
	}
	return g.colds >= maxCold
}

// comeBackWarm is when to come back if cold back ends were the reason: not before the first of them is
// warm, since most of those that come back sooner are refused again.
func (g *gatedCall) comeBackWarm(left time.Duration) time.Duration {
	pause := left / gateRetryShare
	warm := time.Duration((1 + coldSpread*rand.Float64()) * float64(g.warmIn))
	return max(pause, min(warm, left/coldRetryShare))
}
