package routing

import (
	"strings"

	"bramblelift/pkg/bundle"
)

// routeIndex finds routes by host and path prefix. It is immutable.
type routeIndex struct {
	// hosts holds the routes of each host by prefix. The empty host holds the routes for all hosts.
	hosts map[string]map[string]*Route
	names map[string]bool
	// regional is set if at least one route is restricted to regions.
	regional bool
}

func newRouteIndex(content bundle.Content) *routeIndex {
	index := &routeIndex{hosts: map[string]map[string]*Route{}, names: make(map[string]bool, len(content.Routes))}
	resolved := make([]Route, len(content.Routes))
	for i := range content.Routes {
		resolved[i] = resolveRoute(content, &content.Routes[i])
		index.add(&resolved[i], len(content.Routes))
	}
	return index
}

// add inserts a route. Of two routes with the same host and prefix the first one is kept; a valid bundle
// has no such pair.
func (x *routeIndex) add(r *Route, sizeHint int) {
	prefixes := x.hosts[r.Host]
	if prefixes == nil {
		prefixes = make(map[string]*Route, sizeHint/(len(x.hosts)+1))
		x.hosts[r.Host] = prefixes
	}
	x.names[r.Name] = true
	x.regional = x.regional || len(r.Regions) > 0
	if prefixes[r.PathPrefix] == nil {
		prefixes[r.PathPrefix] = r
	}
}

// match returns the route with the longest prefix of the path that ends at a segment boundary. Routes of
// the host precede those for all hosts.
func (x *routeIndex) match(host, path string) *Route {
	if found := longestPrefix(x.hosts[host], path); found != nil {
		return found
	}
	return longestPrefix(x.hosts[""], path)
}

// longestPrefix looks up the path itself and then its prefixes up to each slash, from the longest to the
// shortest, with and without that slash.
func longestPrefix(prefixes map[string]*Route, path string) *Route {
	if len(prefixes) == 0 {
		return nil
	}
	if found := prefixes[path]; found != nil {
		return found
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if found := prefixes[path[:end+1]]; found != nil {
			return found
		}
		if found := prefixes[path[:end]]; found != nil {
			return found
		}
	}
	return nil
}
