package registration

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/distribution"

	"github.com/matryer/is"
)

// controlPlane records announcements as the leader does.
type controlPlane struct{ state *distribution.State }

func newControlPlane() *controlPlane { return &controlPlane{state: &distribution.State{}} }

// record commits a registry's announcements.
func (c *controlPlane) record(r *Registry) { c.commit(r.PendingAnnouncements()) }

func (c *controlPlane) commit(announced []distribution.Endpoint) {
	c.state = c.state.ChangeEndpoints(c.state.Endpoints.ChangesFrom(announced))
}

// nodeTable returns the table as nodes get it, without removed back ends.
func (c *controlPlane) nodeTable() distribution.EndpointTable {
	table := distribution.EndpointTable{}
	for service, byID := range c.state.Endpoints {
		table[service] = map[string]distribution.Endpoint{}
		for id, endpoint := range byID {
			if endpoint.State != distribution.Removed {
				table[service][id] = endpoint
			}
		}
	}
	return table
}

// answer passes on what the control plane answers to a registry's ping.
func (c *controlPlane) answer(r *Registry) {
	ended := c.state.Endpoints.Ended(r.PendingAnnouncements())
	r.ApplyState(c.nodeTable())
	r.ApplyEnded(ended)
}

// exchange records a registry's announcements until it has none, at most ten times.
func (c *controlPlane) exchange(r *Registry) {
	for range 10 {
		c.record(r)
		c.answer(r)
	}
}

// startedNode returns the registry of a node that has started again and not reached the control plane yet.
func startedNode() (r *Registry, g *recordingGate, clock *time.Duration) {
	g = &recordingGate{}
	clock = new(time.Duration)
	r = New(Config{
		Gate: g, GateAddress: "10.0.0.1:90", Service: "s", HoldUnconfirmed: true,
		Now: func() time.Duration { return *clock },
	})
	return r, g, clock
}

// Guards against an acknowledged departure that only the memory of one node holds.
func TestDepartureIsRecordedOnceControlPlaneHasIt(t *testing.T) {
	for name, leave := range map[string]func(*Registry) Record{
		"deregistered": func(r *Registry) Record { return r.RecordDeparture("a", time.Now()) },
		"draining": func(r *Registry) Record {
			recorded, err := r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 9, Draining))
			is.New(t).NoErr(err)
			return recorded
		},
	} {
		for _, known := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				r, _ := newRegistry()
				control := newControlPlane()
				r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
				live := r.PendingAnnouncements()
				if known {
					control.exchange(r)
				}
				recorded := leave(r)
				is.True(!recorded.Recorded())
				r.ApplyState(control.nodeTable())
				is.True(!recorded.Recorded()) // the control plane has not heard of it
				control.record(r)
				is.True(!recorded.Recorded())
				control.answer(r)
				is.True(recorded.Recorded())
				control.exchange(r)
				control.commit(live) // an announcement that arrives late
				restarted, g, _ := startedNode()
				restarted.ApplyState(control.nodeTable())
				restarted.Confirm()
				for _, update := range g.updates {
					is.True(update != "set a 6")
				}
			})
		}
	}
}

// Guards against a late heartbeat that makes a restarted node admit a back end whose departure was acknowledged.
func TestLateHeartbeatAfterRestartDoesNotBringBackEndBack(t *testing.T) {
	for _, state := range []State{Draining, Departed} {
		t.Run("", func(t *testing.T) {
			is := is.New(t)
			r, _ := newRegistry()
			control := newControlPlane()
			r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
			control.exchange(r)
			if state == Draining {
				r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 9, Draining))
			} else {
				r.RecordDeparture("a", time.Now())
			}
			control.exchange(r)

			restarted, g, clock := startedNode()
			restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 7, Ready))
			*clock += lateHeartbeatSpan / 2
			restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 8, Ready))
			is.Equal(g.updates, nil) // held until the control plane is reached
			control.exchange(restarted)
			restarted.Confirm()
			restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 8, Ready))
			control.exchange(restarted)
			for _, update := range g.updates {
				is.Equal(update, "remove a")
			}
			recorded, err := restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 9, Draining))
			is.NoErr(err)
			is.True(recorded.Recorded())
			is.Equal(len(restarted.PendingAnnouncements()), 0)
		})
	}
}

