package stream

import (
	"testing"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"

	"github.com/matryer/is"
)

func testSelector(addresses ...string) *Selector {
	config := DefaultSelectorConfig()
	config.Random = func() float64 { return 0.5 }
	var candidates []Candidate
	for i, address := range addresses {
		candidates = append(candidates, Candidate{Address: address, Near: i == 0})
	}
	return NewSelector(config, candidates)
}

func TestSelectorPrefersNearAndSwitchesOnFailure(t *testing.T) {
	is := is.New(t)
	s := testSelector("near", "far")
	first, wait := s.Next(0)
	is.Equal(first.Address, "near")
	is.Equal(wait, time.Duration(0))
	s.Failed(0, 0)
	second, wait := s.Next(0)
	is.Equal(second.Address, "far")
	is.True(wait <= 200*time.Millisecond) // the pause before another server is short
}

func TestSelectorBacksOffWhenAllAreBad(t *testing.T) {
	is := is.New(t)
	s := testSelector("a", "b")
	now := time.Duration(0)
	var last time.Duration
	for range 12 {
		_, wait := s.Next(now)
		now += wait
		s.Failed(now, 0)
		_, last = s.Next(now)
	}
	is.True(last >= time.Second)   // backs off
	is.True(last <= 3*time.Second) // and keeps retrying
}

func TestSelectorHonoursRetryAfter(t *testing.T) {
	is := is.New(t)
	s := testSelector("busy", "other")
	s.Next(0)
	s.Failed(0, 4*time.Second)
	again, wait := s.Next(0)
	is.Equal(again.Address, "busy") // it asked for a retry
	is.True(wait >= 2*time.Second && wait <= 6*time.Second)
}

func TestSelectorLeavesStaleServerOnlyForUsableOne(t *testing.T) {
	is := is.New(t)
	s := testSelector("stale", "other")
	s.Next(0)
	is.True(!s.ObservePong(0, ServerHealth{Confirmed: true, Stale: time.Second}))    // fresh enough
	is.True(s.ObservePong(0, ServerHealth{Confirmed: true, Stale: 9 * time.Second})) // stale, the other may be fresh
	s.Failed(0, 0)
	s.Next(0)
	is.True(!s.ObservePong(0, ServerHealth{})) // all are marked as failed: keep the connection
}

// A server that holds less than the client, for example after losing its disk, must be left for any
// other.
func TestSelectorLeavesServerThatIsBehind(t *testing.T) {
	is := is.New(t)
	s := testSelector("other", "behind")
	s.Next(0)
	is.True(s.ObservePong(0, ServerHealth{})) // unconfirmed, the other may be confirmed
	s.Failed(0, 0)
	next, _ := s.Next(0)
	is.Equal(next.Address, "behind")
	is.True(s.ObservePong(0, ServerHealth{Behind: true}))
	s.Failed(0, 0)
	next, wait := s.Next(0)
	is.Equal(next.Address, "other")
	is.True(wait <= 200*time.Millisecond)
	alone := testSelector("behind")
	alone.Next(0)
	is.True(!alone.ObservePong(0, ServerHealth{Behind: true})) // the only candidate
}

func TestAdmissionSpreadsRetriesOfBurst(t *testing.T) {
	is := is.New(t)
	a := newAdmissionLimiter(AdmissionConfig{PerSecond: 10, Burst: 5})
	admitted := 0
	var latest time.Duration
	for range 105 {
		ok, retryAfter := a.admit(0)
		if ok {
			admitted++
		}
		latest = max(latest, retryAfter)
	}
	is.Equal(admitted, 5)
	is.Equal(latest, 10*time.Second) // the 100th rejected subscriber gets the 100th slot
	ok, _ := a.admit(time.Second)
	is.True(ok)
}

func stateAt(revision int) *distribution.State {
	state := &distribution.State{}
	for i := range revision {
		state = state.ChangeEndpoints([]distribution.Endpoint{{Service: "s", ID: "e", Incarnation: uint64(i + 1)}})
	}
	return state
}

func TestUpdatePrecedesPongOfSameRevision(t *testing.T) {
	is := is.New(t)
	planner := distribution.NewPlanner(stateAt(3))
	session := NewSession("*", distribution.Position{})
	session.HandlePing(protocol.Ping{Sequence: 4})
	update, pong, err := session.PendingMessages(planner, Freshness{Confirmed: true, Stale: time.Second})
	is.NoErr(err)
	is.Equal(update.To, uint64(3))
	is.Equal(pong.Sequence, uint64(4))
	is.Equal(pong.Revision, uint64(3))
	update, pong, err = session.PendingMessages(planner, Freshness{})
	is.NoErr(err)
	is.True(update == nil && pong == nil) // nothing is sent twice
}

// fixedTarget is a target that stores only a revision.
type fixedTarget struct{ revision uint64 }

func (f *fixedTarget) Position() distribution.Position {
	return distribution.Position{Revision: f.revision}
}
func (f *fixedTarget) Apply(*distribution.Update) error { return nil }
func (f *fixedTarget) Current(revision uint64)          { f.revision = max(f.revision, revision) }

func TestConfirmationTimeCountsFromPingSent(t *testing.T) {
	for name, test := range map[string]struct {
		pong      protocol.Pong
		confirmed bool
		at        time.Duration
	}{
		"fresh":          {protocol.Pong{Sequence: 1, Revision: 7, Confirmed: true}, true, 10 * time.Second},
		"stale server":   {protocol.Pong{Sequence: 1, Revision: 7, Confirmed: true, Stale: 3 * time.Second}, true, 7 * time.Second},
		"not confirmed":  {protocol.Pong{Sequence: 1, Revision: 7}, false, 0},
		"server behind":  {protocol.Pong{Sequence: 1, Revision: 4, Confirmed: true}, false, 0},
		"server further": {protocol.Pong{Sequence: 1, Revision: 9, Confirmed: true}, true, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewSubscription()
			s.Ping(10*time.Second, distribution.Position{})
			at, confirmed, err := s.HandlePong(test.pong, &fixedTarget{revision: 7})
			is.NoErr(err)
			is.Equal(confirmed, test.confirmed)
			is.Equal(at, test.at)
		})
	}
}

func TestUnexpectedPongIsAnError(t *testing.T) {
	s := NewSubscription()
	s.Ping(0, distribution.Position{})
	_, _, err := s.HandlePong(protocol.Pong{Sequence: 9}, &fixedTarget{})
	is.New(t).True(err != nil)
}
