package registration

import (
	"time"

	"bramblelift/pkg/distribution"
)

// lateHeartbeatSpan is how long a held back end must have sent heartbeats to be admitted without the control plane. A
// heartbeat that was delayed on its way is not repeated that long.
const lateHeartbeatSpan = time.Second

// Confirm records that the control plane has confirmed the state last passed to ApplyState.
func (r *Registry) Confirm() {
	r.mu.Lock()
	first := !r.confirmed
	r.confirmed = true
	for _, entry := range r.backends {
		r.admitListed(entry)
	}
	r.mu.Unlock()
	if first && r.config.OnAnnouncement != nil {
		r.config.OnAnnouncement()
	}
}

// ApplyState marks back ends whose state the control plane's endpoints contain as acknowledged, and forgets
// removed ones. If no back end is known and none has left, it restores those registered at this gate.
func (r *Registry) ApplyState(table distribution.EndpointTable) {
	r.mu.Lock()
	r.table = table
	var changed []Heartbeat
	for _, entry := range r.backends {
		before := entry.heartbeat
		r.applyTable(entry)
		if entry.heartbeat.State != before.State {
			changed = append(changed, entry.heartbeat)
		}
	}
	r.dropHeldLate()
	r.repeatDepartures()
	if len(r.backends) == 0 && len(r.departed) == 0 {
		changed = append(changed, r.restoreFromState()...)
	}
	r.mu.Unlock()
	for _, h := range changed {
		r.logChange(h)
	}
}

// applyTable updates a back end from the control plane's table.
func (r *Registry) applyTable(entry *registeredBackend) {
	if entry.unknown {
		r.identify(entry)
	}
	listed, found := r.table[entry.heartbeat.Service][entry.heartbeat.ID]
	if found && listed.Incarnation > entry.heartbeat.incarnation() && listed.State == distribution.Live {
		r.replaceByLater(entry, listed)
		return
	}
	if found && listed.Incarnation >= entry.heartbeat.incarnation() {
		entry.listed = true
		if listed.State != distribution.Live {
			r.applyEnd(entry, listed)
		}
	}
	r.acknowledge(entry, listed, found)
	r.admitListed(entry)
}

// admitListed opens the gate for a held back end that the control plane lists as live.
func (r *Registry) admitListed(entry *registeredBackend) {
	listed, found := r.table[entry.heartbeat.Service][entry.heartbeat.ID]
	if !entry.held || !r.confirmed || !found || listed.State != distribution.Live || listed.Incarnation != entry.heartbeat.incarnation() {
		return
	}
	entry.held = false
	r.updateGate(entry)
	r.updateCold(entry)
}

// identify looks up what the table lists about a back end of which only the departure is known.
func (r *Registry) identify(entry *registeredBackend) {
	listed, found := r.listedUnder(entry.heartbeat.ID)
	if !found {
		return
	}
	r.forgetDeparture(entry.heartbeat)
	entry.adopt(listed)
	r.rememberDeparted(entry.heartbeat, false)
}

// replaceByLater replaces a back end, of which a heartbeat arrived late, by its later incarnation in the table.
func (r *Registry) replaceByLater(entry *registeredBackend, listed distribution.Endpoint) {
	entry.record.markRecorded()
	r.depart(entry)
	delete(r.backends, entry.heartbeat.ID)
	if listed.Gate == r.config.GateAddress {
		r.restore(listed)
	}
}

// applyEnd updates a back end of which the control plane has recorded that this incarnation, or a later one, leaves or
// has left.
func (r *Registry) applyEnd(entry *registeredBackend, recorded distribution.Endpoint) {
	entry.record.markRecorded()
	switch {
	case entry.heartbeat.State == Departed:
	case recorded.State == distribution.Removed || recorded.Incarnation > entry.heartbeat.incarnation():
		r.depart(entry)
	case entry.heartbeat.State == Ready:
		entry.heartbeat.State = Draining
		r.updateGate(entry)
	}
}

