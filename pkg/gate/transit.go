package gate

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"bramblelift/pkg/exchange"
)

const (
	// transitWindow is how long the minimum clock difference of a process is tracked; the
	// minimum of the previous window counts too. It is long compared with the queue of a link, and short enough to
	// recover soon from a clock that stopped.
	transitWindow = 10 * time.Second
	// transitTolerance is the delay that is ignored: it covers the header's millisecond resolution
	// and the scheduling of both processes.
	transitTolerance = 20 * time.Millisecond
)

// transitTracker measures how much longer calls took to arrive than the fastest recent calls of the
// same process. The time left in a call's header does not shrink while the call is queued on a link,
// so only this delay shows that it has expired. It is safe for concurrent use; the zero value is
// empty.
type transitTracker struct {
	mu         sync.Mutex
	processes  map[uint32]*clockOffset
	windowEnds time.Duration
}

// clockOffset holds the minimum difference between the gate's clock and that of a process in the
// current and the previous window, including the minimum transit time.
type clockOffset struct {
	current, previous       time.Duration
	hasCurrent, hasPrevious bool
}

// delay records when a call was sent and arrived, and returns its transit delay, zero within the
// tolerance.
func (t *transitTracker) delay(now time.Duration, sent exchange.Sent) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	offset := t.processes[sent.Process]
	if offset == nil {
		offset = &clockOffset{}
		t.processes[sent.Process] = offset
	}
	delay := offset.record(now - sent.At)
	if delay <= transitTolerance {
		return 0
	}
	return delay
}

// rotate starts a new window and discards the processes without calls in the last two. t.mu must be
// held.
func (t *transitTracker) rotate(now time.Duration) {
	if t.processes != nil && now < t.windowEnds {
		return
	}
	if t.processes == nil || now >= t.windowEnds+transitWindow {
		t.processes = map[uint32]*clockOffset{}
	}
	t.windowEnds = now + transitWindow
	maps.DeleteFunc(t.processes, func(_ uint32, o *clockOffset) bool { return !o.hasCurrent })
	for _, o := range t.processes {
		o.previous, o.hasPrevious, o.hasCurrent = o.current, true, false
	}
}

// record adds a difference and returns its excess over the minimum.
func (o *clockOffset) record(difference time.Duration) time.Duration {
	if !o.hasCurrent || difference < o.current {
		o.current, o.hasCurrent = difference, true
	}
	minimum := o.current
	if o.hasPrevious {
		minimum = min(minimum, o.previous)
	}
	return difference - minimum
}

// readArrival reads the parameters of a call that arrives at now and subtracts its transit delay.
func (g *Gate) readArrival(header http.Header, now time.Duration) request {
	req := g.readRequest(header, now)
	sent, ok := exchange.ParseSent(header.Get(exchange.HeaderSent))
	if !ok {
		return req
	}
	if delay := g.transit.delay(now, sent); delay > 0 {
		req.subtractTransitDelay(delay)
		req.setLateness(now, g.adjustedWork(req.work))
	}
	return req
}

// subtractTransitDelay subtracts the call's transit delay from the times that its sender set.
func (req *request) subtractTransitDelay(delay time.Duration) {
	req.transitDelay = delay
	req.deadline -= delay
	req.wait = max(0, req.wait-delay)
	req.earlyWait = max(0, req.earlyWait-delay)
	req.targetLeft -= delay
}

// setLateness sets when the call becomes late: the latest start from which a service time of work
// still meets its target.
func (req *request) setLateness(now, work time.Duration) {
	if !req.targeted {
		return
	}
	lastStart := req.targetLeft - work
	req.late = lastStart <= 0
	req.lateAt = now + max(lastStart, 1)
}
