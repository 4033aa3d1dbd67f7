// Package registration tracks the back end beside a node from its heartbeats and its notice that it leaves.
// It adds the back end to the gate or removes it, and announces it to the control plane. That it leaves may be
// acknowledged once the control plane has recorded it, since the registry is lost with its process.
//
// A back end that drains or has left can't become ready again, but a restart under the same ID can: an
// incarnation is identified by the ID and the start time, as far as the back end reports one.
package registration

import (
	"errors"
	"fmt"
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
	// OnHeld, if set, is called for logs with the first heartbeat of a back end that is held because of HoldUnconfirmed.
	OnHeld func(Heartbeat)
	// HoldUnconfirmed keeps the gate closed for back ends registered before the first Confirm until the control plane
	// lists them as live, since an earlier process may have acknowledged that they left. Now, which it needs, reads the
	// process's monotonic clock.
	HoldUnconfirmed bool
	Now             func() time.Duration
}

// ErrSuperseded is returned for a draining heartbeat that changes nothing, since a later one or a later incarnation
// is registered. It must not be acknowledged.
var ErrSuperseded = errors.New("a later heartbeat or incarnation of the back end is registered")

// maxDeparted bounds the remembered back ends that have left.
const maxDeparted = 64

// Registry tracks the back ends beside one node. It is safe for concurrent use.
type Registry struct {
	config Config

	mu       sync.Mutex
	backends map[string]*registeredBackend
	departed []departure
	// table is the control plane's latest one, confirmed is set once the control plane has confirmed it.
	table     distribution.EndpointTable
	confirmed bool
}

// departure is a back end that left with an incarnation; those before it are over, too.
type departure struct {
	service, id string
	incarnation uint64
	// replaced is set if the back end did not say that it leaves: another one took its address.
	replaced bool
}

// merged returns the departure of the later incarnation.
func (d departure) merged(earlier departure) departure {
	if d.incarnation == earlier.incarnation {
		d.replaced = d.replaced && earlier.replaced
		return d
	}
	if d.incarnation < earlier.incarnation {
		return earlier
	}
	return d
}

// registeredBackend is a back end with its latest heartbeat.
type registeredBackend struct {
	heartbeat Heartbeat
	// acknowledged is set once the control plane's state matches the heartbeat.
	acknowledged bool
	// unknown is set for a back end of which only its departure is known, listed once the control plane's table has
	// contained the incarnation.
	unknown, listed bool
	// challenger is another back end that may have replaced this one.
	challenger challenger
	// held is set while the gate stays closed because of HoldUnconfirmed; heldSince is when the back end was registered.
	held      bool
	heldSince time.Duration
	// record is of the incarnation's leaving.
	record Record
}

// challenger is a back end that started before the one registered at its address and sent heartbeats after it: late ones
// of one that crashed, or those of a successor whose clock was set back.
type challenger struct {
	id    string
	since time.Duration
}

// silenceSpan is how long a registered back end must have been silent, while one that started earlier sends heartbeats
// from its address, to be replaced by it: two heartbeats of the usual interval are missing.
const silenceSpan = 3 * time.Second

// New returns an empty registry.
func New(config Config) *Registry {
	return &Registry{config: config, backends: map[string]*registeredBackend{}, confirmed: !config.HoldUnconfirmed}
}

// HandleHeartbeat updates the back end, its gate and the announcements from a heartbeat. It ignores heartbeats that
// arrive out of order or belong to an earlier incarnation. A draining heartbeat may be acknowledged once the
// returned record is made, and not at all after ErrSuperseded.
func (r *Registry) HandleHeartbeat(h Heartbeat) (Record, error) {
	r.mu.Lock()
	changed := r.applyHeartbeat(h)
	record, err := r.drainRecord(h)
	r.mu.Unlock()
	if changed {
		r.notify(h)
	}
	return record, err
}

