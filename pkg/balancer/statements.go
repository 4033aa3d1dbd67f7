package balancer

import (
	"sync"

	"bramblelift/pkg/exchange"
)

// maxStatements bounds the back ends whose statements are remembered; the oldest are forgotten first.
const maxStatements = 4096

// Statements holds what back ends have stated about themselves to a node: that they leave, and which limit they name. It
// outlives pools and endpoint lists, so that neither an outdated list nor a removed service lets a node forget a
// statement. A statement applies to one incarnation. It is safe for concurrent use.
type Statements struct {
	mu   sync.Mutex
	byID map[string]statement
	// order holds the IDs from the oldest to the newest.
	order []string
}

// statement is what one back end stated.
type statement struct {
	// leavingSet is set once leavingIncarnation, the highest incarnation that leaves, is known.
	leavingSet         bool
	leavingIncarnation uint64
	// limit is what limitIncarnation names.
	limit            exchange.Limit
	limitIncarnation uint64
}

// NewStatements returns an empty Statements.
func NewStatements() *Statements { return &Statements{byID: map[string]statement{}} }

func (s *Statements) markLeaving(id string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byID[id]
	entry.leavingSet, entry.leavingIncarnation = true, max(entry.leavingIncarnation, incarnation)
	s.store(id, entry)
}

// leaving reports whether an incarnation of a back end, or a later one, leaves.
func (s *Statements) leaving(id string, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byID[id]
	return entry.leavingSet && incarnation <= entry.leavingIncarnation
}

// SetLimit records the limit that an incarnation names now, if any. It ignores earlier incarnations than the latest.
func (s *Statements) SetLimit(id string, incarnation uint64, limit exchange.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.byID[id]
	if incarnation < entry.limitIncarnation || (!found && !limit.Named) {
		return
	}
	entry.limit, entry.limitIncarnation = limit, incarnation
	s.store(id, entry)
}

// KnownLimit returns the limit that an incarnation named last, false if it names none.
func (s *Statements) KnownLimit(id string, incarnation uint64) (exchange.KnownLimit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byID[id]
	named := entry.limit.Named && entry.limitIncarnation == incarnation
	return exchange.KnownLimit{Rate: entry.limit.Rate, Incarnation: incarnation}, named
}

// store sets the entry of an ID; s.mu must be held.
func (s *Statements) store(id string, entry statement) {
	if _, found := s.byID[id]; !found {
		s.order = append(s.order, id)
	}
	s.byID[id] = entry
	if len(s.order) > maxStatements {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
}

// RecordNoLimit records that the back end answered the call and its gate knows of no limit. A gate's rejection does not show
// that: the gate may have restarted and not have heard its back end yet.
func (t *Ticket) RecordNoLimit() {
	t.pool.config.Statements.SetLimit(t.ID, t.Incarnation, exchange.Limit{})
}

// KnownLimit returns the limit that the back end named to this node last, false if it names none.
func (t *Ticket) KnownLimit() (exchange.KnownLimit, bool) {
	return t.pool.config.Statements.KnownLimit(t.ID, t.Incarnation)
}
