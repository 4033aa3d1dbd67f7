package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// resendTime is how long evidence is resent after it was first sent. A receiver may lose its leader before
	// the evidence is replicated.
	resendTime = 3 * time.Second
	// maxPending bounds the pending items of each kind; it exceeds the calls in flight at a back end. Further
	// items are dropped and counted.
	maxPending = 64
)

// Outbox holds a node's evidence until the control plane has had time to replicate it. It is safe for
// concurrent use.
type Outbox struct {
	mu        sync.Mutex
	crashes   []pending[End]
	responses []pending[Answer]
	dropped   int
}

// pending is an item of evidence and when it was first sent.
type pending[T comparable] struct {
	value T
	sent  bool
	at    time.Duration
}

// AddCrash adds a crash and reports whether it is new.
func (o *Outbox) AddCrash(end End) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return add(o, &o.crashes, end)
}

// AddResponse adds a response to a suspect and reports whether it is new.
func (o *Outbox) AddResponse(answer Answer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return add(o, &o.responses, answer)
}

func add[T comparable](o *Outbox, list *[]pending[T], value T) bool {
	if slices.ContainsFunc(*list, func(p pending[T]) bool { return p.value == value }) {
		return false
	}
	if len(*list) >= maxPending {
		o.dropped++
		return false
	}
	*list = append(*list, pending[T]{value: value})
	return true
}

// Dropped returns the number of dropped items.
func (o *Outbox) Dropped() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Pending returns the evidence to send.
func (o *Outbox) Pending(now time.Duration) Evidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Evidence{Ends: due(&o.crashes, now), Answers: due(&o.responses, now)}
}

// due removes the items that have been resent for long enough and returns the others.
func due[T comparable](list *[]pending[T], now time.Duration) []T {
	*list = slices.DeleteFunc(*list, func(p pending[T]) bool { return p.sent && now-p.at >= resendTime })
	var values []T
	for i := range *list {
		p := &(*list)[i]
		if !p.sent {
			p.sent, p.at = true, now
		}
		values = append(values, p.value)
	}
	return values
}
