package gate

import (
	"container/heap"
	"time"

	"bramblelift/pkg/exchange"
)

// waiter is a call that waits for a free slot.
type waiter struct {
	late bool
	// lateAt is when the call becomes late, zero for never.
	lateAt   time.Duration
	work     time.Duration
	priority int
	deadline time.Duration
	version  versionHint
	// admitted is closed when the call may go on, dropped when it must not.
	admitted chan struct{}
	dropped  chan struct{}
	// reason is why it was dropped; it is set before dropped is closed.
	reason exchange.Reason
	// granted is set before admitted is closed.
	granted admittance
	index   int
}

// waitQueue orders waiters: those that can still be answered within their target latency first,
// since a late answer is worth little to its caller; then by priority, then by deadline.
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

// ahead counts the waiters that go before another.
func (q waitQueue) ahead(other *waiter) int {
	count := 0
	for _, w := range q {
		if q.before(w, other) {
			count++
		}
	}
	return count
}

func (q *waitQueue) add(w *waiter) { heap.Push(q, w) }

// remove takes a waiter out, if it still waits.
func (q *waitQueue) remove(w *waiter) bool {
	if w.index < 0 || w.index >= len(*q) || (*q)[w.index] != w {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

// firstInTime is first for the call that goes on now: one that became late while it waited gives
// way to those that did not.
func (q *waitQueue) firstInTime(now time.Duration) *waiter {
	for {
		w := q.first()
		if w == nil || w.late || w.lateAt == 0 || now <= w.lateAt {
			return w
		}
		w.late = true
		q.add(w)
	}
}

func (q *waitQueue) first() *waiter {
	if len(*q) == 0 {
		return nil
	}
	return heap.Pop(q).(*waiter)
}
