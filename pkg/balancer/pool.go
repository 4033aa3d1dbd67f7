package balancer

import (
	"errors"
	"slices"
	"sync"
	"time"

	"bramblelift/pkg/routing"

	"github.com/cespare/xxhash/v2"
)

// Errors of Acquire and AcquireGate. No back end has seen the call.
var (
	// ErrNoEndpoint means that the service has no back end that may take the call.
	ErrNoEndpoint = errors.New("no back end takes calls")
	// ErrSaturated means that every back end is at its concurrency limit.
	ErrSaturated = errors.New("all back ends are at their limit")
)

// subsetSize is the number of back ends of a large service that one node uses. Hashing by the node's name
// spreads the nodes' connections evenly.
const subsetSize = 24

// maxWaiting bounds the calls that wait for a free slot; any further call gets ErrSaturated immediately.
const maxWaiting = 256

// Outcome is the result of an attempt at a back end.
type Outcome uint8

const (
	// Answered means that the back end sent a response, with any status.
	Answered Outcome = iota
	// Refused means that the back end rejected the call without processing it.
	Refused
	// Failed means that the connection could not be opened or broke.
	Failed
	// Canceled means that the caller disconnected or the deadline passed; limits and failure counts don't change.
	Canceled
)

// Config holds a Pool's settings.
type Config struct {
	Node string
	Zone string
	// Region is the region of Zone; if empty, regions are ignored.
	Region string
	// OwnGate is the address of the gate beside the node, empty for none.
	OwnGate string
	// Random returns a number in [0, n).
	Random func(n int) int
	// Statements holds what back ends have stated; nil means that the pool keeps its own.
	Statements *Statements
}

// Pool holds the back ends of one service that one node uses. It is safe for concurrent use.
type Pool struct {
	config Config

	mu        sync.Mutex
	endpoints []*endpoint
	// changed is closed and replaced when waiting calls should retry.
	changed chan struct{}
	waiting int
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	if config.Statements == nil {
		config.Statements = NewStatements()
	}
	return &Pool{config: config, changed: make(chan struct{})}
}

// Update applies a service's definition. Back ends that remain in the list keep their state.
func (p *Pool) Update(now time.Duration, service routing.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := len(p.endpoints) == 0
	var next []*endpoint
	for _, target := range p.subset(service.Endpoints) {
		e := p.find(target)
		if e == nil {
			e = p.newEndpoint(now, target)
			// Back ends of the first update start at full weight: no others could take the load.
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
			p.markLeaving(e)
		}
		next = append(next, e)
	}
	p.endpoints = next
	p.wakeWaiters()
}

func (p *Pool) newEndpoint(now time.Duration, target routing.Endpoint) *endpoint {
	return &endpoint{
		target: target, addedAt: now, inOtherZone: target.Zone != p.config.Zone, inOtherRegion: p.inOtherRegion(target),
		leaving: p.config.Statements.leaving(target.ID, target.Incarnation),
	}
}

// find returns the existing endpoint with the same ID, incarnation and address, nil if there is none.
func (p *Pool) find(target routing.Endpoint) *endpoint {
	for _, e := range p.endpoints {
		same := e.target.ID == target.ID && e.target.Incarnation == target.Incarnation && e.target.Address == target.Address
		if same {
			return e
		}
	}
	return nil
}

// subset picks the back ends of a large service that the node uses. It orders them for chooseSubset: the one
// beside the node, then the available ones, each group by rendezvous hashing.
func (p *Pool) subset(all []routing.Endpoint) []routing.Endpoint {
	if len(all) <= subsetSize {
		return all
	}
	hash := func(e routing.Endpoint) uint64 { return xxhash.Sum64String(p.config.Node + "\x00" + e.ID) }
	isOwn := func(e routing.Endpoint) bool { return e.Gate != "" && e.Gate == p.config.OwnGate }
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b routing.Endpoint) int {
		if isOwn(a) != isOwn(b) {
			return compareBool(!isOwn(a), !isOwn(b))
		}
		if unavailable(a) != unavailable(b) {
			return compareBool(unavailable(a), unavailable(b))
		}
		return compareUint64(hash(a), hash(b))
	})
	return p.chooseSubset(sorted)
}

