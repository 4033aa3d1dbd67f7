package stream

import (
	"errors"
	"slices"
	"time"
)

const (
	// nearDelay is for how long servers of the own zone are known before a client moves to
	// one: in a cluster that just starts they become known one by one, and the first must
	// not get all clients of its zone.
	nearDelay = time.Second
	// nearMemory is after how long a server of the own zone that was left counts as well
	// again: most faults pass within it, and a return to one that did not costs the time
	// until that is noticed.
	nearMemory = 10 * time.Second
)

// errNearerServer ends a subscription for one at a server of the own zone.
var errNearerServer = errors.New("a server of the own zone is there")

// Nearer reports whether the client should leave its server for one of its own zone. Clients
// start at the servers of their settings, and go wherever they can when those of their zone
// fail; without this they would stay there, the load would stay with few servers, and all of
// it would cross zones. MovedTo or TriedInVain must follow.
func (s *Selector) Nearer(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.candidates[s.current].Near || s.nearest(now) < 0 {
		s.moveAt = 0
		return false
	}
	if s.moveAt == 0 {
		s.moveAt = now + s.jitter(nearDelay)
	}
	return now >= s.moveAt
}

// NearerAtOnce is Nearer for a client that has just opened a subscription and was sent nothing
// yet: after a loss of everything the servers of the settings would send their first state to
// all clients, while those of each zone stand by.
func (s *Selector) NearerAtOnce(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.candidates[s.current].Near && s.nearest(now) >= 0
}

// Move makes a server of the own zone the next one to try, at once.
func (s *Selector) Move(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveAt = 0
	nearest := s.nearest(now)
	if nearest < 0 {
		return
	}
	s.current = nearest
	s.sameAgain = true
	s.notBefore = now
}

// Nearest returns the server of the own zone to go to, false if there is none.
func (s *Selector) Nearest(now time.Duration) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	nearest := s.nearest(now)
	if nearest < 0 {
		return Candidate{}, false
	}
	return s.candidates[nearest].Candidate, true
}

// MovedTo notes that a subscription at another server stands.
func (s *Selector) MovedTo(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveAt = 0
	if moved := s.index(address); moved >= 0 {
		s.current = moved
	}
}

// Other returns the server to go to in place of the current one, which is stale or behind: one that
// is not known to be bad, false if there is none.
func (s *Selector) Other(now time.Duration) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.candidates {
		if i != s.current && c.badUntil <= now {
			return c.Candidate, true
		}
	}
	return Candidate{}, false
}

// OtherFor is Other for a server that stands so. For one that is behind any other does: what that one
// is known for may be over.
func (s *Selector) OtherFor(now time.Duration, standing Standing) (Candidate, bool) {
	if other, known := s.Other(now); known || !standing.Behind {
		return other, known
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := -1
	for i, c := range s.candidates {
		if i != s.current && (longest < 0 || c.badUntil < s.candidates[longest].badUntil) {
			longest = i
		}
	}
	if longest < 0 {
		return Candidate{}, false
	}
	return s.candidates[longest].Candidate, true
}

// TriedInVain notes that no subscription could be opened at another server while the current one
// goes on.
func (s *Selector) TriedInVain(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveAt = 0
	if failed := s.index(address); failed >= 0 {
		s.markBad(now, failed)
	}
}

// index returns where a server stands among the candidates, -1 if it is none; the mutex is held.
func (s *Selector) index(address string) int {
	return slices.IndexFunc(s.candidates, func(c candidate) bool { return c.Address == address })
}

// nearest returns a server of the own zone that has been well for nearMemory, -1 if there is
// none; the mutex is held.
func (s *Selector) nearest(now time.Duration) int {
	for i, c := range s.candidates {
		wellSince := c.badUntil
		if c.Near && (wellSince < 0 || wellSince+nearMemory <= now) {
			return i
		}
	}
	return -1
}
