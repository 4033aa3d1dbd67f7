package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A call that is late already must not delay others, whatever its priority.
func TestCallsInTimeAreOrderedBeforeLateOnes(t *testing.T) {
	is := is.New(t)
	var q waitQueue
	late := &waiter{late: true, priority: 0, deadline: time.Second}
	urgent := &waiter{priority: 1, deadline: 3 * time.Second}
	plain := &waiter{priority: 2, deadline: 2 * time.Second}
	for _, w := range []*waiter{late, plain, urgent} {
		q.add(w)
	}
	is.Equal(q.ahead(late), 2)
	is.Equal(q.ahead(plain), 1)
	is.Equal(q.popFirst(), urgent)
	is.Equal(q.popFirst(), plain)
	is.Equal(q.popFirst(), late)
	is.True(q.popFirst() == nil)
}
