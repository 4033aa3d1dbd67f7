// Package registration tracks the back end beside a node from its heartbeats and its notice that it leaves.
// It adds the back end to the gate or removes it, and announces it to the control plane.
//
// A back end that drains or has left can't become ready again, but a restart under the same ID can: an
// incarnation is identified by the ID and the start time, as far as the back end reports one.
package registration

import (
	"slices"
	"sync"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/gate"
)

// State is the state that a back end reports. It only advances during one incarnation.
type State uint8

const (
	// Ready back ends accept calls.
	Ready State = iota
	// Draining back ends complete the calls in flight and accept no new ones.
	Draining
	// Departed back ends have left.
	Departed
)

// Heartbeat is one report of a back end about itself.
type Heartbeat struct {
	Service  string
	ID       string
	Address  string
	Zone     string
	Capacity int
	// Version is the version of the back end's software, empty if not reported.
	Version string
	// ColdRemaining is the remaining time in which the back end needs a reduced rate of calls (is cold), zero if it
	// accepts its usual rate (is warm).
	ColdRemaining time.Duration
	State         State
	// Sequence increases with each heartbeat of an incarnation, so that late ones are recognized.
	Sequence uint64
	// Born is the start time of the back end, the zero time if not reported. Sequence restarts with it.
	Born time.Time
}

// incarnation returns the start time in Unix milliseconds, or unknownIncarnation.
func (h Heartbeat) incarnation() uint64 {
	if h.Born.IsZero() {
		return unknownIncarnation
	}
	return uint64(max(unknownIncarnation, h.Born.UnixMilli()))
}

// unknownIncarnation is the incarnation of back ends that report no start time.
const unknownIncarnation = 1

// Gate is the part of a gate that a Registry controls.
type Gate interface {
	SetBackend(gate.Backend)
	RemoveBackend(id string)
	// SetColdRemaining is called on each heartbeat with the remaining time in which the back end must get a
	// reduced rate of calls, zero if it is warm.
	SetColdRemaining(id string, remaining time.Duration)
}

// Config configures a Registry.
type Config struct {
	Gate Gate
	// Service is the service of the back ends beside the node.
	Service string
	// GateAddress is the address at which other nodes reach the back end's gate.
	GateAddress string
	// OnAnnouncement, if set, is called when PendingAnnouncements has changed, so that the node can send them.
	OnAnnouncement func()
	// OnStateChange, if set, is called for logs when a back end is added, leaves, or changes its state or
	// capacity, with its latest heartbeat.
	OnStateChange func(Heartbeat)
}

// maxDeparted bounds the remembered incarnations that have left.
const maxDeparted = 64

// Registry tracks the back ends beside one node. It is safe for concurrent use.
type Registry struct {
	config Config

	mu       sync.Mutex
	backends map[string]*registeredBackend
	departed []incarnationKey
}

// incarnationKey identifies one incarnation of a back end.
type incarnationKey struct {
	id          string
	incarnation uint64
}

// registeredBackend is a back end with its latest heartbeat.
type registeredBackend struct {
	heartbeat Heartbeat
	// acknowledged is set once the control plane's state matches the heartbeat.
	acknowledged bool
}

// New returns an empty registry.
func New(config Config) *Registry {
	return &Registry{config: config, backends: map[string]*registeredBackend{}}
}

// HandleHeartbeat updates the back end, its gate and the announcements from a heartbeat. It ignores heartbeats that
// arrive out of order or belong to an earlier incarnation.
func (r *Registry) HandleHeartbeat(h Heartbeat) {
	r.mu.Lock()
	changed := r.applyHeartbeat(h)
	r.mu.Unlock()
	if changed {
		r.notify(h)
	}
}

func (r *Registry) applyHeartbeat(h Heartbeat) (changed bool) {
	if slices.ContainsFunc(r.departed, func(e incarnationKey) bool { return e.id == h.ID && h.incarnation() <= e.incarnation }) {
		return false
	}
	entry, found := r.backends[h.ID]
	if found && h.incarnation() < entry.heartbeat.incarnation() {
		return false
	}
	if !found || h.incarnation() > entry.heartbeat.incarnation() {
		r.removeReplaced(h)
		r.backends[h.ID] = &registeredBackend{heartbeat: h}
		r.updateGate(h)
		r.config.Gate.SetColdRemaining(h.ID, h.ColdRemaining)
		return true
	}
	if h.Sequence <= entry.heartbeat.Sequence {
		return false
	}
	h.State = max(h.State, entry.heartbeat.State)
	changed = h.State != entry.heartbeat.State || h.Capacity != entry.heartbeat.Capacity
	entry.heartbeat = h
	if changed {
		entry.acknowledged = false
		r.updateGate(h)
	}
	r.config.Gate.SetColdRemaining(h.ID, h.ColdRemaining)
	return changed
}

