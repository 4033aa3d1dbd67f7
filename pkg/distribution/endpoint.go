package distribution

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// EndpointState is where an endpoint is in its life. States only grow.
type EndpointState uint8

const (
	// Live endpoints take new calls.
	Live EndpointState = iota
	// Leaving endpoints finish what they have and take nothing new.
	Leaving
	// Removed endpoints are gone; the entry is a tombstone.
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

// Endpoint is one back end as the platform lists it.
type Endpoint struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	// Incarnation grows each time the machine behind ID is replaced or restarted;
	// there is no way back from Leaving or Removed without a higher one.
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone,omitempty"`
	// Gate is where the node beside the back end takes its calls; empty if callers' nodes
	// connect to the back end itself.
	Gate string `json:"gate,omitempty"`
	// Capacity is how many calls the back end works on at once, zero if unknown.
	Capacity int           `json:"capacity,omitempty"`
	State    EndpointState `json:"state"`
	// Version is that of the back end's software, empty if unknown. It never changes within an
	// incarnation.
	Version string `json:"version,omitempty"`
	// Modified is the revision of the last change; zero on nodes, which do not
	// need it.
	Modified uint64 `json:"modified,omitempty"`
}

// Supersedes reports whether e is news to someone who holds old.
func (e Endpoint) Supersedes(old Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.State > old.State
}

// hash sums everything a holder acts on.
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

// EndpointTable holds endpoints by service and ID.
type EndpointTable map[string]map[string]Endpoint

// with returns a copy that holds the given endpoints; untouched services are shared.
// Removed endpoints stay as tombstones only if keepTombstones is set.
func (t EndpointTable) with(endpoints []Endpoint, keepTombstones bool) EndpointTable {
	next := make(EndpointTable, len(t)+1)
	for service, held := range t {
		next[service] = held
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

// only returns a copy restricted to the named services.
func (t EndpointTable) only(services map[string]bool) EndpointTable {
	next := make(EndpointTable, len(services))
	for service, held := range t {
		if services[service] {
			next[service] = held
		}
	}
	return next
}

// digest sums the endpoints of the named services, or all with nil. Addition makes
// the sum independent of the order; tombstones do not count.
func (t EndpointTable) digest(services map[string]bool) uint64 {
	var sum uint64
	for service, held := range t {
		if services != nil && !services[service] {
			continue
		}
		for _, endpoint := range held {
			if endpoint.State != Removed {
				sum += endpoint.hash()
			}
		}
	}
	return sum
}

func cloneEndpoints(held map[string]Endpoint) map[string]Endpoint {
	clone := make(map[string]Endpoint, len(held)+1)
	for id, endpoint := range held {
		clone[id] = endpoint
	}
	return clone
}

// News returns what the announcements of back ends bring to the table. A back end that is
// announced at a gate takes the place of every other one there: a node has one back end
// beside it, and one that crashed does not say so.
func (t EndpointTable) News(announced []Endpoint) []Endpoint {
	var news []Endpoint
	for _, endpoint := range announced {
		held, found := t[endpoint.Service][endpoint.ID]
		if (!found && endpoint.State != Removed) || (found && endpoint.Supersedes(held)) {
			news = append(news, endpoint)
		}
		if endpoint.Gate != "" && endpoint.State == Live {
			news = append(news, t.replacedAt(endpoint)...)
		}
	}
	return news
}

// replacedAt returns the other back ends at an endpoint's gate, as removed.
func (t EndpointTable) replacedAt(endpoint Endpoint) []Endpoint {
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
