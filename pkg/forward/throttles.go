package forward

import (
	"maps"
	"sync"

	"bramblelift/pkg/retry"
)

// throttleKey names calls that gates refuse alike: those of one route have the same rank and about
// the same work, and each service that takes a part of the route has room of its own.
type throttleKey struct {
	route   string
	service string
}

// throttles holds the throttles of all routes that calls came to.
type throttles struct {
	mu   sync.Mutex
	held map[throttleKey]*retry.Throttle
}

func newThrottles() *throttles {
	return &throttles{held: map[throttleKey]*retry.Throttle{}}
}

func (t *throttles) of(route, service string) *retry.Throttle {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := throttleKey{route: route, service: service}
	throttle := t.held[key]
	if throttle == nil {
		throttle = &retry.Throttle{}
		t.held[key] = throttle
	}
	return throttle
}

// keep forgets the routes that a table no longer has.
func (t *throttles) keep(known func(route string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.held, func(key throttleKey, _ *retry.Throttle) bool { return !known(key.route) })
}
