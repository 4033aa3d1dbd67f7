package routing

import (
	"strings"

	"bramblelift/pkg/bundle"
)

// routeIndex finds routes by host and prefix. It is immutable.
type routeIndex struct {
	// hosts hold the routes of each host by prefix; the empty host holds those that take
	// every host.
	hosts map[string]map[string]*Route
	names map[string]bool
	// regional is set if some route may be served by some regions only.
	regional bool
}

func newRouteIndex(content bundle.Content) *routeIndex {
	index := &routeIndex{hosts: map[string]map[string]*Route{}, names: make(map[string]bool, len(content.Routes))}
	resolved := make([]Route, len(content.Routes))
	for i := range content.Routes {
		resolved[i] = resolve(content, &content.Routes[i])
		index.add(&resolved[i], len(content.Routes))
	}
	return index
}

// add takes in a route. Of two with one place the first stays; a valid bundle has none.
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

// match returns the route with the longest prefix of the path that ends at a segment, of the
// host's own routes or else of those for every host.
func (x *routeIndex) match(host, path string) *Route {
	if found := longestPrefix(x.hosts[host], path); found != nil {
		return found
	}
	return longestPrefix(x.hosts[""], path)
}

// longestPrefix looks up the path itself, then what ends at each of its slashes, with and
// without the slash.
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
