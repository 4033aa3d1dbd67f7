package bundle

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// These constants limit the size of a bundle and the values in it.
const (
	maxNameLength   = 200
	maxRoutes       = 20000
	maxServices     = 5000
	maxSecrets      = 5000
	maxEndpoints    = 20000
	maxSecretLength = 16 << 10
	maxTimeout      = 10 * time.Minute
	maxWeight       = 1_000_000
)

// Problem is one validation error of a content.
type Problem struct {
	// Resource is the kind and name of the invalid resource, such as `route "orders"`.
	Resource string `json:"resource"`
	Detail   string `json:"detail"`
}

// String returns the resource and the detail in one line.
func (p Problem) String() string { return p.Resource + ": " + p.Detail }

// ValidationError contains all problems that a validation found.
type ValidationError struct {
	Problems []Problem
}

// Error returns all problems in one line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return "invalid bundle: " + strings.Join(lines, "; ")
}

// validator collects the problems that its checks find.
type validator struct {
	problems []Problem
}

func (v *validator) add(kind, name, format string, values ...any) {
	v.problems = append(v.problems, Problem{
		Resource: fmt.Sprintf("%s %q", kind, name),
		Detail:   fmt.Sprintf(format, values...),
	})
}

// Validate checks a normalized content: names, limits, and that all services and secrets that routes
// refer to exist in it. The error is a *ValidationError with all problems.
func (c Content) Validate() error {
	v := &validator{}
	v.checkCounts(c)
	v.checkServices(c)
	v.checkSecrets(c)
	v.checkRoutes(c)
	v.checkTenants(c.Tenants)
	v.checkLimits(c.Limits)
	if len(v.problems) > 0 {
		return &ValidationError{Problems: v.problems}
	}
	return nil
}

// CheckRegions checks that routes and tenants refer to known regions only. If known is empty, all regions
// are allowed. The error is a *ValidationError.
func (c Content) CheckRegions(known []string) error {
	if len(known) == 0 {
		return nil
	}
	v := &validator{}
	for _, route := range c.Routes {
		v.checkKnownRegions("route", route.Name, route.Regions, known)
	}
	for _, tenant := range c.Tenants {
		v.checkKnownRegions("tenant", tenant.Name, tenant.Regions, known)
	}
	if len(v.problems) > 0 {
		return &ValidationError{Problems: v.problems}
	}
	return nil
}

func (v *validator) checkKnownRegions(kind, name string, regions, known []string) {
	for _, region := range regions {
		if !slices.Contains(known, region) {
			v.add(kind, name, "region %q has no zone in this deployment", region)
		}
	}
}

// CheckReferences checks that all services and secrets that routes refer to exist in the content. Holders
// call it before they activate a content. The error is a *ValidationError.
func (c Content) CheckReferences() error {
	v := &validator{}
	for _, route := range c.Routes {
		v.checkReferences(c, route)
	}
	if len(v.problems) > 0 {
		return &ValidationError{Problems: v.problems}
	}
	return nil
}

func (v *validator) checkCounts(c Content) {
	v.checkCount("routes", len(c.Routes), maxRoutes)
	v.checkCount("services", len(c.Services), maxServices)
	v.checkCount("secrets", len(c.Secrets), maxSecrets)
	v.checkCount("tenants", len(c.Tenants), maxTenants)
	endpoints := 0
	for _, service := range c.Services {
		endpoints += len(service.Endpoints)
	}
	v.checkCount("endpoints", endpoints, maxEndpoints)
	if len(c.Routes) == 0 {
		v.add("bundle", "routes", "no route")
	}
}

func (v *validator) checkCount(resource string, count, limit int) {
	if count > limit {
		v.add("bundle", resource, "%d of them, at most %d are allowed", count, limit)
	}
}

func (v *validator) checkName(kind, name, previous string, first bool) {
	if !ValidName(name) || name == ScopeAll {
		v.add(kind, name, "not a usable name")
	}
	if !first && name == previous {
		v.add(kind, name, "named twice")
	}
}

func (v *validator) checkServices(c Content) {
	for i, service := range c.Services {
		v.checkName("service", service.Name, previousName(c.Services, i, serviceName), i == 0)
		if service.MaxConcurrency < 0 || service.MaxConnections < 0 {
			v.add("service", service.Name, "limits must not be negative")
		}
		if service.ColdStart < 0 || service.ColdRate < 0 {
			v.add("service", service.Name, "cold_start and cold_rate must not be negative")
		}
		if service.HealthPath != "" && !strings.HasPrefix(service.HealthPath, "/") {
			v.add("service", service.Name, "health_path %q must start with /", service.HealthPath)
		}
		for j, endpoint := range service.Endpoints {
			v.checkName("endpoint", endpoint.ID, previousName(service.Endpoints, j, endpointID), j == 0)
			if _, err := netip.ParseAddrPort(endpoint.Address); err != nil {
				v.add("endpoint", endpoint.ID, "address %q is not IP:port", endpoint.Address)
			}
		}
	}
}

