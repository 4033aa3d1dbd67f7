package gate

import "time"

const (
	// inboundShare of the link's rate is at most for large bodies from other nodes. Calls without
	// one, answers, heartbeats and configuration come over the same link and must not wait
	// behind them.
	inboundShare = 0.7
	// inboundUsable of the link's rate is for all that comes in.
	inboundUsable = 0.9
	// inboundSlack is for how long a large body may wait for the link though its sender asked
	// to be taken at once, or though it will be late: about as long as another one takes on a
	// link that is not overloaded.
	inboundSlack = 300 * time.Millisecond
	// inboundMargin is how much longer than expected the work may take for a body that waits
	// for the link to be in time.
	inboundMargin = 1.3
)

// linkPatience is for how long a large body may wait for the link: its call must still be
// answered in time. One that is late already only takes what nobody else wants.
func (g *Gate) linkPatience(r request, size int64) time.Duration {
	if g.inbound == nil || r.late {
		return inboundSlack
	}
	if !r.targeted {
		return max(inboundSlack, r.wait)
	}
	work := time.Duration(inboundMargin * float64(max(r.work, g.expectedWork())))
	return max(inboundSlack, r.targetLeft-work-g.inbound.takes(g.config.Now(), size))
}

// expectedWork is how long the back end takes for a call.
func (g *Gate) expectedWork() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceTime()
}
