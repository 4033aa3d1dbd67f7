package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// resendTime is for how long after it was first sent evidence is sent again: the server that
	// got it may have lost its leader, and the next one knows nothing of it.
	resendTime = 3 * time.Second
	// maxWaiting bounds what waits, more than a back end has calls at once; what does not fit is
	// lost, and counted.
	maxWaiting = 64
)

// Outbox holds a node's evidence until the control plane has had time to take it in. It is safe for
// concurrent use.
type Outbox struct {
	mu      sync.Mutex
	ends    []waiting[End]
	answers []waiting[Answer]
	lost    int
}

// waiting is evidence with when it was first sent, if it was.
type waiting[T comparable] struct {
	value T
	sent  bool
	at    time.Duration
}

// Ended adds the end of a back end; it reports whether that is new.
func (o *Outbox) Ended(end End) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return add(o, &o.ends, end)
}

// Answered adds an answer to a suspect; it reports whether that is new.
func (o *Outbox) Answered(answer Answer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return add(o, &o.answers, answer)
}

func add[T comparable](o *Outbox, list *[]waiting[T], value T) bool {
	if slices.ContainsFunc(*list, func(w waiting[T]) bool { return w.value == value }) {
		return false
	}
	if len(*list) >= maxWaiting {
		o.lost++
		return false
	}
	*list = append(*list, waiting[T]{value: value})
	return true
}

// Lost returns how much did not fit.
func (o *Outbox) Lost() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lost
}

// Take returns what to send now.
func (o *Outbox) Take(now time.Duration) Evidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Evidence{Ends: take(&o.ends, now), Answers: take(&o.answers, now)}
}

// take returns what is still to be sent, and drops the rest.
func take[T comparable](list *[]waiting[T], now time.Duration) []T {
	*list = slices.DeleteFunc(*list, func(w waiting[T]) bool { return w.sent && now-w.at >= resendTime })
	var values []T
	for i := range *list {
		w := &(*list)[i]
		if !w.sent {
			w.sent, w.at = true, now
		}
		values = append(values, w.value)
	}
	return values
}
