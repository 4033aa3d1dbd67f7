package gate

import "time"

const (
	// inboundShare of the link's rate is at most for large bodies from other nodes. Calls without
	// one, answers, heartbeats and configuration come over the same link and must not wait
	// behind them.
	inboundShare = 0.7
	// inboundUsable of the link's rate is for all that comes in.
	inboundUsable = 0.9
)

// linkPatience is for how long a large body may wait for the link: its call must still be
// answered in time. One that is late already only takes what nobody else wants.
func (g *Gate) linkPatience(r request, size int64) time.Duration {
	if g.inbound == nil || r.late {
		return bodySlack
	}
	if !r.targeted {
		return max(bodySlack, r.wait)
	}
	work := time.Duration(workMargin * float64(max(r.work, g.expectedWork())))
	return max(bodySlack, r.targetLeft-work-g.inbound.takes(g.config.Now(), size))
}

// expectedWork is how long the back end takes for a call.
func (g *Gate) expectedWork() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceTime()
}
