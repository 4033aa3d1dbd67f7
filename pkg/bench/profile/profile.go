// Package profile holds the users' set-ups as the bench plays them.
package profile

import (
	"fmt"
	"time"
)

// Service is one service of a profile.
type Service struct {
	Name     string
	Backends int
	// Reads and Writes are path prefixes; writes must run at most once.
	Reads  string
	Writes string
	Work   time.Duration
}

// Profile is one user's set-up.
type Profile struct {
	Name  string
	Zones []string
	// ZoneLatency and ClientLatency are one-way.
	ZoneLatency   time.Duration
	ClientLatency time.Duration
	Services      []Service
	Slots         int
	Connections   int
	ConnectCost   time.Duration
	ProbeCost     time.Duration
}

// Sizes that both users share.
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

// Find returns the named profile.
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
