package gate

import (
	"container/heap"
	"time"
)

// waiter is a call that waits for a free slot.
type waiter struct {
	priority int
	deadline time.Duration
	// admitted is closed when the call may go on, dropped when it must not.
	admitted chan struct{}
	dropped  chan struct{}
	// granted is set before admitted is closed.
	granted admittance
	index   int
}

// waitQueue orders waiters by priority, then by deadline.
type waitQueue []*waiter

func (q waitQueue) before(a, b *waiter) bool {
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

// ahead counts the waiters that go before a call of the given rank.
func (q waitQueue) ahead(priority int, deadline time.Duration) int {
	count := 0
	probe := &waiter{priority: priority, deadline: deadline}
	for _, w := range q {
		if q.before(w, probe) {
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

func (q *waitQueue) first() *waiter {
	if len(*q) == 0 {
		return nil
	}
	return heap.Pop(q).(*waiter)
}
