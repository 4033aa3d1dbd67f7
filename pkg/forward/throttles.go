package forward

import (
	"sync"

	"bramblelift/pkg/retry"
)

// routeThrottles holds a throttle for each route that calls came to: calls of one route have the
// same rank and about the same work, so gates that refuse one refuse most.
type routeThrottles struct {
	mu     sync.Mutex
	routes map[string]*retry.Throttle
}

func newRouteThrottles() *routeThrottles {
	return &routeThrottles{routes: map[string]*retry.Throttle{}}
}

func (t *routeThrottles) of(route string) *retry.Throttle {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.routes[route]
	if held == nil {
		held = &retry.Throttle{}
		t.routes[route] = held
	}
	return held
}

// keep forgets the routes that a table no longer has.
func (t *routeThrottles) keep(known func(route string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for route := range t.routes {
		if !known(route) {
			delete(t.routes, route)
		}
	}
}