func (v *validator) checkSecrets(c Content) {
	for i, secret := range c.Secrets {
		v.checkName("secret", secret.Name, previousName(c.Secrets, i, secretName), i == 0)
		if secret.Value == "" || len(secret.Value) > maxSecretLength || hasControlByte(secret.Value) {
			v.add("secret", secret.Name, "value must be 1 to %d bytes without control characters", maxSecretLength)
		}
	}
}

func (v *validator) checkRoutes(c Content) {
	for i, route := range c.Routes {
		v.checkName("route", route.Name, previousName(c.Routes, i, routeName), i == 0)
		if !strings.HasPrefix(route.PathPrefix, "/") {
			v.add("route", route.Name, "path_prefix %q must start with /", route.PathPrefix)
		}
		if route.Timeout < 0 || time.Duration(route.Timeout) > maxTimeout {
			v.add("route", route.Name, "timeout must be from 0 to %s", maxTimeout)
		}
		for _, group := range route.Sources {
			if !ValidName(group) || group == ScopeAll {
				v.add("route", route.Name, "source %q is not a usable node group", group)
			}
		}
		v.checkRouteFields(route)
		v.checkReferences(c, route)
	}
	v.checkDuplicateMatches(c.Routes)
}

// checkRouteFields checks a route's host, kind, limits, regions and shares.
func (v *validator) checkRouteFields(route Route) {
	if !route.Kind.Known() {
		v.add("route", route.Name, "kind %q is none of safe, unsafe, upload and download", route.Kind)
	}
	if route.MaxAttempts < 0 || route.Priority < 0 || route.TargetLatency < 0 {
		v.add("route", route.Name, "max_attempts, priority and target_latency must not be negative")
	}
	if hasControlByte(route.Host) || len(route.Host) > maxNameLength {
		v.add("route", route.Name, "host is not usable")
	}
	v.checkRegionNames("route", route.Name, route.Regions)
	v.checkShares(route)
}

func (v *validator) checkShares(route Route) {
	if len(route.Shares) == 0 {
		return
	}
	if route.Service != "" {
		v.add("route", route.Name, "service and share exclude each other")
	}
	sum := 0
	for _, share := range route.Shares {
		if share.Weight < 0 || share.Weight > maxWeight {
			v.add("route", route.Name, "weight of share %q must be from 0 to %d", share.Service, maxWeight)
		}
		sum += max(0, share.Weight)
	}
	if sum == 0 {
		v.add("route", route.Name, "the weights of its shares sum to 0")
	}
}

// matchKey identifies the calls that a route matches from one source. No two routes may share a matchKey.
type matchKey struct{ host, prefix, source string }

func (v *validator) checkDuplicateMatches(routes []Route) {
	owners := make(map[matchKey]string, len(routes))
	for _, route := range routes {
		sources := route.Sources
		if len(sources) == 0 {
			sources = []string{""}
		}
		for _, source := range sources {
			key := matchKey{host: strings.ToLower(route.Host), prefix: route.PathPrefix, source: source}
			if other, found := owners[key]; found && other != route.Name {
				v.add("route", route.Name, "host and path_prefix are those of route %q", other)
			}
			owners[key] = route.Name
		}
	}
}

func (v *validator) checkLimits(l Limits) {
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		v.add("bundle", "limits", "must not be negative")
	}
}

func (v *validator) checkReferences(c Content, route Route) {
	for _, share := range route.Targets() {
		if _, found := c.Service(share.Service); !found {
			v.add("route", route.Name, "service %q is not in the bundle", share.Service)
		}
	}
	if _, found := c.Service(route.HandBackService); !found && route.HandBackService != "" {
		v.add("route", route.Name, "hand_back_service %q is not in the bundle", route.HandBackService)
	}
	if _, found := c.Secret(route.Secret); !found && route.Secret != "" {
		v.add("route", route.Name, "secret %q is not in the bundle", route.Secret)
	}
}

func previousName[T any](items []T, index int, name func(T) string) string {
	if index == 0 {
		return ""
	}
	return name(items[index-1])
}