// unavailable reports whether a back end gets no new calls: it is leaving, the eligibility rules
// exclude it (as in an evacuated zone), or a rollout closes its gate.
func unavailable(e routing.Endpoint) bool { return e.Leaving || e.RejectReason != "" || e.Closing }

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

func compareUint64(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// markLeaving excludes an endpoint for good and records its incarnation; the mutex is held.
func (p *Pool) markLeaving(e *endpoint) {
	e.leaving = true
	p.config.Statements.markLeaving(e.target.ID, e.target.Incarnation)
}

// Ticket is the permission to send one call to one back end. Done must be called exactly once.
type Ticket struct {
	pool     *Pool
	endpoint *endpoint
	Address  string
	ID       string
	// Incarnation is the back end's incarnation in the node's endpoint list.
	Incarnation uint64
	// Version is the software version of the back end, empty if unknown.
	Version string
	// priority is that of the call.
	priority int
}

// Acquire picks a back end in one of the regions (empty means all) that is not excluded by ID. If all are at
// their limits it waits up to patience for a free slot, or until done is closed. The error wraps ErrNoEndpoint
// or is ErrSaturated.
func (p *Pool) Acquire(done <-chan struct{}, now func() time.Duration, patience time.Duration, excluded, regions []string) (*Ticket, error) {
	deadline := now() + patience
	for {
		p.mu.Lock()
		ticket, err := p.pick(now(), excluded, regions)
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

// wait returns true when the pool has changed or the time is up, false when the caller has disconnected.
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
func (p *Pool) pick(now time.Duration, excluded, regions []string) (*Ticket, error) {
	candidates := p.candidates(now, excluded, regions)
	if len(candidates) == 0 {
		return nil, p.noEndpointError()
	}
	free := slices.DeleteFunc(candidates, func(e *endpoint) bool { return !e.hasFreeSlot() })
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

// candidates returns the back ends eligible for a call restricted to regions (empty means all), without the
// excluded ones. Ejections are ignored if too few usable back ends or no candidates would remain.
func (p *Pool) candidates(now time.Duration, excluded, regions []string) []*endpoint {
	var notExcluded, healthy []*endpoint
	total, usable := 0, 0
	for _, e := range p.endpoints {
		if !e.eligible(regions) {
			continue
		}
		total++
		isUsable := e.usable(now)
		if isUsable {
			usable++
		}
		if slices.Contains(excluded, e.target.ID) {
			continue
		}
		notExcluded = append(notExcluded, e)
		if isUsable {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) == 0 || float64(usable) < panicThreshold*float64(total) {
		return notExcluded
	}
	return healthy
}

// Report records what the back end reported: its load from 0 to 1 (negative if not reported) and whether it
// is leaving.
func (t *Ticket) Report(load float64, leaving bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if load >= 0 {
		t.endpoint.reportedLoad = min(load, 1)
	}
	if leaving {
		t.pool.markLeaving(t.endpoint)
	}
}

// Done records the outcome of the call and frees its slot.
func (t *Ticket) Done(now time.Duration, outcome Outcome) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.endpoint.inFlight--
	switch outcome {
	case Answered:
		t.endpoint.recordResponse()
		t.endpoint.recordLimitAdmission(t.priority)
		t.endpoint.gate.serviceTimeAt = now
	case Refused:
		t.endpoint.recordRefusal()
	case Failed:
		t.endpoint.recordFailure(now)
	}
	t.pool.wakeWaiters()
}

// wakeWaiters makes all waiting calls retry; the mutex is held.
func (p *Pool) wakeWaiters() {
	if p.waiting == 0 {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Status is the state of one back end on the status page.
type Status struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	InFlight int     `json:"in_flight"`
	Limit    float64 `json:"limit"`
	Ejected  bool    `json:"ejected,omitempty"`
	Leaving  bool    `json:"leaving,omitempty"`
}

// Status returns the state of all back ends in the pool.
func (p *Pool) Status(now time.Duration) []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Status
	for _, e := range p.endpoints {
		all = append(all, Status{
			ID: e.target.ID, Address: e.target.Address, InFlight: e.inFlight, Limit: e.limit,
			Ejected: now < e.ejectedUntil, Leaving: e.leaving,
		})
	}
	return all
}
