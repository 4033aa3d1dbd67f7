package bundle

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// ScopeAll is the scope of control replicas and relays, which need the complete bundle. It is not a
// valid name of a node group.
const ScopeAll = "*"

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// Kind tells whether a call may run more than once, and so whether it may be retried after an unknown
// outcome.
type Kind string

const (
	// KindByMethod is the default: the HTTP method of the call decides.
	KindByMethod Kind = ""
	// KindSafe: calls may run more than once, regardless of their method.
	KindSafe Kind = "safe"
	// KindUnsafe: calls run at most once.
	KindUnsafe Kind = "unsafe"
	// KindUpload: calls have large request bodies and run at most once.
	KindUpload Kind = "upload"
	// KindDownload: calls have large responses and may run more than once.
	KindDownload Kind = "download"
)

// Repeatable reports whether calls of the kind may run more than once regardless of their method.
func (k Kind) Repeatable() bool { return k == KindSafe || k == KindDownload }

// Known reports whether the kind is one of the defined constants.
func (k Kind) Known() bool {
	switch k {
	case KindByMethod, KindSafe, KindUnsafe, KindUpload, KindDownload:
		return true
	}
	return false
}

// Share assigns a part of a route's calls to a service.
type Share struct {
	Service string `toml:"service" json:"service"`
	// Weight is the size of the part relative to the weights of the route's other shares.
	Weight int `toml:"weight" json:"weight"`
}

// Limits bound the requests of callers. A zero value selects the node's default.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's header, MaxBodyBytes that of its body.
	MaxHeaderBytes int   `toml:"max_header_bytes,omitempty" json:"max_header_bytes,omitempty"`
	MaxBodyBytes   int64 `toml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty"`
	// HeaderTimeout is the maximum time for reading a request's header, IdleTimeout the maximum
	// time that a connection may be idle between two calls.
	HeaderTimeout Duration `toml:"header_timeout,omitempty" json:"header_timeout,omitempty"`
	IdleTimeout   Duration `toml:"idle_timeout,omitempty" json:"idle_timeout,omitempty"`
}

// Route sends calls whose path starts with PathPrefix to a service.
type Route struct {
	Name       string `toml:"name" json:"name"`
	PathPrefix string `toml:"path_prefix" json:"path_prefix"`
	// Host restricts the route to calls for one host. An empty Host matches every host that has
	// no route for the path.
	Host string `toml:"host,omitempty" json:"host,omitempty"`
	// Sources are the node groups whose nodes serve the route; if empty, all groups do.
	Sources []string `toml:"sources,omitempty" json:"sources,omitempty"`
	Service string   `toml:"service,omitempty" json:"service"`
	// Shares split the calls between services by weight; Service must be empty then.
	Shares []Share `toml:"share,omitempty" json:"shares,omitempty"`
	// HandBackService gets the calls instead of Service or Shares if the bundle sets HandBack. If
	// it is empty, HandBack has no effect on the route.
	HandBackService string `toml:"hand_back_service,omitempty" json:"hand_back_service,omitempty"`
	// Secret is the name of the credential that nodes add to calls, empty for none.
	Secret string `toml:"secret,omitempty" json:"secret,omitempty"`
	// Timeout is the deadline of calls, unless the caller sets an earlier one.
	Timeout Duration `toml:"timeout,omitempty" json:"timeout,omitempty"`
	// Once forbids retries of calls that may have run, regardless of their method.
	Once bool `toml:"once,omitempty" json:"once,omitempty"`
	// Kind tells whether a call may run more than once.
	Kind Kind `toml:"kind,omitempty" json:"kind,omitempty"`
	// MaxAttempts is the maximum number of attempts for a call, zero for the node's default.
	MaxAttempts int `toml:"max_attempts,omitempty" json:"max_attempts,omitempty"`
	// Priority orders calls that wait for a back end; 0 is the highest priority.
	Priority int `toml:"priority,omitempty" json:"priority,omitempty"`
	// TargetLatency is the desired time from a request to its response.
	TargetLatency Duration `toml:"target_latency,omitempty" json:"target_latency,omitempty"`
	// Regions restricts the calls to back ends in these regions; empty allows all.
	Regions []string `toml:"regions,omitempty" json:"regions,omitempty"`
	// Public admits calls without a tenant's key.
	Public bool `toml:"public,omitempty" json:"public,omitempty"`
}

// Targets returns the services that get the route's calls, without regard to HandBack.
func (r Route) Targets() []Share {
	if len(r.Shares) > 0 {
		return r.Shares
	}
	return []Share{{Service: r.Service, Weight: 1}}
}

// equal reports whether all fields of two routes are equal.
func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.PathPrefix == o.PathPrefix && r.Host == o.Host &&
		slices.Equal(r.Sources, o.Sources) && r.Service == o.Service && slices.Equal(r.Shares, o.Shares) &&
		r.HandBackService == o.HandBackService && r.Secret == o.Secret && r.Timeout == o.Timeout &&
		r.Once == o.Once && r.Kind == o.Kind && r.MaxAttempts == o.MaxAttempts &&
		r.Priority == o.Priority && r.TargetLatency == o.TargetLatency && slices.Equal(r.Regions, o.Regions) && r.Public == o.Public
}

