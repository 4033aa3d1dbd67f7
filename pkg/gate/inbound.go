package gate

import "time"

const (
	// inboundShare is the maximum share of the link's rate for large bodies from other nodes, so
	// that other inbound traffic such as small calls, responses, heartbeats and configuration is
	// not delayed.
	inboundShare = 0.7
	// inboundUsableShare is the share of the link's rate that all inbound traffic may use.
	inboundUsableShare = 0.9
)

// maxBodyLinkWait returns how long a large body may wait for the link so that its call can still
// meet its target. Late calls only get a link that is nearly free.
func (g *Gate) maxBodyLinkWait(req request, size int64) time.Duration {
	if g.inbound == nil || req.late {
		return linkSlack
	}
	if !req.targeted {
		return max(linkSlack, req.wait)
	}
	work := time.Duration(workMargin * float64(max(req.work, g.expectedWork())))
	return max(linkSlack, req.targetLeft-work-g.inbound.duration(g.config.Now(), size))
}

// expectedWork is expectedServiceTime for callers that do not hold g.mu.
func (g *Gate) expectedWork() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expectedServiceTime()
}
