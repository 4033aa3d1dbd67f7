package balancer

import (
	"errors"
	"slices"
	"sync"
	"time"

	"bramblelift/pkg/routing"

	"github.com/cespare/xxhash/v2"
)

// Errors of Acquire. In both cases no back end has seen the call.
var (
	// ErrNoEndpoint: the service has no back end that takes calls.
	ErrNoEndpoint = errors.New("no back end takes calls")
	// ErrSaturated: every back end is at its limit.
	ErrSaturated = errors.New("all back ends are at their limit")
)

// subsetSize is how many back ends of a large service one node uses; which ones
// depends on the node's name only, so that the nodes' connections spread evenly.
const subsetSize = 24

// maxWaiting bounds how many calls wait for a free back end; the next one is refused
// at once.
const maxWaiting = 256

// Outcome is how a call at a back end ended.
type Outcome uint8

const (
	// Answered: the back end answered, whatever the status.
	Answered Outcome = iota
	// Refused: the back end declined the call unprocessed.
	Refused
	// Failed: the connection could not be made or broke.
	Failed
	// Canceled: the caller left or the deadline passed; nothing is learned.
	Canceled
)

// Config sets up a Pool.
type Config struct {
	Node string
	Zone string
	// Region is that of the zone, empty if regions are not told apart.
	Region string
	// OwnGate is the address of the gate beside the node, empty for none.
	OwnGate string
	// Random returns a number in [0, n).
	Random func(n int) int
}

// Pool holds the back ends of one service as one node sees them. It is safe for
// concurrent use.
type Pool struct {
	config Config

	mu        sync.Mutex
	endpoints []*endpoint
	// gone remembers leaving incarnations, so that a list that lags cannot bring
	// one back.
	gone map[string]uint64
	// changed is closed, and made anew, when waiting calls should look again.
	changed chan struct{}
	waiting int
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, gone: map[string]uint64{}, changed: make(chan struct{})}
}

// Update takes in a service's definition. Back ends that stay keep what was learned.
func (p *Pool) Update(now time.Duration, service routing.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := len(p.endpoints) == 0
	var next []*endpoint
	for _, target := range p.subset(service.Endpoints) {
		e := p.find(target)
		if e == nil {
			e = p.newEndpoint(now, target)
			// A pool that starts whole has nobody else to carry the load.
			e.ramped = first
		}
		e.target = target
		e.maxLimit = float64(service.MaxConcurrency)
		if service.MaxConcurrency == 0 {
			e.maxLimit = DefaultConcurrency
		}
		if e.limit == 0 || e.limit > e.maxLimit {
			e.limit = e.maxLimit
		}
		if target.Leaving {
			p.leave(e)
		}
		next = append(next, e)
	}
	p.endpoints = next
	p.wakeWaiting()
}

func (p *Pool) newEndpoint(now time.Duration, target routing.Endpoint) *endpoint {
	e := &endpoint{target: target, joinedAt: now, remote: target.Zone != p.config.Zone, far: p.far(target)}
	if incarnation, left := p.gone[target.ID]; left && target.Incarnation <= incarnation {
		e.leaving = true
	}
	return e
}

// find returns the known endpoint of the same incarnation and address.
func (p *Pool) find(target routing.Endpoint) *endpoint {
	for _, e := range p.endpoints {
		same := e.target.ID == target.ID && e.target.Incarnation == target.Incarnation && e.target.Address == target.Address
		if same {
			return e
		}
	}
	return nil
}

// subset picks the node's share of a large service by rendezvous hashing: the one beside the
// node, then those of its own zone, then others (see chooseSubset).
func (p *Pool) subset(all []routing.Endpoint) []routing.Endpoint {
	if len(all) <= subsetSize {
		return all
	}
	rank := func(e routing.Endpoint) uint64 { return xxhash.Sum64String(p.config.Node + "\x00" + e.ID) }
	own := func(e routing.Endpoint) bool { return e.Gate != "" && e.Gate == p.config.OwnGate }
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b routing.Endpoint) int {
		if own(a) != own(b) {
			return boolCompare(!own(a), !own(b))
		}
		if unavailable(a) != unavailable(b) {
			return boolCompare(unavailable(a), unavailable(b))
		}
		return uintCompare(rank(a), rank(b))
	})
	return p.chooseSubset(sorted)
}

// unavailable reports whether a back end gets nothing new: it leaves, orders refuse it, or a rollout closes its
// gate.
func unavailable(e routing.Endpoint) bool { return e.Leaving || e.Refused != "" || e.Closing }