// clone returns a deep copy.
func (r *Route) clone() Route {
	c := *r
	c.Sources, c.Shares, c.Regions = slices.Clone(r.Sources), slices.Clone(r.Shares), slices.Clone(r.Regions)
	return c
}

// Service is a set of back ends: those in Endpoints and those that the platform lists for the service.
type Service struct {
	Name string `toml:"name" json:"name"`
	// MaxConcurrency is the maximum number of concurrent calls for one back end, zero for the
	// default.
	MaxConcurrency int `toml:"max_concurrency,omitempty" json:"max_concurrency,omitempty"`
	// MaxConnections is the maximum number of connections from one node to one back end, zero for
	// the default.
	MaxConnections int        `toml:"max_connections,omitempty" json:"max_connections,omitempty"`
	Endpoints      []Endpoint `toml:"endpoint,omitempty" json:"endpoints,omitempty"`
	// HealthPath is the path of the health check of a back end, empty if it has none.
	HealthPath string `toml:"health_path,omitempty" json:"health_path,omitempty"`
	// ColdStart is the time for which a back end is cold after its start, zero if it is never cold.
	ColdStart Duration `toml:"cold_start,omitempty" json:"cold_start,omitempty"`
	// ColdRate is the maximum rate of calls to a cold back end, in calls per second, zero for no limit.
	ColdRate float64 `toml:"cold_rate,omitempty" json:"cold_rate,omitempty"`
}

// equal reports whether all fields of two services are equal.
func (s *Service) equal(o *Service) bool {
	return s.Name == o.Name && s.MaxConcurrency == o.MaxConcurrency && s.MaxConnections == o.MaxConnections &&
		slices.Equal(s.Endpoints, o.Endpoints) && s.HealthPath == o.HealthPath &&
		s.ColdStart == o.ColdStart && s.ColdRate == o.ColdRate
}

// clone returns a deep copy.
func (s *Service) clone() Service {
	c := *s
	c.Endpoints = slices.Clone(s.Endpoints)
	return c
}

// Endpoint is one back end that a bundle lists.
type Endpoint struct {
	ID      string `toml:"id" json:"id"`
	Address string `toml:"address" json:"address"`
	Zone    string `toml:"zone,omitempty" json:"zone,omitempty"`
	// Incarnation must be increased to return a back end to service that was leaving or removed.
	Incarnation uint64 `toml:"incarnation,omitempty" json:"incarnation,omitempty"`
}

// Secret is a named credential. Its value must not appear in logs, diffs or errors.
type Secret struct {
	Name  string `toml:"name" json:"name"`
	Value string `toml:"value" json:"value"`
}

// equal reports whether name and value of two secrets are equal.
func (s *Secret) equal(o *Secret) bool { return *s == *o }

func (s *Secret) clone() Secret { return *s }

// Format implements fmt.Formatter for all verbs. It prints a short digest instead of the value.
func (s Secret) Format(state fmt.State, _ rune) {
	fmt.Fprintf(state, "secret %s (digest %s)", s.Name, s.ShortDigest())
}

// Content is the configuration in a bundle or scope. Normalized sorts its lists by name, which the other
// methods expect.
type Content struct {
	// HandBack sends the calls of every route that has a HandBackService to that service.
	HandBack bool      `toml:"hand_back,omitempty" json:"hand_back,omitempty"`
	Limits   Limits    `toml:"limits,omitempty" json:"limits,omitzero"`
	Routes   []Route   `toml:"route" json:"routes,omitempty"`
	Services []Service `toml:"service" json:"services,omitempty"`
	Secrets  []Secret  `toml:"secret" json:"secrets,omitempty"`
	// Tenants are the customers that may call. If there are any, calls need the key of a tenant, except on
	// public routes.
	Tenants []Tenant `toml:"tenant" json:"tenants,omitempty"`
}

// Normalized returns a copy with all lists sorted, so that equal contents have equal digests.
func (c Content) Normalized() Content {
	c.Routes = sortedBy(c.Routes, routeName)
	c.Services = sortedBy(c.Services, serviceName)
	c.Secrets = sortedBy(c.Secrets, secretName)
	c.Tenants = sortedBy(c.Tenants, tenantName)
	c.normalizeItems()
	return c
}

// normalizeItems sorts the lists within routes, services and tenants. It replaces unsorted lists by
// sorted copies.
func (c *Content) normalizeItems() {
	for i := range c.Routes {
		if sources := c.Routes[i].Sources; !slices.IsSorted(sources) {
			c.Routes[i].Sources = slices.Sorted(slices.Values(sources))
		}
		if regions := c.Routes[i].Regions; !slices.IsSorted(regions) {
			c.Routes[i].Regions = slices.Sorted(slices.Values(regions))
		}
	}
	for i := range c.Services {
		if endpoints := c.Services[i].Endpoints; !isSortedBy(endpoints, endpointID) {
			c.Services[i].Endpoints = sortedBy(endpoints, endpointID)
		}
	}
	for i := range c.Tenants {
		if tenant := &c.Tenants[i]; !tenant.isNormalized() {
			tenant.normalize()
		}
	}
}