// Guards against a late heartbeat that opens the gate from the first confirmation until control's answer.
func TestHeldBackEndIsAdmittedOnceItIsListed(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	control := newControlPlane()
	r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
	control.exchange(r)
	r.RecordDeparture("a", time.Now())
	control.exchange(r)

	restarted, g, _ := startedNode()
	restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 2, Ready))
	restarted.ApplyState(control.nodeTable())
	restarted.Confirm()
	is.Equal(g.updates, nil)
	control.exchange(restarted)
	is.Equal(g.updates, []string{"remove a"})

	restarted, g, _ = startedNode()
	restarted.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 1, Ready))
	restarted.ApplyState(control.nodeTable())
	restarted.Confirm()
	control.record(restarted)
	control.answer(restarted)
	is.Equal(g.updates, []string{"set a 6"})
	is.Equal(g.coldUpdates, []string{"a 0s"})
}

// Guards against a late heartbeat of an earlier incarnation in place of the one that the control plane lists.
func TestLateHeartbeatOfEarlierIncarnationDoesNotReplaceListedOne(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	control := newControlPlane()
	r.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 1, Ready))
	control.exchange(r)
	restarted, g, _ := startedNode()
	restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 80, Ready))
	control.answer(restarted)
	restarted.Confirm()
	is.Equal(g.updates[len(g.updates)-1], "set a 6")
	is.Equal(len(restarted.PendingAnnouncements()), 0)
	_, err := restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 81, Draining))
	is.True(errors.Is(err, ErrSuperseded))
}

// A node that has not reached the control plane must admit a back end that keeps sending heartbeats.
func TestUnconfirmedNodeAdmitsBackEndThatKeepsSendingHeartbeats(t *testing.T) {
	is := is.New(t)
	r, g, clock := startedNode()
	r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
	is.Equal(g.updates, nil)
	*clock += lateHeartbeatSpan
	r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 2, Ready))
	is.Equal(g.updates, []string{"set a 6"})
	is.Equal(g.coldUpdates, []string{"a 0s"})
}

// A successor must be admitted at once while the departure before it is still unrecorded, and after a restart.
func TestSuccessorIsAdmittedAtOnce(t *testing.T) {
	successors := map[string]Heartbeat{
		"same ID":    heartbeatStartedAt("a", secondStart, 1, Ready),
		"another ID": heartbeatStartedAt("b", secondStart, 1, Ready),
	}
	for name, successor := range successors {
		for _, restart := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				r, g := newRegistry()
				control := newControlPlane()
				r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
				control.exchange(r)
				r.RecordDeparture("a", firstStart.Add(time.Second))
				if restart {
					control.exchange(r)
					r, g, _ = startedNode()
					r.ApplyState(control.nodeTable())
					r.Confirm()
				}
				r.HandleHeartbeat(successor)
				is.Equal(g.updates[len(g.updates)-1], "set "+successor.ID+" 6")
				control.exchange(r)
				is.Equal(control.nodeTable()["s"][successor.ID].State, distribution.Live)
				is.Equal(len(control.nodeTable()["s"]), 1)
				is.Equal(len(r.PendingAnnouncements()), 0)
				is.Equal(len(r.backends), 1)
			})
		}
	}
}

// A departure that reaches a restarted node before the control plane's state must end the listed incarnation, whatever
// the node's clock says.
func TestDepartureAtRestartedNodeEndsListedIncarnation(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, time.Hour} {
		is := is.New(t)
		r, _ := newRegistry()
		control := newControlPlane()
		r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
		control.exchange(r)
		restarted, g, _ := startedNode()
		recorded := restarted.RecordDeparture("a", firstStart.Add(offset))
		control.answer(restarted)
		restarted.Confirm()
		is.True(!recorded.Recorded())
		control.exchange(restarted)
		is.True(recorded.Recorded())
		is.Equal(len(control.nodeTable()["s"]), 0)
		restarted.HandleHeartbeat(heartbeatStartedAt("a", firstStart.Add(time.Millisecond), 1, Ready))
		is.Equal(g.updates[len(g.updates)-1], "set a 6")
	}
}