func boolCompare(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

func uintCompare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (p *Pool) leave(e *endpoint) {
	e.leaving = true
	p.gone[e.target.ID] = max(p.gone[e.target.ID], e.target.Incarnation)
}

// Ticket is the right to send one call to one back end. Done must be called once.
type Ticket struct {
	pool     *Pool
	endpoint *endpoint
	Address  string
	ID       string
	// Incarnation is the one that the node knows.
	Incarnation uint64
	// Version is that of the back end's software, empty if unknown.
	Version string
}

// Acquire picks a back end of the regions that may serve the call (none named means all), leaving
// out the tried ones. If all are at their limits it waits until one is free, but no longer than
// patience.
func (p *Pool) Acquire(done <-chan struct{}, now func() time.Duration, patience time.Duration, tried, regions []string) (*Ticket, error) {
	deadline := now() + patience
	for {
		p.mu.Lock()
		ticket, err := p.pick(now(), tried, regions)
		remaining := deadline - now()
		if !errors.Is(err, ErrSaturated) || remaining <= 0 || p.waiting >= maxWaiting {
			p.mu.Unlock()
			return ticket, err
		}
		p.waiting++
		changed := p.changed
		p.mu.Unlock()
		if !p.wait(done, changed, remaining) {
			return nil, err
		}
	}
}

// wait returns true when the pool changed or the time is up, false when the caller
// left.
func (p *Pool) wait(done, changed <-chan struct{}, remaining time.Duration) bool {
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// pick chooses the better of two random candidates; the mutex is held.
func (p *Pool) pick(now time.Duration, tried, regions []string) (*Ticket, error) {
	candidates := p.candidates(now, tried, regions)
	if len(candidates) == 0 {
		return nil, p.noEndpoint()
	}
	free := slices.DeleteFunc(candidates, func(e *endpoint) bool { return !e.free() })
	if len(free) == 0 {
		return nil, ErrSaturated
	}
	chosen := free[p.config.Random(len(free))]
	other := free[p.config.Random(len(free))]
	if other.score(now) < chosen.score(now) {
		chosen = other
	}
	chosen.inFlight++
	return &Ticket{
		pool: p, endpoint: chosen, Address: chosen.target.Address,
		ID: chosen.target.ID, Incarnation: chosen.target.Incarnation,
	}, nil
}

// candidates returns the back ends that may take a call which only some regions may serve (none named
// means all), and were not tried yet.
// Ejections are ignored when they would leave too few, or none that was not tried;
// leaving back ends never come back.
func (p *Pool) candidates(now time.Duration, tried, regions []string) []*endpoint {
	var untried, healthy []*endpoint
	total, usable := 0, 0
	for _, e := range p.endpoints {
		if !e.eligible(regions) {
			continue
		}
		total++
		ready := e.usable(now)
		if ready {
			usable++
		}
		if slices.Contains(tried, e.target.ID) {
			continue
		}
		untried = append(untried, e)
		if ready {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) == 0 || float64(usable) < panicThreshold*float64(total) {
		return untried
	}
	return healthy
}

// Report takes in what the back end said of itself: its load from 0 to 1, negative for
// nothing, and whether it leaves.
func (t *Ticket) Report(load float64, leaving bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if load >= 0 {
		t.endpoint.reported = min(load, 1)
	}
	if leaving {
		t.pool.leave(t.endpoint)
	}
}

// Done ends the call.
func (t *Ticket) Done(now time.Duration, outcome Outcome) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.endpoint.inFlight--
	switch outcome {
	case Answered:
		t.endpoint.answered()
	case Refused:
		t.endpoint.refused()
	case Failed:
		t.endpoint.failed(now)
	}
	t.pool.wakeWaiting()
}

// wakeWaiting lets all waiting calls look again; the mutex is held.
func (p *Pool) wakeWaiting() {
	if p.waiting == 0 {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Status describes one back end for the status page.
type Status struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	InFlight int     `json:"in_flight"`
	Limit    float64 `json:"limit"`
	Ejected  bool    `json:"ejected,omitempty"`
	Leaving  bool    `json:"leaving,omitempty"`
}

// Status describes all back ends.
func (p *Pool) Status(now time.Duration) []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Status
	for _, e := range p.endpoints {
		all = append(all, Status{
			ID: e.target.ID, Address: e.target.Address, InFlight: e.inFlight, Limit: e.limit,
			Ejected: now < e.ejectedTo, Leaving: e.leaving,
		})
	}
	return all
}
