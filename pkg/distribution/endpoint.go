package distribution

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// EndpointState is the lifecycle state of an endpoint. Within one incarnation it never decreases.
type EndpointState uint8

const (
	// Live endpoints accept new calls.
	Live EndpointState = iota
	// Leaving endpoints drain: they finish the calls in flight and accept no new ones.
	Leaving
	// Removed endpoints no longer exist. The entry is a tombstone.
	Removed
)

// String returns the lower-case name of the state.
func (s EndpointState) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "removed"
	}
}

// Endpoint is one back end of a service, as listed by the platform or announced by a node.
type Endpoint struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// Incarnation increases each time the machine with this ID is replaced or restarted. An
	// endpoint that is Leaving or Removed becomes Live again only with a higher incarnation.
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone,omitempty"`
	// Gate is the address of the gate in front of the back end, empty if callers' nodes
	// connect to the back end directly.
	Gate string `json:"gate,omitempty"`
	// Capacity is the number of calls that the back end runs concurrently, zero if unknown.
	Capacity int           `json:"capacity,omitempty"`
	State    EndpointState `json:"state"`
	// Version is the version of the back end's software, empty if unknown. It is constant within
	// an incarnation.
	Version string `json:"version,omitempty"`
	// Modified is the revision of the last change, zero on nodes, which do not use it.
	Modified uint64 `json:"modified,omitempty"`
}

// Supersedes reports whether e replaces old: it has a higher incarnation, or the same incarnation and a
// later state.
func (e Endpoint) Supersedes(old Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.State > old.State
}

// hash returns a hash of all fields except Modified, which nodes do not have, and Version, which is
// constant within an incarnation.
func (e Endpoint) hash() uint64 {
	var buffer []byte
	for _, text := range []string{e.Service, e.ID, e.Address, e.Zone, e.Gate} {
		buffer = binary.AppendUvarint(buffer, uint64(len(text)))
		buffer = append(buffer, text...)
	}
	buffer = binary.AppendUvarint(buffer, e.Incarnation)
	buffer = binary.AppendUvarint(buffer, uint64(e.Capacity))
	buffer = append(buffer, byte(e.State))
	return xxhash.Sum64(buffer)
}

// EndpointTable holds endpoints by service and by ID.
type EndpointTable map[string]map[string]Endpoint

// withChanges returns a copy with the given endpoints added or replaced; the maps of unchanged
// services are shared. Removed endpoints are kept as tombstones only if keepTombstones is set.
func (t EndpointTable) withChanges(endpoints []Endpoint, keepTombstones bool) EndpointTable {
	next := make(EndpointTable, len(t)+1)
	for service, byID := range t {
		next[service] = byID
	}
	copied := map[string]bool{}
	for _, endpoint := range endpoints {
		if !copied[endpoint.Service] {
			copied[endpoint.Service] = true
			next[endpoint.Service] = cloneEndpoints(next[endpoint.Service])
		}
		if endpoint.State == Removed && !keepTombstones {
			delete(next[endpoint.Service], endpoint.ID)
			continue
		}
		next[endpoint.Service][endpoint.ID] = endpoint
	}
	return next
}

// restrictedTo returns a copy that has the named services only.
func (t EndpointTable) restrictedTo(services map[string]bool) EndpointTable {
	next := make(EndpointTable, len(services))
	for service, byID := range t {
		if services[service] {
			next[service] = byID
		}
	}
	return next
}

// digest returns the sum of the hashes of the named services' endpoints, or of all endpoints if
// services is nil. A sum does not depend on the order. Tombstones are left out.
func (t EndpointTable) digest(services map[string]bool) uint64 {
	var sum uint64
	for service, byID := range t {
		if services != nil && !services[service] {
			continue
		}
		for _, endpoint := range byID {
			if endpoint.State != Removed {
				sum += endpoint.hash()
			}
		}
	}
	return sum
}

func cloneEndpoints(byID map[string]Endpoint) map[string]Endpoint {
	clone := make(map[string]Endpoint, len(byID)+1)
	for id, endpoint := range byID {
		clone[id] = endpoint
	}
	return clone
}

// ChangesFrom returns the changes that announced endpoints make to the table. Because a gate has one back
// end, and a crashed one cannot announce its removal, a live endpoint removes all others at its gate. A removed
// endpoint that the table lacks is added as leaving first, so that an earlier announcement that arrives late
// cannot make it live.
func (t EndpointTable) ChangesFrom(announced []Endpoint) []Endpoint {
	var changes []Endpoint
	for _, endpoint := range announced {
		current, found := t[endpoint.Service][endpoint.ID]
		if !found && endpoint.State == Removed {
			endpoint.State = Leaving
		}
		if (!found && endpoint.State != Removed) || (found && endpoint.Supersedes(current)) {
			changes = append(changes, endpoint)
		}
		if endpoint.Gate != "" && endpoint.State == Live {
			changes = append(changes, t.replacedAtGate(endpoint)...)
		}
	}
	return changes
}

// Ended returns the entries of announced endpoints that the table lists as leaving or removed in the announced
// incarnation or a later one.
func (t EndpointTable) Ended(announced []Endpoint) []Endpoint {
	var ended []Endpoint
	for _, endpoint := range announced {
		listed, found := t[endpoint.Service][endpoint.ID]
		if found && listed.State != Live && listed.Incarnation >= endpoint.Incarnation {
			listed.Modified = 0
			ended = append(ended, listed)
		}
	}
	return ended
}

// replacedAtGate returns the other endpoints at the endpoint's gate, in the state Removed. It returns none
// if the table lists the endpoint itself as no longer live.
func (t EndpointTable) replacedAtGate(endpoint Endpoint) []Endpoint {
	if held, found := t[endpoint.Service][endpoint.ID]; found && held.State != Live {
		return nil
	}
	var replaced []Endpoint
	for _, held := range t {
		for _, other := range held {
			if other.Gate == endpoint.Gate && other.ID != endpoint.ID && other.State != Removed {
				other.State = Removed
				replaced = append(replaced, other)
			}
		}
	}
	return replaced
}
