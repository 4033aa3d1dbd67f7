package gate

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"bramblelift/pkg/exchange"
)

const (
	// transitSpan is for how long the least difference of two clocks is kept, and once more as the one of the
	// span before: long against the queue of a link, short enough that a clock which stood still is believed
	// again soon.
	transitSpan = 10 * time.Second
	// transitSlack is what a call may take longer than another without being called late: it covers the whole
	// milliseconds of the header and the scheduling of both processes.
	transitSlack = 20 * time.Millisecond
)

// transit knows by how much calls were longer on their way than the quickest ones of the same process lately.
// What a call says of the time that it has left does not shrink while it waits on a link. The closing of its
// connection waits on the same link behind it, so only its age tells that nobody waits for it any more. It is
// safe for concurrent use; its zero value knows nothing.
type transit struct {
	mu        sync.Mutex
	processes map[uint32]*clockOffset
	spanEnds  time.Duration
}

// clockOffset is the least difference between the gate's clock and that of a process in this span and in the
// one before, which includes the least time on the way.
type clockOffset struct {
	least, before         time.Duration
	hasLeast, hasPrevious bool
}

// late takes in when a call was sent and came, and returns how late it came.
func (t *transit) late(now time.Duration, sent exchange.Sent) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn(now)
	offset := t.processes[sent.Process]
	if offset == nil {
		offset = &clockOffset{}
		t.processes[sent.Process] = offset
	}
	late := offset.note(now - sent.At)
	if late <= transitSlack {
		return 0
	}
	return late
}

// turn begins a new span, and forgets the processes that were silent for two; the mutex is held.
func (t *transit) turn(now time.Duration) {
	if t.processes != nil && now < t.spanEnds {
		return
	}
	if t.processes == nil || now >= t.spanEnds+transitSpan {
		t.processes = map[uint32]*clockOffset{}
	}
	t.spanEnds = now + transitSpan
	maps.DeleteFunc(t.processes, func(_ uint32, o *clockOffset) bool { return !o.hasLeast })
	for _, o := range t.processes {
		o.before, o.hasPrevious, o.hasLeast = o.least, true, false
	}
}

// note takes in a difference and returns by how much it is above the least.
func (o *clockOffset) note(difference time.Duration) time.Duration {
	if !o.hasLeast || difference < o.least {
		o.least, o.hasLeast = difference, true
	}
	least := o.least
	if o.hasPrevious {
		least = min(least, o.before)
	}
	return difference - least
}

// arrive reads what a call says that comes just now.
func (g *Gate) arrive(header http.Header, now time.Duration) request {
	wanted := g.read(header, now)
	sent, told := exchange.ParseSent(header.Get(exchange.HeaderSent))
	if !told {
		return wanted
	}
	if late := g.transit.late(now, sent); late > 0 {
		wanted.age(late)
		wanted.aim(now, g.paced(wanted.work))
	}
	return wanted
}

// age takes the time that a call was late on its way from what its sender said is left of it.
func (r *request) age(late time.Duration) {
	r.onItsWay = late
	r.deadline -= late
	r.wait = max(0, r.wait-late)
	r.early = max(0, r.early-late)
	r.targetLeft -= late
}

// aim works out until when the back end must begin the call, which takes it so long, to be in time.
func (r *request) aim(now, work time.Duration) {
	if !r.targeted {
		return
	}
	lastStart := r.targetLeft - work
	r.late = lastStart <= 0
	r.lateAt = now + max(lastStart, 1)
}
