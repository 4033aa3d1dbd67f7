package gate

import (
	"sync"
	"time"
)

const (
	// inboundShare of the link's rate is for large bodies from other nodes. Calls without
	// one, answers, heartbeats and configuration come over the same link and must not wait
	// behind them.
	inboundShare = 0.7
	// inboundSlack is for how long a large body may wait for the link though its sender asked
	// to be taken at once: about as long as another one takes.
	inboundSlack = 100 * time.Millisecond
	// inboundMargin is how much longer than expected the work may take for a body that waits
	// for the link to be in time.
	inboundMargin = 1.3
)

// inbound shares the rate of the gate's link among the large bodies that other nodes want to
// send. Each gets its time one after the other; what would come too late is told so before it is
// sent, and costs the link nothing. It is safe for concurrent use; nil is a link without bound.
type inbound struct {
	// rate is in bytes a second.
	rate float64

	mu sync.Mutex
	// free is when all that was promised has come.
	free time.Duration
}

// newInbound returns the share of a link of so many bits a second, nil for no bound.
func newInbound(bitsPerSecond float64) *inbound {
	if bitsPerSecond <= 0 {
		return nil
	}
	return &inbound{rate: inboundShare * bitsPerSecond / 8}
}

// takes is how long a body keeps the link busy.
func (l *inbound) takes(size int64) time.Duration {
	return time.Duration(float64(size) / l.rate * float64(time.Second))
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
	l.free = due + l.takes(size)
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
	return max(inboundSlack, r.targetLeft-work-g.inbound.takes(size))
}

// expectedWork is how long the back end takes for a call.
func (g *Gate) expectedWork() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceTime()
}
