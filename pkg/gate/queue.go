package gate

import (
	"container/heap"
	"slices"
	"time"

	"bramblelift/pkg/exchange"
)

// waiter is a call that waits for a free slot.
type waiter struct {
	late bool
	// lateAt is when the call becomes late, zero for never.
	lateAt time.Duration
	// work is the expected service time.
	work     time.Duration
	priority int
	deadline time.Duration
	hint     versionHint
	// waitsUntil is when the call gives up waiting.
	waitsUntil time.Duration
	// admitted is closed when the call is admitted, dropped when it is rejected.
	admitted chan struct{}
	dropped  chan struct{}
	// reason is why it was rejected; it is set before dropped is closed.
	reason exchange.Reason
	// admission is set before admitted is closed.
	admission admission
	index     int
}

// waitQueue is a heap of queued calls: first those that can still meet their target latency, since
// late responses are worth little to their callers; then by priority, then by deadline.
type waitQueue []*waiter

func (q waitQueue) before(a, b *waiter) bool {
	if a.late != b.late {
		return b.late
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.deadline < b.deadline
}

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool { return q.before(q[i], q[j]) }

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(value any) {
	w := value.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	last.index = -1
	*q = old[:len(old)-1]
	return last
}

// ahead returns the number of calls that would be admitted before other.
func (q waitQueue) ahead(other *waiter) int {
	count := 0
	for _, w := range q {
		if q.before(w, other) {
			count++
		}
	}
	return count
}

// inOrder returns the queued calls in the order in which they would be admitted.
func (q waitQueue) inOrder() []*waiter {
	sorted := slices.Clone(q)
	slices.SortFunc(sorted, func(a, b *waiter) int {
		switch {
		case q.before(a, b):
			return -1
		case q.before(b, a):
			return 1
		}
		return 0
	})
	return sorted
}

func (q *waitQueue) add(w *waiter) { heap.Push(q, w) }

// remove removes a call and reports whether it was still queued.
func (q *waitQueue) remove(w *waiter) bool {
	if w.index < 0 || w.index >= len(*q) || (*q)[w.index] != w {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

// popFirstInTime is popFirst, but moves calls that became late while queued behind those that did
// not.
func (q *waitQueue) popFirstInTime(now time.Duration) *waiter {
	for {
		w := q.popFirst()
		if w == nil || w.late || w.lateAt == 0 || now <= w.lateAt {
			return w
		}
		w.late = true
		q.add(w)
	}
}

// popFirst removes and returns the first call, nil if the queue is empty.
func (q *waitQueue) popFirst() *waiter {
	if len(*q) == 0 {
		return nil
	}
	return heap.Pop(q).(*waiter)
}
