// Package registration knows the back end beside a node from what it says itself: its
// heartbeats and its word that it leaves. It lets the gate admit calls for it or not, and
// announces it to the control plane.
//
// A back end that has said it leaves, or has left, does not come back under its ID.
package registration

import (
	"slices"
	"sync"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/gate"
)

// State is what a back end says of itself.
type State uint8

const (
	// Ready back ends take calls.
	Ready State = iota
	// Draining back ends finish what they have.
	Draining
	// Gone back ends have left.
	Gone
)

// Heartbeat is one word of a back end.
type Heartbeat struct {
	Service  string
	ID       string
	Address  string
	Zone     string
	Capacity int
	// Version is that of the back end's software, empty if it does not say.
	Version string
	// Cold is for how much longer the back end is cold, zero if it is not.
	Cold  time.Duration
	State State
	// Sequence grows with each word of a back end; late ones are recognised by it.
	Sequence uint64
}

// Gate is the part of a gate that registration drives.
type Gate interface {
	SetBackend(gate.Backend)
	RemoveBackend(id string)
	// HeardCold is told with each heartbeat for how much longer a back end is cold.
	HeardCold(id string, remaining time.Duration)
}

// Config sets up a Registry.
type Config struct {
	Gate Gate
	// Service is that of the back ends beside the node.
	Service string
	// GateAddress is announced as the way to the back end.
	GateAddress string
	// Changed, if set, is called when there is something new to announce.
	Changed func()
	// OnChange, if set, is told each change, for logs.
	OnChange func(Heartbeat)
}

// maxEnded is how many back ends that have left are remembered.
const maxEnded = 64

// Registry holds the back ends beside one node. It is safe for concurrent use.
type Registry struct {
	config Config

	mu      sync.Mutex
	current map[string]*member
	ended   []string
}

type member struct {
	heartbeat Heartbeat
	// known is set once the control plane is known to show the back end as it is.
	known bool
}

// New returns an empty registry.
func New(config Config) *Registry {
	return &Registry{config: config, current: map[string]*member{}}
}

// Take takes in a heartbeat.
func (r *Registry) Take(h Heartbeat) {
	r.mu.Lock()
	changed := r.take(h)
	r.mu.Unlock()
	if !changed {
		return
	}
	if r.config.OnChange != nil {
		r.config.OnChange(h)
	}
	if r.config.Changed != nil {
		r.config.Changed()
	}
}

func (r *Registry) take(h Heartbeat) (changed bool) {
	if slices.Contains(r.ended, h.ID) {
		return false
	}
	held, found := r.current[h.ID]
	if !found {
		r.replaceOthers(h)
		r.current[h.ID] = &member{heartbeat: h}
		r.apply(h)
		r.config.Gate.HeardCold(h.ID, h.Cold)
		return true
	}
	if h.Sequence <= held.heartbeat.Sequence {
		return false
	}
	h.State = max(h.State, held.heartbeat.State)
	changed = h.State != held.heartbeat.State || h.Capacity != held.heartbeat.Capacity
	held.heartbeat = h
	if changed {
		held.known = false
		r.apply(h)
	}
	r.config.Gate.HeardCold(h.ID, h.Cold)
	return changed
}

// Leave takes in that a back end has left.
func (r *Registry) Leave(id string) {
	r.mu.Lock()
	held, found := r.current[id]
	if !found {
		held = &member{heartbeat: Heartbeat{ID: id, Service: r.config.Service}}
		r.current[id] = held
	}
	already := held.heartbeat.State == Gone
	held.heartbeat.State = Gone
	held.known = false
	r.apply(held.heartbeat)
	if !slices.Contains(r.ended, id) {
		r.ended = append(r.ended, id)
	}
	if len(r.ended) > maxEnded {
		r.ended = r.ended[1:]
	}
	left := held.heartbeat
	r.mu.Unlock()
	if already {
		return
	}
	if r.config.OnChange != nil {
		r.config.OnChange(left)
	}
	if r.config.Changed != nil {
		r.config.Changed()
	}
}

// replaceOthers ends the back ends whose place a new one takes: one of them crashed.
func (r *Registry) replaceOthers(h Heartbeat) {
	for id, other := range r.current {
		if other.heartbeat.Address == h.Address && other.heartbeat.State != Gone {
			delete(r.current, id)
			r.ended = append(r.ended, id)
		}
	}
}

func (r *Registry) apply(h Heartbeat) {
	if h.State == Ready {
		r.config.Gate.SetBackend(gate.Backend{
			ID: h.ID, Service: h.Service, Address: h.Address, Capacity: h.Capacity, Zone: h.Zone, Version: h.Version,
		})
		return
	}
	r.config.Gate.RemoveBackend(h.ID)
}

// Announcements returns the back ends that the control plane is not known to show as they
// are.
func (r *Registry) Announcements() []distribution.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []distribution.Endpoint
	for _, held := range r.current {
		if !held.known && held.heartbeat.Service != "" {
			all = append(all, r.endpoint(held.heartbeat))
		}
	}
	return all
}

func (r *Registry) endpoint(h Heartbeat) distribution.Endpoint {
	states := map[State]distribution.EndpointState{Ready: distribution.Live, Draining: distribution.Leaving, Gone: distribution.Removed}
	return distribution.Endpoint{
		Service: h.Service, ID: h.ID, Incarnation: 1, Address: h.Address, Zone: h.Zone,
		Gate: r.config.GateAddress, Capacity: h.Capacity, State: states[h.State], Version: h.Version,
	}
}

// Observe takes in the state that the control plane shows. Before the first heartbeat the
// node knows its back end from there.
func (r *Registry) Observe(table distribution.EndpointTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, held := range r.current {
		shown, found := table[held.heartbeat.Service][id]
		wanted := r.endpoint(held.heartbeat).State
		held.known = (found && shown.State == wanted) || (!found && wanted == distribution.Removed)
		if held.known && wanted == distribution.Removed {
			delete(r.current, id)
		}
	}
	if len(r.current) == 0 && len(r.ended) == 0 {
		r.restore(table)
	}
}

// restore lets the gate serve the back end that the control plane shows at it.
func (r *Registry) restore(table distribution.EndpointTable) {
	for _, endpoints := range table {
		for _, shown := range endpoints {
			if shown.Gate == r.config.GateAddress && shown.State == distribution.Live {
				h := Heartbeat{Service: shown.Service, ID: shown.ID, Address: shown.Address, Zone: shown.Zone, Capacity: shown.Capacity, Version: shown.Version}
				r.current[h.ID] = &member{heartbeat: h, known: true}
				r.apply(h)
			}
		}
	}
}
