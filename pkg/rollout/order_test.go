package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var orderTime = time.UnixMilli(1_700_000_000_000)

func TestCheckRejectsInvalidOrders(t *testing.T) {
	is := is.New(t)
	order := Order{Service: "s", Version: "v2", Duration: 12 * time.Second}
	running := Start(order, nil, orderTime)
	ended := running
	ended.Phase = RolledBack
	both := []string{"v1", "v2"}

	is.NoErr(Check(order, nil, true, []string{"v1"})) // its back ends start later
	is.NoErr(Check(order, nil, true, both))           // they run already
	is.NoErr(Check(order, nil, true, nil))            // none run at all
	is.NoErr(Check(order, &ended, true, both))        // a second rollout
	is.Equal(Check(order, nil, false, nil), ErrUnknownService)
	is.Equal(Check(order, nil, true, []string{"v2", "v2"}), ErrAlreadyComplete)
	is.Equal(Check(order, &running, true, both), ErrAlreadyRunning)
	other := order
	other.Version = "v3"
	is.Equal(Check(other, &running, true, both), ErrConflict)
	for _, bad := range []Order{
		{Version: "v2", Duration: time.Second},
		{Service: "s", Duration: time.Second},
		{Service: "s", Version: "v2"},
		{Service: "s", Version: "v2", Duration: -time.Second},
		{Service: "s", Version: "v2", Duration: 1000 * time.Hour},
	} {
		is.Equal(Check(bad, nil, true, both), ErrInvalid)
	}
}

func TestStartIncrementsNumber(t *testing.T) {
	is := is.New(t)
	order := Order{Service: "s", Version: "v2", Duration: 12 * time.Second}
	first := Start(order, nil, orderTime)
	is.Equal(first.Number, uint64(1))
	is.Equal(first.Phase, Running)
	is.Equal(Start(order, &first, orderTime).Number, uint64(2))
}

func TestStopRevertsARunningRollout(t *testing.T) {
	is := is.New(t)
	running := Start(Order{Service: "s", Version: "v2", Duration: 12 * time.Second}, nil, orderTime)
	stopped, err := Stop(&running, orderTime.Add(time.Second))
	is.NoErr(err)
	is.Equal(stopped.Phase, Reverting)
	is.Equal(stopped.Share, 0)
	is.Equal(stopped.Step, running.Step+1)
	_, err = Stop(&stopped, orderTime)
	is.Equal(err, ErrNotRunning)
	_, err = Stop(nil, orderTime)
	is.Equal(err, ErrNotRunning)
}

func TestApplyAcceptsOnlyTheNextStep(t *testing.T) {
	is := is.New(t)
	first := Start(Order{Service: "s", Version: "v2", Duration: 12 * time.Second}, nil, orderTime)
	first.Grants = []Grant{{Life: 7, Upto: 5}}
	list, changed := Apply(nil, Change{first})
	is.True(changed)
	apply := func(edit func(*Rollout)) bool {
		next := list[0]
		next.Step++
		edit(&next)
		_, changed := Apply(list, Change{next})
		return changed
	}
	is.True(apply(func(*Rollout) {}))
	is.True(!apply(func(r *Rollout) { r.Step-- }))                         // repeated step
	is.True(!apply(func(r *Rollout) { r.Step++ }))                         // a step is missing
	is.True(!apply(func(r *Rollout) { r.Grants = nil }))                   // loses grants
	is.True(apply(func(r *Rollout) { r.Grants, r.Spent = nil, 5 }))        // the gate is gone
	is.True(!apply(func(r *Rollout) { r.Number, r.Step = r.Number+1, 0 })) // another rollout is running

	list[0].Phase = Reverting
	is.True(!apply(func(r *Rollout) { r.Phase = Running }))
	is.True(apply(func(r *Rollout) { r.Phase = RolledBack }))
	list[0].Phase = RolledBack
	is.True(!apply(func(r *Rollout) { r.Phase = Running }))
	is.True(apply(func(r *Rollout) {
		*r = Start(Order{Service: "s", Version: "v3", Duration: time.Second}, &list[0], orderTime)
	}))

	other := Start(Order{Service: "a", Version: "v2", Duration: time.Second}, nil, orderTime)
	list, _ = Apply(list, Change{other})
	is.Equal(list[0].Service, "a") // sorted
}
