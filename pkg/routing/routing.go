// Package routing builds a node's routing table from the state that the control plane distributes. A table
// is immutable and replaced as a whole.
package routing

import (
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/eligibility"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/rollout"
)

// DefaultTimeout is the timeout of calls on routes that configure none.
const DefaultTimeout = 10 * time.Second

// Route is a route of the bundle with its service shares, secret and timeout resolved.
type Route struct {
	Name       string
	PathPrefix string
	// Host is in lower case; empty matches every host.
	Host string
	// Targets are the services that receive the calls, by weight. At least one weight is positive.
	Targets []bundle.Share
	// Credential is sent to the back end; empty for none.
	Credential string
	Timeout    time.Duration
	// Once forbids retries of calls that may have run, regardless of their method.
	Once bool
	// Kind tells whether a call may run more than once.
	Kind bundle.Kind
	// MaxAttempts is the largest number of back ends that one call is sent to; zero for no bound.
	MaxAttempts   int
	Priority      int
	TargetLatency time.Duration
	// Regions are the regions that may serve the calls; empty allows all.
	Regions []string
	// Public routes also accept calls without a tenant's key.
	Public bool
}

// Pick returns a target by weight for a random number in [0, 1).
func (r Route) Pick(random float64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0
	for _, target := range r.Targets {
		sum += target.Weight
	}
	point := random * float64(sum)
	for _, target := range r.Targets {
		point -= float64(target.Weight)
		if point < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Endpoint is one back end of a service, with its eligibility for calls.
type Endpoint struct {
	ID string
	// Incarnation increases each time the machine with this ID is replaced or restarted.
	Incarnation uint64
	Address     string
	Zone        string
	// Gate is the address of the back end's gate, which receives its calls; empty for none.
	Gate string
	// Capacity is the number of calls that the back end runs concurrently, zero if unknown.
	Capacity int
	Leaving  bool
	// Region is the region of the zone, empty if unknown.
	Region string
	// Version is the version of the back end's software, empty if unknown.
	Version string
	// Closing is set while a rollout closes the back end's gate: it gets calls again only if the rollout fails.
	Closing bool
	// RejectReason is the reason why the back end gets no new calls at present, empty if it may get them.
	RejectReason exchange.Reason
}

// Service is the configuration of a service together with its current back ends.
type Service struct {
	Name string
	// MaxConcurrency is the number of calls that one back end takes at a time, zero for the default.
	MaxConcurrency int
	// MaxConnections bounds the connections of one node to one back end.
	MaxConnections int
	// A back end is cold for ColdStart after its start: it then sustains only ColdRate calls per second.
	// Zero for no bound.
	ColdStart time.Duration
	ColdRate  float64
	// Rollout is the service's newest rollout, nil if it never had one.
	Rollout *rollout.Rollout
	// HealthPath is the URL path of the back ends' health check, empty for none.
	HealthPath string
	Endpoints  []Endpoint
}

// Table holds the routes, services and tenants of one state, and finds routes by host and path.
type Table struct {
	// Version is the version of the active bundle, Revision that of the distributed state.
	Version  uint64
	Revision uint64
	// Limits bound the requests of callers.
	Limits   bundle.Limits
	Services []Service
	// Rules decide which back ends may take calls.
	Rules *eligibility.Rules
	// activeBundle is the bundle that the indexes were built from.
	activeBundle *bundle.Signed
	routes       *routeIndex
	tenants      *tenantIndex
}

// New builds the table of a state whose active bundle is valid, without a mapping of zones to regions.
func New(state *distribution.State) *Table { return Update(nil, state, nil) }

// Update builds the table of a state and reuses the indexes of the previous table, which may be nil, if the
// bundle is the same: endpoints change far more often than bundles. regions maps zones to regions.
func Update(previous *Table, state *distribution.State, regions map[string]string) *Table {
	content := state.Active.Content
	table := &Table{Version: state.Active.Manifest.Version, Revision: state.Revision, Limits: content.Limits, activeBundle: state.Active}
	if previous != nil && previous.activeBundle == state.Active {
		table.routes, table.tenants = previous.routes, previous.tenants
	} else {
		table.routes, table.tenants = newRouteIndex(content), newTenantIndex(content.Tenants)
	}
	table.Rules = eligibility.New(state.Orders, regions)
	for _, service := range content.Services {
		table.Services = append(table.Services, Service{
			Name: service.Name, MaxConcurrency: service.MaxConcurrency, MaxConnections: service.MaxConnections,
			ColdStart: time.Duration(service.ColdStart), ColdRate: service.ColdRate, HealthPath: service.HealthPath,
			Rollout:   newestRollout(state.Orders, service.Name),
			Endpoints: mergeEndpoints(service, state.Endpoints[service.Name], table.Rules),
		})
	}
	return table
}

func resolveRoute(content bundle.Content, route *bundle.Route) Route {
	resolved := Route{
		Name: route.Name, PathPrefix: route.PathPrefix, Host: strings.ToLower(route.Host),
		Targets: content.Targets(*route),
		Timeout: time.Duration(route.Timeout), Once: route.Once, Kind: route.Kind,
		MaxAttempts: route.MaxAttempts, Priority: route.Priority, TargetLatency: time.Duration(route.TargetLatency),
		Regions: route.Regions, Public: route.Public,
	}
	if resolved.Timeout == 0 {
		resolved.Timeout = DefaultTimeout
	}
	if route.Secret == "" {
		return resolved
	}
	if secret, found := content.Secret(route.Secret); found {
		resolved.Credential = secret.Value
	}
	return resolved
}

func newestRollout(table *orders.Table, service string) *rollout.Rollout {
	newest, found := table.RolloutOf(service)
	if !found {
		return nil
	}
	return &newest
}

// mergeEndpoints merges the endpoints of the bundle with those registered by the platform, which override
// the bundle's by ID, and drops removed ones.
func mergeEndpoints(service bundle.Service, registered map[string]distribution.Endpoint, rules *eligibility.Rules) []Endpoint {
	var all []Endpoint
	for _, static := range service.Endpoints {
		if _, found := registered[static.ID]; !found {
			all = append(all, Endpoint{ID: static.ID, Incarnation: static.Incarnation, Address: static.Address, Zone: static.Zone})
		}
	}
	for _, endpoint := range registered {
		if endpoint.State != distribution.Removed {
			all = append(all, Endpoint{
				ID: endpoint.ID, Incarnation: endpoint.Incarnation, Address: endpoint.Address,
				Zone: endpoint.Zone, Gate: endpoint.Gate, Capacity: endpoint.Capacity, Leaving: endpoint.State == distribution.Leaving,
				Version: endpoint.Version,
			})
		}
	}
	for i := range all {
		e := &all[i]
		e.Region = rules.Region(e.Zone)
		backend := eligibility.Backend{Service: service.Name, Zone: e.Zone, Version: e.Version}
		e.RejectReason, e.Closing = rules.RejectReasonOf(backend), rules.Closes(backend)
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Match returns the route for a Host header, with or without a port, and a path. Routes of the host
// precede those for all hosts; among them the longest prefix that ends at a segment boundary matches.
func (t *Table) Match(host, path string) (Route, bool) {
	found := t.routes.match(normalizeHost(host), path)
	if found == nil {
		return Route{}, false
	}
	return *found, true
}

// MatchURL is Match for the path of a request. An encoded slash is not a separator (RFC 3986, section 2.2), unless the path
// has no route otherwise.
func (t *Table) MatchURL(host string, u *url.URL) (Route, bool) {
	if u.RawPath == "" {
		return t.Match(host, u.Path)
	}
	path, err := url.PathUnescape(keepSlashesEncoded.Replace(u.RawPath))
	if err != nil {
		return t.Match(host, u.Path)
	}
	if route, found := t.Match(host, path); found {
		return route, true
	}
	return t.Match(host, u.Path)
}

// keepSlashesEncoded encodes encoded slashes once more.
var keepSlashesEncoded = strings.NewReplacer("%2F", "%252F", "%2f", "%252f")

// ServedIn reports whether back ends of a zone may serve a call of a tenant, whose name may be empty. An
// unknown route or tenant restricts nothing, since this table may be older than the caller's.
func (t *Table) ServedIn(zone, host string, u *url.URL, tenant string) bool {
	if customer := t.tenants.named(tenant); customer != nil && !t.Rules.InRegions(zone, customer.Regions) {
		return false
	}
	if !t.routes.regional {
		return true
	}
	route, found := t.MatchURL(host, u)
	return !found || t.Rules.InRegions(zone, route.Regions)
}

// normalizeHost strips the port of a Host header and converts it to lower case.
func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// HasRoute reports whether the table has a route with the given name.
func (t *Table) HasRoute(name string) bool { return t.routes.names[name] }

// RouteCount returns the number of distinct route names in the table.
func (t *Table) RouteCount() int { return len(t.routes.names) }