// RecordDeparture records that a back end left at a time. An unknown back end counts as started at that time, so that
// heartbeats of incarnations that started earlier are ignored.
func (r *Registry) RecordDeparture(id string, at time.Time) {
	r.mu.Lock()
	entry, found := r.backends[id]
	if !found {
		entry = &registeredBackend{heartbeat: Heartbeat{ID: id, Service: r.config.Service, Born: at}}
		r.backends[id] = entry
	}
	alreadyDeparted := entry.heartbeat.State == Departed
	entry.heartbeat.State = Departed
	entry.acknowledged = false
	r.updateGate(entry.heartbeat)
	r.rememberDeparted(entry.heartbeat)
	left := entry.heartbeat
	r.mu.Unlock()
	if !alreadyDeparted {
		r.notify(left)
	}
}

// RecordLeaving records that an incarnation of a back end has stated that it accepts no new calls, as a
// draining heartbeat does.
func (r *Registry) RecordLeaving(id string, incarnation uint64) {
	r.mu.Lock()
	entry, found := r.backends[id]
	if !found || entry.heartbeat.incarnation() != incarnation || entry.heartbeat.State != Ready {
		r.mu.Unlock()
		return
	}
	entry.heartbeat.State = Draining
	entry.acknowledged = false
	r.updateGate(entry.heartbeat)
	draining := entry.heartbeat
	r.mu.Unlock()
	r.notify(draining)
}

// notify reports a change of a back end to the callbacks.
func (r *Registry) notify(h Heartbeat) {
	if r.config.OnStateChange != nil {
		r.config.OnStateChange(h)
	}
	if r.config.OnAnnouncement != nil {
		r.config.OnAnnouncement()
	}
}

// removeReplaced removes back ends that crashed and were replaced by a new one at the same address.
func (r *Registry) removeReplaced(h Heartbeat) {
	for id, other := range r.backends {
		if other.heartbeat.Address == h.Address && other.heartbeat.State != Departed {
			delete(r.backends, id)
			if id != h.ID {
				r.rememberDeparted(other.heartbeat)
			}
		}
	}
}

// rememberDeparted remembers an incarnation that left, up to the latest maxDeparted ones.
func (r *Registry) rememberDeparted(h Heartbeat) {
	key := incarnationKey{id: h.ID, incarnation: h.incarnation()}
	if !slices.Contains(r.departed, key) {
		r.departed = append(r.departed, key)
	}
	if len(r.departed) > maxDeparted {
		r.departed = r.departed[1:]
	}
}

func (r *Registry) updateGate(h Heartbeat) {
	if h.State == Ready {
		r.config.Gate.SetBackend(gate.Backend{
			ID: h.ID, Service: h.Service, Address: h.Address, Capacity: h.Capacity, Zone: h.Zone, Version: h.Version,
			Incarnation: h.incarnation(),
		})
		return
	}
	r.config.Gate.RemoveBackend(h.ID)
}

// PendingAnnouncements returns the back ends whose state the control plane hasn't acknowledged.
func (r *Registry) PendingAnnouncements() []distribution.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []distribution.Endpoint
	for _, entry := range r.backends {
		if !entry.acknowledged && entry.heartbeat.Service != "" {
			all = append(all, r.endpoint(entry.heartbeat))
		}
	}
	return all
}

func (r *Registry) endpoint(h Heartbeat) distribution.Endpoint {
	states := map[State]distribution.EndpointState{Ready: distribution.Live, Draining: distribution.Leaving, Departed: distribution.Removed}
	return distribution.Endpoint{
		Service: h.Service, ID: h.ID, Incarnation: h.incarnation(), Address: h.Address, Zone: h.Zone,
		Gate: r.config.GateAddress, Capacity: h.Capacity, State: states[h.State], Version: h.Version,
	}
}

// ApplyState marks back ends whose state the control plane's endpoints contain as acknowledged, and forgets
// removed ones. If no back end is known and none has left, it restores those registered at this gate.
func (r *Registry) ApplyState(table distribution.EndpointTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, entry := range r.backends {
		listed, found := table[entry.heartbeat.Service][id]
		announcedState := r.endpoint(entry.heartbeat).State
		matches := found && listed.State == announcedState && listed.Incarnation >= entry.heartbeat.incarnation()
		entry.acknowledged = matches || (!found && announcedState == distribution.Removed)
		if entry.acknowledged && announcedState == distribution.Removed {
			delete(r.backends, id)
		}
	}
	if len(r.backends) == 0 && len(r.departed) == 0 {
		r.restoreFromState(table)
	}
}

// restoreFromState adds the live back ends that the control plane lists at this gate, usually one.
func (r *Registry) restoreFromState(table distribution.EndpointTable) {
	for _, endpoints := range table {
		for _, listed := range endpoints {
			if listed.Gate == r.config.GateAddress && listed.State == distribution.Live {
				h := Heartbeat{Service: listed.Service, ID: listed.ID, Address: listed.Address, Zone: listed.Zone, Capacity: listed.Capacity, Version: listed.Version}
				if listed.Incarnation > unknownIncarnation {
					h.Born = time.UnixMilli(int64(listed.Incarnation))
				}
				r.backends[h.ID] = &registeredBackend{heartbeat: h, acknowledged: true}
				r.updateGate(h)
			}
		}
	}
}