// acknowledge compares a back end with its entry in the control plane's table, and forgets it once it is removed there.
func (r *Registry) acknowledge(entry *registeredBackend, listed distribution.Endpoint, found bool) {
	announced := r.endpoint(entry.heartbeat)
	if found {
		entry.acknowledged = listed.State == announced.State && listed.Incarnation >= announced.Incarnation
	} else {
		// One that was never listed may still be added by an announcement on its way, and the table has no entries of a
		// service that the configuration does not use.
		_, inUse := r.table[entry.heartbeat.Service]
		removed := entry.listed && inUse
		entry.acknowledged = announced.State == distribution.Removed && removed
		if removed && announced.State != distribution.Live {
			entry.record.markRecorded()
		}
	}
	if entry.acknowledged && announced.State == distribution.Removed {
		delete(r.backends, entry.heartbeat.ID)
	}
}

// ApplyEnded updates announced back ends of which the control plane has recorded that they leave or have left, for
// instance before this process started.
func (r *Registry) ApplyEnded(ended []distribution.Endpoint) {
	r.mu.Lock()
	var changed []Heartbeat
	for _, recorded := range ended {
		entry, found := r.backends[recorded.ID]
		if !found || entry.heartbeat.Service != recorded.Service || recorded.Incarnation < entry.heartbeat.incarnation() {
			continue
		}
		before := entry.heartbeat.State
		r.applyEnd(entry, recorded)
		if recorded.State == distribution.Removed {
			delete(r.backends, recorded.ID)
		}
		if entry.heartbeat.State != before {
			changed = append(changed, entry.heartbeat)
		}
	}
	r.mu.Unlock()
	for _, h := range changed {
		r.notify(h)
	}
}

// dropHeldLate forgets held back ends if the table lists one at this gate that started later: their heartbeats were
// probably late.
func (r *Registry) dropHeldLate() {
	for id, entry := range r.backends {
		if entry.held && !entry.heartbeat.Born.IsZero() && r.listsLater(entry.heartbeat) {
			delete(r.backends, id)
		}
	}
}

// listsLater reports whether the table lists another live back end at this gate that started after the given one.
func (r *Registry) listsLater(h Heartbeat) bool {
	for _, listed := range r.table[h.Service] {
		if listed.Gate == r.config.GateAddress && listed.State == distribution.Live && listed.ID != h.ID && listed.Incarnation > h.incarnation() {
			return true
		}
	}
	return false
}

// repeatDepartures registers departed back ends again that the table lists as live at this gate, so that their
// departure is announced: an earlier announcement arrived late.
func (r *Registry) repeatDepartures() {
	for _, left := range r.departed {
		listed, found := r.table[left.service][left.id]
		_, registered := r.backends[left.id]
		if left.replaced || registered || !found || listed.Gate != r.config.GateAddress || listed.State != distribution.Live || listed.Incarnation > left.incarnation {
			continue
		}
		entry := &registeredBackend{heartbeat: heartbeatOf(listed), record: newRecord(), listed: true}
		entry.heartbeat.State = Departed
		r.backends[left.id] = entry
	}
}

// restoreFromState adds the live back ends that the control plane lists at this gate, usually one.
func (r *Registry) restoreFromState() (restored []Heartbeat) {
	for _, endpoints := range r.table {
		for _, listed := range endpoints {
			if listed.Gate == r.config.GateAddress && listed.State == distribution.Live {
				restored = append(restored, r.restore(listed))
			}
		}
	}
	return restored
}

// restore adds a live back end of the table.
func (r *Registry) restore(listed distribution.Endpoint) Heartbeat {
	entry := &registeredBackend{heartbeat: heartbeatOf(listed), acknowledged: true, listed: true, record: newRecord()}
	r.backends[listed.ID] = entry
	r.updateGate(entry)
	return entry.heartbeat
}

// adopt replaces what is known of a back end by its entry in the control plane's table.
func (b *registeredBackend) adopt(listed distribution.Endpoint) {
	state := b.heartbeat.State
	b.heartbeat = heartbeatOf(listed)
	b.heartbeat.State = state
	b.unknown, b.listed = false, true
	if listed.State != distribution.Live {
		b.record.markRecorded()
	}
}

// heartbeatOf returns what the control plane's table tells of a back end, as a ready one.
func heartbeatOf(listed distribution.Endpoint) Heartbeat {
	h := Heartbeat{Service: listed.Service, ID: listed.ID, Address: listed.Address, Zone: listed.Zone, Capacity: listed.Capacity, Version: listed.Version}
	if listed.Incarnation > unknownIncarnation {
		h.Born = time.UnixMilli(int64(listed.Incarnation))
	}
	return h
}
