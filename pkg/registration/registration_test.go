package registration

import (
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/gate"

	"github.com/matryer/is"
)

// recordingGate records the updates that it receives.
type recordingGate struct {
	updates     []string
	coldUpdates []string
}

func (g *recordingGate) SetBackend(b gate.Backend) {
	g.updates = append(g.updates, fmt.Sprintf("set %s %d", b.ID, b.Capacity))
}
func (g *recordingGate) SetColdRemaining(id string, remaining time.Duration) {
	g.coldUpdates = append(g.coldUpdates, fmt.Sprint(id, " ", remaining))
}

func (g *recordingGate) RemoveBackend(id string) { g.updates = append(g.updates, "remove "+id) }

func newRegistry() (*Registry, *recordingGate) {
	g := &recordingGate{}
	return New(Config{Gate: g, GateAddress: "10.0.0.1:90", Service: "s"}), g
}

func heartbeat(id string, sequence uint64, state State) Heartbeat {
	return Heartbeat{Service: "s", ID: id, Address: "10.0.0.1:80", Capacity: 6, State: state, Sequence: sequence}
}

// committedEndpoints returns the control plane's endpoints after the announcements were committed.
func committedEndpoints(r *Registry) distribution.EndpointTable {
	state := &distribution.State{}
	state = state.ChangeEndpoints(state.Endpoints.ChangesFrom(r.PendingAnnouncements()))
	return state.Endpoints
}

func TestHeartbeatsAreAnnouncedUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	r, g := newRegistry()
	r.HandleHeartbeat(heartbeat("a", 1, Ready))
	r.HandleHeartbeat(heartbeat("a", 2, Ready))
	is.Equal(g.updates, []string{"set a 6"}) // an unchanged heartbeat causes no update
	is.Equal(len(r.PendingAnnouncements()), 1)
	is.Equal(r.PendingAnnouncements()[0].Gate, "10.0.0.1:90")
	r.ApplyState(committedEndpoints(r))
	is.Equal(len(r.PendingAnnouncements()), 0)
	r.HandleHeartbeat(heartbeat("a", 3, Draining))
	is.Equal(r.PendingAnnouncements()[0].State, distribution.Leaving)
}

// A late heartbeat must not undo a newer state.
func TestLateHeartbeatsChangeNothing(t *testing.T) {
	is := is.New(t)
	r, g := newRegistry()
	r.HandleHeartbeat(heartbeat("a", 5, Draining))
	r.HandleHeartbeat(heartbeat("a", 4, Ready))
	r.HandleHeartbeat(heartbeat("a", 6, Ready)) // the state of an incarnation only advances
	is.Equal(r.PendingAnnouncements()[0].State, distribution.Leaving)
	r.RecordDeparture("a", time.Now())
	r.HandleHeartbeat(heartbeat("a", 7, Ready))
	is.Equal(r.PendingAnnouncements()[0].State, distribution.Removed)
	for _, update := range g.updates {
		is.Equal(update, "remove a")
	}
}

// A crashed back end sends nothing, so the next one at its address must replace it.
func TestNewBackEndReplacesCrashedOneAtItsAddress(t *testing.T) {
	is := is.New(t)
	r, g := newRegistry()
	r.HandleHeartbeat(heartbeat("a", 1, Ready))
	r.HandleHeartbeat(heartbeat("b", 1, Ready))
	is.Equal(len(r.PendingAnnouncements()), 1)
	is.Equal(r.PendingAnnouncements()[0].ID, "b")
	r.HandleHeartbeat(heartbeat("a", 2, Ready))
	is.Equal(g.updates, []string{"set a 6", "set b 6"})
	table := (&distribution.State{}).ChangeEndpoints([]distribution.Endpoint{
		{Service: "s", ID: "a", Incarnation: 1, Gate: "10.0.0.1:90"}}).Endpoints
	changes := table.ChangesFrom(r.PendingAnnouncements())
	is.Equal(len(changes), 2) // b is added, a removed
}

// A restarted node must admit calls for its back end before the first heartbeat.
func TestRestartedNodeRestoresItsBackEnd(t *testing.T) {
	is := is.New(t)
	r, g := newRegistry()
	table := (&distribution.State{}).ChangeEndpoints([]distribution.Endpoint{
		{Service: "s", ID: "a", Incarnation: 1, Address: "10.0.0.1:80", Gate: "10.0.0.1:90", Capacity: 6},
		{Service: "s", ID: "z", Incarnation: 1, Address: "10.0.0.2:80", Gate: "10.0.0.2:90", Capacity: 6},
	}).Endpoints
	r.ApplyState(table)
	is.Equal(g.updates, []string{"set a 6"})
	r.RecordDeparture("a", time.Now())
	is.Equal(r.PendingAnnouncements()[0].State, distribution.Removed)
	r.ApplyState(table)
	is.Equal(g.updates, []string{"set a 6", "remove a"}) // not restored after it left
}

func TestUnknownBackEndThatLeavesIsAnnounced(t *testing.T) {
	is := is.New(t)
	r, _ := newRegistry()
	r.RecordDeparture("x", time.Now())
	is.Equal(r.PendingAnnouncements()[0].State, distribution.Removed)
	r.ApplyState(distribution.EndpointTable{})
	is.Equal(len(r.PendingAnnouncements()), 1) // the control plane has not recorded it
	control := newControlPlane()
	control.exchange(r)
	is.Equal(len(r.PendingAnnouncements()), 0)
	is.Equal(control.state.Endpoints["s"]["x"].State, distribution.Removed)
}

// The gate must receive the remaining cold time of each heartbeat, except late ones.
func TestHeartbeatsReportRemainingColdTime(t *testing.T) {
	is := is.New(t)
	r, g := newRegistry()
	cold := func(sequence uint64, remaining time.Duration) {
		h := heartbeat("a", sequence, Ready)
		h.ColdRemaining = remaining
		r.HandleHeartbeat(h)
	}
	cold(1, 2*time.Second)
	cold(3, 500*time.Millisecond)
	cold(2, time.Second)
	cold(4, 0)
	is.Equal(g.coldUpdates, []string{"a 2s", "a 500ms", "a 0s"})
}

// A back end that states in a response that it leaves counts as draining: later heartbeats do not make it ready again, a
// later incarnation is ready.
func TestLeavingStatementDrainsOneIncarnation(t *testing.T) {
	is := is.New(t)
	r, g := newRegistry()
	born := time.UnixMilli(1_000_000)
	beat := func(sequence uint64, born time.Time) Heartbeat {
		h := heartbeat("a", sequence, Ready)
		h.Born = born
		return h
	}
	r.HandleHeartbeat(beat(1, born))
	r.RecordLeaving("a", uint64(born.UnixMilli())+1) // another incarnation
	is.Equal(r.PendingAnnouncements()[0].State, distribution.Live)
	r.RecordLeaving("a", uint64(born.UnixMilli()))
	r.HandleHeartbeat(beat(2, born))
	is.Equal(r.PendingAnnouncements()[0].State, distribution.Leaving)
	is.Equal(g.updates, []string{"set a 6", "remove a"})
	r.HandleHeartbeat(beat(1, born.Add(time.Second)))
	is.Equal(r.PendingAnnouncements()[0].State, distribution.Live)
}
