// Package routing turns a distributed state into the table by which a node answers
// calls. A table is immutable and swapped whole.
package routing

import (
	"slices"
	"strings"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
)

// DefaultTimeout bounds calls of routes that set none.
const DefaultTimeout = 10 * time.Second

// Route is a route with everything it refers to resolved.
type Route struct {
	Name       string
	PathPrefix string
	// Service names the pool that takes the calls.
	Service string
	// Credential goes to the back end; empty for none.
	Credential string
	Timeout    time.Duration
	Once       bool
}

// Endpoint is one back end of a service.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Address     string
	Zone        string
	Leaving     bool
}

// Service is a pool's definition.
type Service struct {
	Name           string
	MaxConcurrency int
	MaxConnections int
	Endpoints      []Endpoint
}

// Table answers which route takes a path.
type Table struct {
	Version  uint64
	Revision uint64
	// routes are sorted by falling length of prefix.
	routes   []Route
	Services []Service
}

// New builds the table of a state whose active bundle is consistent.
func New(state *distribution.State) *Table {
	content := state.Active.Content
	table := &Table{Version: state.Active.Manifest.Version, Revision: state.Revision}
	for _, route := range content.Routes {
		table.routes = append(table.routes, resolve(content, route))
	}
	slices.SortStableFunc(table.routes, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	for _, service := range content.Services {
		table.Services = append(table.Services, Service{
			Name: service.Name, MaxConcurrency: service.MaxConcurrency, MaxConnections: service.MaxConnections,
			Endpoints: endpoints(service, state.Endpoints[service.Name]),
		})
	}
	return table
}

func resolve(content bundle.Content, route bundle.Route) Route {
	resolved := Route{
		Name: route.Name, PathPrefix: route.PathPrefix, Service: content.TargetService(route),
		Timeout: time.Duration(route.Timeout), Once: route.Once,
	}
	if resolved.Timeout == 0 {
		resolved.Timeout = DefaultTimeout
	}
	if secret, found := content.Secret(route.Secret); found {
		resolved.Credential = secret.Value
	}
	return resolved
}

// endpoints joins the bundle's own endpoints with the platform's; the platform's word
// on an ID goes first.
func endpoints(service bundle.Service, listed map[string]distribution.Endpoint) []Endpoint {
	var all []Endpoint
	for _, named := range service.Endpoints {
		if _, found := listed[named.ID]; !found {
			all = append(all, Endpoint{ID: named.ID, Incarnation: named.Incarnation, Address: named.Address, Zone: named.Zone})
		}
	}
	for _, endpoint := range listed {
		if endpoint.State != distribution.Removed {
			all = append(all, Endpoint{
				ID: endpoint.ID, Incarnation: endpoint.Incarnation, Address: endpoint.Address,
				Zone: endpoint.Zone, Leaving: endpoint.State == distribution.Leaving,
			})
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Match returns the route with the longest prefix of the path that ends at a segment.
func (t *Table) Match(path string) (Route, bool) {
	for _, route := range t.routes {
		if matches(route.PathPrefix, path) {
			return route, true
		}
	}
	return Route{}, false
}

func matches(prefix, path string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	if !found {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// Routes returns how many routes the table has.
func (t *Table) Routes() int { return len(t.routes) }
