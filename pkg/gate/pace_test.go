package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPaceFollowsWhatCallsTake(t *testing.T) {
	is := is.New(t)
	var p pace
	is.Equal(p.of(100*time.Millisecond), 100*time.Millisecond)
	for range 200 {
		p.note(100*time.Millisecond, 200*time.Millisecond)
	}
	is.True(p.of(50*time.Millisecond) > 95*time.Millisecond)
	p.note(time.Millisecond, time.Hour) // one odd call
	is.True(p.of(50*time.Millisecond) < 130*time.Millisecond)
	p.note(0, time.Second) // nothing was expected
}

// A call that became late while it waited gives way to one that can still be in time.
func TestWaiterThatBecameLateGivesWay(t *testing.T) {
	is := is.New(t)
	var q waitQueue
	old := &waiter{priority: 0, lateAt: 100 * time.Millisecond, deadline: time.Second}
	fresh := &waiter{priority: 1, lateAt: 300 * time.Millisecond, deadline: 2 * time.Second}
	untimed := &waiter{priority: 2, deadline: 3 * time.Second}
	for _, w := range []*waiter{old, fresh, untimed} {
		q.add(w)
	}
	is.Equal(q.firstInTime(200*time.Millisecond), fresh)
	is.Equal(q.firstInTime(200*time.Millisecond), untimed)
	is.Equal(q.firstInTime(200*time.Millisecond), old)
	is.True(q.firstInTime(200*time.Millisecond) == nil)
}

// A slow back end's gate takes calls for late that would be so there.
func TestGateReckonsWithItsBackEndsPace(t *testing.T) {
	is := is.New(t)
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return time.Second }})
	call := newCall(t, "GET", "1", "Gate-Target-Ms", "150", "Gate-Expected-Work-Us", "100000")
	wanted := g.read(call.Header, time.Second)
	is.True(!wanted.late)
	is.Equal(wanted.lateAt, time.Second+50*time.Millisecond)
	for range 200 {
		g.pace.note(100*time.Millisecond, 200*time.Millisecond)
	}
	is.True(g.read(call.Header, time.Second).late)
}
