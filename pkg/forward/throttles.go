package forward

import (
	"maps"
	"sync"

	"bramblelift/pkg/retry"
)

// throttleKey groups calls that gates reject alike: calls of one route have the same rank and similar
// service times, and each service has its own capacity.
type throttleKey struct {
	route   string
	service string
}

// throttles holds one throttle for each route and service.
type throttles struct {
	mu    sync.Mutex
	byKey map[throttleKey]*retry.Throttle
}

func newThrottles() *throttles {
	return &throttles{byKey: map[throttleKey]*retry.Throttle{}}
}

func (t *throttles) get(route, service string) *retry.Throttle {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := throttleKey{route: route, service: service}
	throttle := t.byKey[key]
	if throttle == nil {
		throttle = &retry.Throttle{}
		t.byKey[key] = throttle
	}
	return throttle
}

// prune drops the routes that the table does not have.
func (t *throttles) prune(known func(route string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.byKey, func(key throttleKey, _ *retry.Throttle) bool { return !known(key.route) })
}