// Items returns the total number of routes, services, secrets and tenants.
func (c Content) Items() int {
	return len(c.Routes) + len(c.Services) + len(c.Secrets) + len(c.Tenants)
}

// Service returns the service with the given name, and false if there is none.
func (c Content) Service(name string) (Service, bool) {
	return findByName(c.Services, name, serviceName)
}

// Secret returns the secret with the given name, and false if there is none.
func (c Content) Secret(name string) (Secret, bool) {
	return findByName(c.Secrets, name, secretName)
}

// Targets returns the services that get the route's calls, with regard to HandBack.
func (c Content) Targets(r Route) []Share {
	if c.HandBack && r.HandBackService != "" {
		return []Share{{Service: r.HandBackService, Weight: 1}}
	}
	return r.Targets()
}

// Groups returns the sorted node groups that the routes refer to, and the empty name, which is the
// scope of all other groups.
func (c Content) Groups() []string {
	seen := map[string]bool{"": true}
	for _, route := range c.Routes {
		for _, group := range route.Sources {
			seen[group] = true
		}
	}
	groups := make([]string, 0, len(seen))
	for group := range seen {
		groups = append(groups, group)
	}
	slices.Sort(groups)
	return groups
}

// ScopeName returns the name of the scope for a node group: the group itself if it is ScopeAll or a
// route refers to it, the empty name otherwise.
func (c Content) ScopeName(group string) string {
	if group == ScopeAll {
		return ScopeAll
	}
	for _, route := range c.Routes {
		if slices.Contains(route.Sources, group) {
			return group
		}
	}
	return ""
}

// Scope returns the part of a normalized content that the nodes of a group need: their routes, the
// services and secrets that these use, and all tenants.
func (c Content) Scope(group string) Content {
	if group == ScopeAll {
		return c
	}
	scoped := Content{HandBack: c.HandBack, Limits: c.Limits, Tenants: c.Tenants}
	services := map[string]bool{}
	secrets := map[string]bool{}
	scoped.Routes = c.routesOf(group)
	for i := range scoped.Routes {
		route := &scoped.Routes[i]
		services[route.Service] = true
		for _, share := range route.Shares {
			services[share.Service] = true
		}
		services[route.HandBackService] = true
		secrets[route.Secret] = true
	}
	scoped.Services = filterByName(c.Services, services, serviceName)
	scoped.Secrets = filterByName(c.Secrets, secrets, secretName)
	return scoped
}

// routesOf returns the routes that the nodes of a group serve. If these are all, it returns the list
// itself and not a copy.
func (c Content) routesOf(group string) []Route {
	excluded := func(r Route) bool { return len(r.Sources) > 0 && !slices.Contains(r.Sources, group) }
	if !slices.ContainsFunc(c.Routes, excluded) {
		return c.Routes
	}
	return slices.DeleteFunc(slices.Clone(c.Routes), excluded)
}

func routeName(r Route) string     { return r.Name }
func serviceName(s Service) string { return s.Name }
func secretName(s Secret) string   { return s.Name }
func endpointID(e Endpoint) string { return e.ID }
func nonEmpty(s string) bool       { return strings.TrimSpace(s) != "" }
func hasControlByte(s string) bool { return strings.IndexFunc(s, isControl) >= 0 }
func isControl(r rune) bool        { return r < ' ' || r == 0x7f }

// ValidName reports whether s is valid as the name of a service, a zone or the like: not blank, not too
// long and without control characters.
func ValidName(s string) bool { return nonEmpty(s) && len(s) <= maxNameLength && !hasControlByte(s) }

func sortedBy[T any](items []T, name func(T) string) []T {
	sorted := slices.Clone(items)
	if !isSortedBy(sorted, name) {
		slices.SortStableFunc(sorted, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	}
	return sorted
}

func isSortedBy[T any](items []T, name func(T) string) bool {
	for i := 1; i < len(items); i++ {
		if name(items[i]) < name(items[i-1]) {
			return false
		}
	}
	return true
}

func findByName[T any](sorted []T, wanted string, name func(T) string) (T, bool) {
	index, found := slices.BinarySearchFunc(sorted, wanted, func(item T, target string) int {
		return strings.Compare(name(item), target)
	})
	if !found {
		var zero T
		return zero, false
	}
	return sorted[index], true
}

func filterByName[T any](items []T, wanted map[string]bool, name func(T) string) []T {
	var kept []T
	for _, item := range items {
		if wanted[name(item)] {
			kept = append(kept, item)
		}
	}
	return kept
}
