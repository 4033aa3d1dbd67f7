// Package profile defines the deployments that demos, experiments and simulations use.
package profile

import (
	"fmt"
	"time"
)

// Service is one service of a profile.
type Service struct {
	Name string
	// Backends is the number of back ends.
	Backends int
	// Reads and Writes are path prefixes; writes must run at most once.
	Reads  string
	Writes string
	// Work is the processing time of a call.
	Work time.Duration
}

// Profile describes the zones, latencies, services and back ends of one deployment.
type Profile struct {
	Name  string
	Zones []string
	// ZoneLatency is the one-way latency between zones.
	ZoneLatency time.Duration
	// ClientLatency is the one-way latency between callers and nodes.
	ClientLatency time.Duration
	Services      []Service
	// Slots is the number of calls that a back end processes concurrently.
	Slots int
	// Connections is the number of connections that a back end supports.
	Connections int
	// ConnectCost is the time that a back end spends on accepting a connection.
	ConnectCost time.Duration
	// ProbeCost is the time that a health probe takes at a back end.
	ProbeCost time.Duration
}

// Back-end parameters shared by all profiles.
const (
	slots       = 6
	connections = 130
	connectCost = time.Millisecond
	loadLag     = 500 * time.Millisecond
)

var profiles = []Profile{
	{
		Name: "san-jose", Zones: []string{"escazu", "heredia", "cartago", "alajuela"},
		ZoneLatency: 500 * time.Microsecond, ClientLatency: 3 * time.Millisecond,
		Services: []Service{
			{Name: "pedidos", Backends: 7, Reads: "/pedidos/stock", Writes: "/pedidos/orders", Work: 4 * time.Millisecond},
			{Name: "catalogo", Backends: 5, Reads: "/catalogo/prices", Writes: "/catalogo/photos", Work: 6 * time.Millisecond},
		},
		Slots: slots, Connections: connections, ConnectCost: connectCost,
	},
	{
		Name: "colombo-west", Zones: []string{"kaduwela", "ambatale", "kolonnawa", "maradana"},
		ZoneLatency: 1500 * time.Microsecond, ClientLatency: 8 * time.Millisecond,
		Services: []Service{
			{Name: "intake", Backends: 7, Reads: "/intake/status", Writes: "/intake/complaints", Work: 4 * time.Millisecond},
			{Name: "records", Backends: 5, Reads: "/records/lookup", Writes: "/records/scans", Work: 6 * time.Millisecond},
		},
		Slots: slots, Connections: connections, ConnectCost: connectCost, ProbeCost: 6 * time.Millisecond,
	},
}

// Find returns the profile with the given name, or an error that lists the known names.
func Find(name string) (Profile, error) {
	for _, p := range profiles {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("no profile %q; there are %s", name, Names())
}

// Names returns the names of all profiles.
func Names() []string {
	var names []string
	for _, p := range profiles {
		names = append(names, p.Name)
	}
	return names
}