// drainRecord returns the record on which the acknowledgement of a heartbeat depends.
func (r *Registry) drainRecord(h Heartbeat) (Record, error) {
	if h.State == Ready {
		return nil, nil
	}
	entry, found := r.backends[h.ID]
	if found && entry.heartbeat.incarnation() == h.incarnation() && entry.heartbeat.State != Ready {
		return entry.record, nil
	}
	if left, departed := r.departureOf(h); departed && !left.replaced && !found {
		return nil, nil
	}
	return nil, fmt.Errorf("draining heartbeat %d of %s, started at %s: %w", h.Sequence, h.ID, h.Born, ErrSuperseded)
}

func (r *Registry) applyHeartbeat(h Heartbeat) (changed bool) {
	if _, left := r.departureOf(h); left {
		return false
	}
	entry, found := r.backends[h.ID]
	if found && h.incarnation() < entry.heartbeat.incarnation() {
		return false
	}
	if !found || h.incarnation() > entry.heartbeat.incarnation() {
		if !found && r.appearsLate(h) {
			return false
		}
		r.removeReplaced(h)
		r.register(h)
		return true
	}
	if h.Sequence <= entry.heartbeat.Sequence {
		return false
	}
	entry.challenger = challenger{}
	h.State = max(h.State, entry.heartbeat.State)
	changed = h.State != entry.heartbeat.State || h.Capacity != entry.heartbeat.Capacity
	entry.heartbeat = h
	if changed {
		entry.acknowledged = false
	}
	if entry.held && r.config.Now()-entry.heldSince >= lateHeartbeatSpan {
		entry.held = false
		changed = true
	}
	if changed {
		r.updateGate(entry)
	}
	r.updateCold(entry)
	return changed
}

// appearsLate reports whether a heartbeat of an unregistered back end is probably late, since the one registered at its
// address started later and is not known to be silent.
func (r *Registry) appearsLate(h Heartbeat) bool {
	if h.Born.IsZero() || r.config.Now == nil {
		return false
	}
	for _, other := range r.backends {
		if other.heartbeat.Address != h.Address || other.heartbeat.State == Departed || other.heartbeat.incarnation() <= h.incarnation() {
			continue
		}
		now := r.config.Now()
		if other.challenger.id != h.ID {
			other.challenger = challenger{id: h.ID, since: now}
		}
		return now-other.challenger.since < silenceSpan
	}
	return false
}

// departureOf returns the departure that makes a heartbeat a late one, false if there is none.
func (r *Registry) departureOf(h Heartbeat) (departure, bool) {
	i := slices.IndexFunc(r.departed, func(d departure) bool { return d.id == h.ID && h.incarnation() <= d.incarnation })
	if i < 0 {
		return departure{}, false
	}
	return r.departed[i], true
}

// register adds a new incarnation of a back end.
func (r *Registry) register(h Heartbeat) {
	entry := &registeredBackend{heartbeat: h, record: newRecord(), held: !r.confirmed}
	if entry.held {
		entry.heldSince = r.config.Now()
		if r.config.OnHeld != nil {
			r.config.OnHeld(h)
		}
	}
	r.backends[h.ID] = entry
	r.updateGate(entry)
	r.updateCold(entry)
}

// RecordDeparture records that a back end left at a time. An unknown back end counts as started at that time, so that
// heartbeats of incarnations that started earlier are ignored. The departure may be acknowledged once the returned
// record is made.
func (r *Registry) RecordDeparture(id string, at time.Time) Record {
	r.mu.Lock()
	entry, found := r.backends[id]
	if !found && r.hasRecordedDeparture(id) {
		r.mu.Unlock()
		return nil
	}
	if !found {
		entry = r.unknownDeparture(id, at)
	}
	alreadyDeparted := found && entry.heartbeat.State == Departed
	r.depart(entry)
	left, record := entry.heartbeat, entry.record
	r.mu.Unlock()
	if !alreadyDeparted {
		r.notify(left)
	}
	return record
}

// hasRecordedDeparture reports whether the control plane has recorded the departure of a back end that is no longer
// registered, and lists no later incarnation of it.
func (r *Registry) hasRecordedDeparture(id string) bool {
	_, listed := r.listedUnder(id)
	return !listed && slices.ContainsFunc(r.departed, func(d departure) bool { return d.id == id && !d.replaced })
}

