package forward

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// timeoutSamples is how many timeouts of a route's callers are kept.
	timeoutSamples = 64
	// timeoutPercentile of the samples is the usual timeout. First attempts have the full timeout, and a
	// few callers with longer ones are ignored.
	timeoutPercentile = 90
	// timeoutRefresh is after how many samples the usual timeout is computed again.
	timeoutRefresh = 8
	// minAge is the age from which a call counts as a caller's retry.
	minAge = 10 * time.Millisecond
)

// callerTimeouts keeps the timeouts that the callers of each route send. A retry has less time left
// than a first attempt: the difference estimates the age of the request.
type callerTimeouts struct {
	mu     sync.Mutex
	routes map[string]*routeTimeouts
}

// routeTimeouts holds the latest timeouts of one route's callers, in milliseconds.
type routeTimeouts struct {
	samples [timeoutSamples]int32
	n       int
	usual   int32
}

func newCallerTimeouts() *callerTimeouts { return &callerTimeouts{routes: map[string]*routeTimeouts{}} }

// age records a caller's remaining timeout as a sample and returns the estimated time since its first
// attempt.
func (t *callerTimeouts) age(route string, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	timeouts := t.routes[route]
	if timeouts == nil {
		timeouts = &routeTimeouts{}
		t.routes[route] = timeouts
	}
	timeouts.record(int32(left.Milliseconds()))
	age := time.Duration(timeouts.usual)*time.Millisecond - left
	if age < minAge {
		return 0
	}
	return age
}

func (r *routeTimeouts) record(millis int32) {
	r.samples[r.n%timeoutSamples] = millis
	r.n++
	if r.n > timeoutRefresh && r.n%timeoutRefresh != 0 {
		return
	}
	sorted := slices.Clone(r.samples[:min(r.n, timeoutSamples)])
	slices.Sort(sorted)
	r.usual = sorted[(len(sorted)-1)*timeoutPercentile/100]
}

// prune drops the routes that the table does not have.
func (t *callerTimeouts) prune(known func(route string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.routes, func(route string, _ *routeTimeouts) bool { return !known(route) })
}
