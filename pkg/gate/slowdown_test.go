package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSlowdownFollowsServiceTimes(t *testing.T) {
	is := is.New(t)
	var s slowdown
	is.Equal(s.apply(100*time.Millisecond), 100*time.Millisecond)
	for range 200 {
		s.record(100*time.Millisecond, 200*time.Millisecond)
	}
	is.True(s.apply(50*time.Millisecond) > 95*time.Millisecond)
	s.record(time.Millisecond, time.Hour) // one outlier
	is.True(s.apply(50*time.Millisecond) < 130*time.Millisecond)
	s.record(0, time.Second) // without an expected service time
}

// A call that became late while it waited must be admitted after those that can still be in time.
func TestWaiterThatBecameLateIsAdmittedLast(t *testing.T) {
	is := is.New(t)
	var q waitQueue
	old := &waiter{priority: 0, lateAt: 100 * time.Millisecond, deadline: time.Second}
	fresh := &waiter{priority: 1, lateAt: 300 * time.Millisecond, deadline: 2 * time.Second}
	untimed := &waiter{priority: 2, deadline: 3 * time.Second}
	for _, w := range []*waiter{old, fresh, untimed} {
		q.add(w)
	}
	is.Equal(q.popFirstInTime(200*time.Millisecond), fresh)
	is.Equal(q.popFirstInTime(200*time.Millisecond), untimed)
	is.Equal(q.popFirstInTime(200*time.Millisecond), old)
	is.True(q.popFirstInTime(200*time.Millisecond) == nil)
}

// A gate must judge whether a call is late by the service time of its own back end.
func TestLatenessAccountsForSlowdown(t *testing.T) {
	is := is.New(t)
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return time.Second }})
	call := newCall(t, "GET", "1", "Gate-Target-Ms", "150", "Gate-Expected-Work-Us", "100000")
	req := g.readRequest(call.Header, time.Second)
	is.True(!req.late)
	is.Equal(req.lateAt, time.Second+50*time.Millisecond)
	for range 200 {
		g.slowdown.record(100*time.Millisecond, 200*time.Millisecond)
	}
	is.True(g.readRequest(call.Header, time.Second).late)
}