// unknownDeparture registers a back end of which only the departure is known, with what the control plane lists about
// it. The control plane records it also if it lists nothing, since heartbeats may arrive late.
func (r *Registry) unknownDeparture(id string, at time.Time) *registeredBackend {
	h := Heartbeat{ID: id, Service: r.config.Service, Born: at}
	entry := &registeredBackend{heartbeat: h, record: newRecord(), unknown: true}
	if listed, found := r.listedUnder(id); found {
		entry.adopt(listed)
	}
	r.backends[id] = entry
	return entry
}

// listedUnder returns the table's entry of a back end, whose service need not be that of the settings.
func (r *Registry) listedUnder(id string) (distribution.Endpoint, bool) {
	if listed, found := r.table[r.config.Service][id]; found {
		return listed, true
	}
	for _, endpoints := range r.table {
		if listed, found := endpoints[id]; found && listed.Gate == r.config.GateAddress {
			return listed, true
		}
	}
	return distribution.Endpoint{}, false
}

// depart marks a back end as departed.
func (r *Registry) depart(entry *registeredBackend) {
	entry.heartbeat.State = Departed
	entry.acknowledged = false
	r.updateGate(entry)
	r.rememberDeparted(entry.heartbeat, false)
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
	r.updateGate(entry)
	draining := entry.heartbeat
	r.mu.Unlock()
	r.notify(draining)
}

// notify reports a change of a back end to the callbacks.
func (r *Registry) notify(h Heartbeat) {
	r.logChange(h)
	if r.config.OnAnnouncement != nil {
		r.config.OnAnnouncement()
	}
}

func (r *Registry) logChange(h Heartbeat) {
	if r.config.OnStateChange != nil {
		r.config.OnStateChange(h)
	}
}

// removeReplaced removes back ends that crashed and were replaced by a new one at the same address.
func (r *Registry) removeReplaced(h Heartbeat) {
	for id, other := range r.backends {
		if other.heartbeat.Address == h.Address && other.heartbeat.State != Departed {
			delete(r.backends, id)
			if id != h.ID {
				r.rememberDeparted(other.heartbeat, true)
			}
		}
	}
}

// rememberDeparted remembers that an incarnation and those before it left, for the latest maxDeparted back ends.
func (r *Registry) rememberDeparted(h Heartbeat, replaced bool) {
	left := departure{service: h.Service, id: h.ID, incarnation: h.incarnation(), replaced: replaced}
	if i := slices.IndexFunc(r.departed, func(d departure) bool { return d.id == left.id }); i >= 0 {
		left = left.merged(r.departed[i])
		r.departed = slices.Delete(r.departed, i, i+1)
	}
	r.departed = append(r.departed, left)
	if len(r.departed) > maxDeparted {
		r.departed = r.departed[1:]
	}
}

// forgetDeparture drops a departure whose incarnation was only assumed.
func (r *Registry) forgetDeparture(h Heartbeat) {
	r.departed = slices.DeleteFunc(r.departed, func(d departure) bool { return d.id == h.ID && d.incarnation == h.incarnation() })
}

// updateGate adds a back end that is ready and not held to the gate, and removes any other.
func (r *Registry) updateGate(entry *registeredBackend) {
	h := entry.heartbeat
	if entry.held && h.State == Ready {
		return
	}
	if h.State == Ready {
		r.config.Gate.SetBackend(gate.Backend{
			ID: h.ID, Service: h.Service, Address: h.Address, Capacity: h.Capacity, Zone: h.Zone, Version: h.Version,
			Incarnation: h.incarnation(),
		})
		return
	}
	r.config.Gate.RemoveBackend(h.ID)
}

func (r *Registry) updateCold(entry *registeredBackend) {
	if !entry.held {
		r.config.Gate.SetColdRemaining(entry.heartbeat.ID, entry.heartbeat.ColdRemaining)
	}
}

// PendingAnnouncements returns the back ends whose state the control plane hasn't acknowledged.
func (r *Registry) PendingAnnouncements() []distribution.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []distribution.Endpoint
	for _, entry := range r.backends {
		// What the control plane lists about an unknown one shows once it has confirmed the state.
		undecided := entry.unknown && !r.confirmed
		if !entry.acknowledged && !undecided && entry.heartbeat.Service != "" {
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
