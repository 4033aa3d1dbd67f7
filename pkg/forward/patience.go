package forward

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// patienceSamples is how many callers of a route are remembered.
	patienceSamples = 64
	// patienceRank is the rank of the usual patience among them, in hundredths: first attempts
	// all have it, unless fewer than a tenth are; a few callers that wait longer do not count.
	patienceRank = 90
	// patienceEvery is after how many callers the usual patience is worked out anew.
	patienceEvery = 8
	// minAge is from which age on a call is taken for a caller's further attempt.
	minAge = 10 * time.Millisecond
)

// patiences remembers for how long the callers of each route say that they wait. A caller that
// comes back after a refusal has less time left than at first: what is missing is the age of its
// request, by which its answer may be late already.
type patiences struct {
	mu     sync.Mutex
	routes map[string]*routePatience
}

// routePatience holds the latest callers of one route, in milliseconds.
type routePatience struct {
	samples [patienceSamples]int32
	n       int
	usual   int32
}

func newPatiences() *patiences { return &patiences{routes: map[string]*routePatience{}} }

// age takes in how long a caller still waits, and returns for how long it is estimated to have
// tried before.
func (p *patiences) age(route string, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.routes[route]
	if held == nil {
		held = &routePatience{}
		p.routes[route] = held
	}
	held.note(int32(left.Milliseconds()))
	age := time.Duration(held.usual)*time.Millisecond - left
	if age < minAge {
		return 0
	}
	return age
}

func (r *routePatience) note(millis int32) {
	r.samples[r.n%patienceSamples] = millis
	r.n++
	if r.n > patienceEvery && r.n%patienceEvery != 0 {
		return
	}
	held := slices.Clone(r.samples[:min(r.n, patienceSamples)])
	slices.Sort(held)
	r.usual = held[(len(held)-1)*patienceRank/100]
}

// keep forgets the routes that a table no longer has.
func (p *patiences) keep(known func(route string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.routes, func(route string, _ *routePatience) bool { return !known(route) })
}
