package registration

import (
	"testing"
	"time"

	"bramblelift/pkg/distribution"

	"github.com/matryer/is"
)

var (
	firstStart  = time.UnixMilli(1_700_000_000_000)
	secondStart = time.UnixMilli(1_700_000_060_000)
)

func heartbeatStartedAt(id string, startedAt time.Time, sequence uint64, state State) Heartbeat {
	h := heartbeat(id, sequence, state)
	h.Born = startedAt
	return h
}

// A restart under the same ID must be accepted, with its sequence starting again, and supersede the earlier
// incarnation.
func TestRestartedBackEndIsAcceptedUnderItsID(t *testing.T) {
	for name, intervene := range map[string]func(*Registry){
		"after a crash": func(*Registry) {},
		"after a drain": func(r *Registry) { r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 501, Draining)) },
		"after it left": func(r *Registry) { r.RecordDeparture("a", firstStart.Add(time.Second)) },
		"shown as removed": func(r *Registry) {
			r.RecordDeparture("a", firstStart.Add(time.Second))
			r.ApplyState(committedEndpoints(r))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, g := newRegistry()
			r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 500, Ready))
			table := committedEndpoints(r)
			r.ApplyState(table)
			intervene(r)
			r.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 3, Ready))
			is.Equal(g.updates[len(g.updates)-1], "set a 6")
			is.True(len(g.updates) >= 2)
			announced := r.PendingAnnouncements()
			is.Equal(len(announced), 1)
			is.Equal(announced[0].State, distribution.Live)
			state := (&distribution.State{Endpoints: table}).ChangeEndpoints(announced)
			is.Equal(state.Endpoints["s"]["a"].Incarnation, uint64(secondStart.UnixMilli())) // it supersedes the earlier incarnation
			r.ApplyState(state.Endpoints)
			is.Equal(len(r.PendingAnnouncements()), 0)
			r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 600, Draining)) // late, from the earlier incarnation
			r.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 2, Draining))  // late, from this incarnation
			is.Equal(len(r.PendingAnnouncements()), 0)
			r.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 4, Draining))
			is.Equal(r.PendingAnnouncements()[0].State, distribution.Leaving)
		})
	}
}

// A late heartbeat must not add an incarnation that left, even if this node had received none of it.
func TestDepartedIncarnationStaysGone(t *testing.T) {
	is := is.New(t)
	r, g := newRegistry()
	r.RecordDeparture("a", firstStart.Add(time.Second))
	r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 9, Ready))
	is.Equal(g.updates, []string{"remove a"})
	r.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 1, Ready))
	is.Equal(g.updates, []string{"remove a", "set a 6"})
}

// A restarted node must restore the incarnation from the control plane and reject heartbeats of earlier ones.
func TestRestartedNodeRestoresTheIncarnation(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	r.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 1, Ready))
	restarted, g := newRegistry()
	restarted.ApplyState(committedEndpoints(r))
	is.Equal(g.updates, []string{"set a 6"})
	restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 800, Draining))
	restarted.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 2, Ready))
	is.Equal(g.updates, []string{"set a 6"})
	is.Equal(len(restarted.PendingAnnouncements()), 0)
}

// Guards against a late heartbeat of a crashed back end that takes out the one which has replaced it.
func TestLateHeartbeatOfCrashedBackEndDoesNotReplaceItsSuccessor(t *testing.T) {
	for name, arriveFirst := range map[string]bool{"before the control plane's state": true, "after it": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, _ := newRegistry()
			control := newControlPlane()
			before.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 5, Ready))
			control.exchange(before)
			before.HandleHeartbeat(heartbeatStartedAt("b", secondStart, 1, Ready))
			control.exchange(before)

			r, g, clock := startedNode()
			late := heartbeatStartedAt("a", firstStart, 6, Ready)
			if arriveFirst {
				r.HandleHeartbeat(late)
			}
			control.answer(r)
			r.Confirm()
			r.HandleHeartbeat(late)
			for sequence := range uint64(5) {
				*clock += silenceSpan / 2
				late.Sequence++
				r.HandleHeartbeat(late)
				r.HandleHeartbeat(heartbeatStartedAt("b", secondStart, 2+sequence, Ready))
				control.exchange(r)
			}
			is.Equal(g.updates, []string{"set b 6"})
			is.Equal(control.nodeTable()["s"]["b"].State, distribution.Live)
		})
	}
}

// A successor whose clock was set back must replace a back end that is silent.
func TestSuccessorWithEarlierStartReplacesSilentBackEnd(t *testing.T) {
	is := is.New(t)
	r, g, clock := startedNode()
	r.Confirm()
	r.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 1, Ready))
	r.HandleHeartbeat(heartbeatStartedAt("b", firstStart, 1, Ready))
	is.Equal(g.updates, []string{"set a 6"})
	*clock += silenceSpan
	r.HandleHeartbeat(heartbeatStartedAt("b", firstStart, 2, Ready))
	is.Equal(g.updates, []string{"set a 6", "set b 6"})
}