// Guards against a late heartbeat of a back end that only its departure made known, also at a node that restarts.
func TestUnknownAndRepeatedDeparturesAreRecorded(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	control := newControlPlane()
	r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
	control.exchange(r)
	r.RecordDeparture("a", time.Now())
	control.exchange(r)
	is.True(r.RecordDeparture("a", time.Now()).Recorded()) // this node knows that it is recorded
	is.Equal(len(r.PendingAnnouncements()), 0)
	for _, id := range []string{"a", "unknown"} {
		restarted, _, _ := startedNode()
		recorded := restarted.RecordDeparture(id, secondStart)
		restarted.ApplyState(control.nodeTable())
		restarted.Confirm()
		is.True(!recorded.Recorded())
		control.exchange(restarted)
		is.True(recorded.Recorded())
		is.Equal(len(restarted.PendingAnnouncements()), 0)

		again, g, _ := startedNode()
		again.ApplyState(control.nodeTable())
		again.Confirm()
		again.HandleHeartbeat(heartbeatStartedAt(id, secondStart.Add(-time.Second), 1, Ready))
		control.exchange(again)
		is.Equal(g.updates, []string{"set " + id + " 6", "remove " + id})
		is.Equal(len(control.nodeTable()["s"]), 0)
		again.HandleHeartbeat(heartbeatStartedAt(id, secondStart.Add(time.Millisecond), 1, Ready))
		control.exchange(again)
		is.Equal(control.nodeTable()["s"][id].State, distribution.Live)
		again.RecordDeparture(id, time.Now())
		control.exchange(again)
	}
}

// The memory of departures must stay bounded.
func TestRegistryForgetsDepartures(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	control := newControlPlane()
	leave := func(id string, number int) {
		r.HandleHeartbeat(heartbeatStartedAt(id, firstStart.Add(time.Duration(number)*time.Second), 1, Ready))
		control.exchange(r)
		r.RecordDeparture(id, time.Now())
		control.exchange(r)
		r.RecordDeparture(id, time.Now())
	}
	leave("other", 0)
	for number := range 3 * maxDeparted {
		leave("a", number)
	}
	is.Equal(len(r.backends), 0)
	is.Equal(len(r.departed), 2) // restarts of one back end do not displace another
	is.Equal(len(control.state.Endpoints["s"]), 2)
	for number := range 3 * maxDeparted {
		leave(fmt.Sprint("b", number), number)
	}
	is.Equal(len(r.departed), maxDeparted)
}

// Guards against a departure that counts as recorded since the node's configuration does not use the service any more.
func TestDepartureIsNotRecordedByServiceThatLeavesTheTable(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	control := newControlPlane()
	r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
	control.exchange(r)
	recorded := r.RecordDeparture("a", time.Now())
	r.ApplyState(distribution.EndpointTable{"other": nil})
	is.True(!recorded.Recorded())
	is.Equal(len(r.PendingAnnouncements()), 1)
	control.record(r)
	r.ApplyState(distribution.EndpointTable{"other": nil})
	r.ApplyEnded(control.state.Endpoints.Ended(r.PendingAnnouncements()))
	is.True(recorded.Recorded())
	is.Equal(len(r.PendingAnnouncements()), 0)
}

// Guards against a repeated deregistration that turns away a successor under the same ID, after the clock was set back.
func TestRepeatedDeregistrationDoesNotTurnAwaySuccessor(t *testing.T) {
	is := is.New(t)
	r, g := newRegistry()
	control := newControlPlane()
	r.HandleHeartbeat(heartbeatStartedAt("a", firstStart, 1, Ready))
	control.exchange(r)
	r.RecordDeparture("a", secondStart)
	control.exchange(r)
	is.True(r.RecordDeparture("a", secondStart.Add(time.Hour)).Recorded())
	r.HandleHeartbeat(heartbeatStartedAt("a", secondStart, 1, Ready))
	is.Equal(g.updates[len(g.updates)-1], "set a 6")
	control.exchange(r)
	is.Equal(control.nodeTable()["s"]["a"].State, distribution.Live)
}

// Guards against a restarted node that records the departure of a back end under another service than it has.
func TestDepartureAtRestartedNodeEndsBackEndOfAnotherService(t *testing.T) {
	for _, afterState := range []bool{false, true} {
		is := is.New(t)
		r, _ := newRegistry()
		control := newControlPlane()
		h := heartbeatStartedAt("a", firstStart, 1, Ready)
		h.Service = "another"
		r.HandleHeartbeat(h)
		control.exchange(r)
		restarted, _, _ := startedNode()
		restarted.RecordDeparture("b", firstStart) // so that nothing is restored
		if afterState {
			restarted.ApplyState(control.nodeTable())
		}
		recorded := restarted.RecordDeparture("a", secondStart)
		restarted.ApplyState(control.nodeTable())
		restarted.Confirm()
		is.True(!recorded.Recorded())
		control.exchange(restarted)
		is.True(recorded.Recorded())
		is.Equal(len(control.nodeTable()["another"]), 0)
	}
}
