package gate

import (
	"sync"
	"time"
)

const (
	// inboundShare of the link's rate is at most for large bodies from other nodes. Calls without
	// one, answers, heartbeats and configuration come over the same link and must not wait
	// behind them.
	inboundShare = 0.7
	// usableShare of the link's rate is for all that comes in, so bodies get what is left of it.
	// Packets' own heads are not counted.
	usableShare = 0.9
	// minInboundShare is left for bodies whatever else comes in.
	minInboundShare = 0.1
	// inboundSlack is for how long a large body may wait for the link though its sender asked
	// to be taken at once, or though it will be late: about as long as another one takes on a
	// link that is not overloaded.
	inboundSlack = 300 * time.Millisecond
	// inboundMargin is how much longer than expected the work may take for a body that waits
	// for the link to be in time.
	inboundMargin = 1.3
)

// inbound shares the rate of the gate's link among the large bodies that other nodes want to
// send. Each gets its time one after the other; what would come too late is told so before it is
// sent, and costs the link nothing. It is safe for concurrent use; nil is a link without bound.
type inbound struct {
	// rate is the link's in bytes a second.
	rate float64
	// others returns at what rate all else comes in.
	others func(now time.Duration) float64

	mu sync.Mutex
	// free is when all that was promised has come.
	free time.Duration
}

// newInbound returns the share of a link of so many bytes a second, nil for no bound. others returns
// how many bytes a second come in beside the large bodies.
func newInbound(rate float64, others func(now time.Duration) float64) *inbound {
	if rate <= 0 {
		return nil
	}
	return &inbound{rate: rate, others: others}
}

// room is how many bytes a second of large bodies the link has room for.
func (l *inbound) room(now time.Duration) float64 {
	left := usableShare*l.rate - l.others(now)
	return min(inboundShare*l.rate, max(minInboundShare*l.rate, left))
}

// takes is how long a body keeps its share of the link busy.
func (l *inbound) takes(now time.Duration, size int64) time.Duration {
	return time.Duration(float64(size) / l.room(now) * float64(time.Second))
}

// reserve gives a body its time on the link and returns when it may come, false if that is later
// than patience allows.
func (l *inbound) reserve(now time.Duration, size int64, patience time.Duration) (due time.Duration, ok bool) {
	if l == nil {
		return now, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	due = max(l.free, now)
	if due-now > patience {
		return 0, false
	}
	l.free = due + l.takes(now, size)
	return due, true
}

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
