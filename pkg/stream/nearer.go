package stream

import (
	"errors"
	"slices"
	"time"
)

const (
	// nearMoveDelay is how long servers of the own zone must be known before a client moves to one.
	// In a starting cluster they become known one by one, and the first must not receive every
	// client of its zone.
	nearMoveDelay = time.Second
	// nearRecoveryTime is the additional time for which a server of the own zone is not eligible for a
	// move after its failure mark has expired. A client that moves to a server which is still down loses
	// the time until it detects that.
	nearRecoveryTime = 10 * time.Second
)

// errNearerServer ends a subscription in favor of one at a server of the own zone.
var errNearerServer = errors.New("a server of the own zone is there")

// ShouldMoveNearer reports whether the client should move to a server of its own zone. Without such moves
// clients would stay at the seeds or the servers they failed over to, which concentrates load and
// sends updates across zones. SetCurrent, SelectNearest or MarkUnreachable must follow.
func (s *Selector) ShouldMoveNearer(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.candidates[s.current].Near || s.nearestIndex(now) < 0 {
		s.moveAt = 0
		return false
	}
	if s.moveAt == 0 {
		s.moveAt = now + s.jitter(nearMoveDelay)
	}
	return now >= s.moveAt
}

// NearerAvailable reports whether a server of the own zone is eligible, without the delay of
// ShouldMoveNearer. A client checks it before its first ping, so that the seeds don't send the full state to
// every client after a full restart.
func (s *Selector) NearerAvailable(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.candidates[s.current].Near && s.nearestIndex(now) >= 0
}

// SelectNearest selects a server of the own zone as the next one to try, without a pause.
func (s *Selector) SelectNearest(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveAt = 0
	nearest := s.nearestIndex(now)
	if nearest < 0 {
		return
	}
	s.current = nearest
	s.retryCurrent = true
	s.notBefore = now
}

// Nearest returns an eligible server of the own zone, false if there is none.
func (s *Selector) Nearest(now time.Duration) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	nearest := s.nearestIndex(now)
	if nearest < 0 {
		return Candidate{}, false
	}
	return s.candidates[nearest].Candidate, true
}

// SetCurrent records that the client has subscribed to another server.
func (s *Selector) SetCurrent(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveAt = 0
	if moved := s.indexOf(address); moved >= 0 {
		s.current = moved
	}
}

// Alternative returns a server to replace the current one: another candidate that is not marked as
// failed, false if there is none.
func (s *Selector) Alternative(now time.Duration) (Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.candidates {
		if i != s.current && c.avoidUntil <= now {
			return c.Candidate, true
		}
	}
	return Candidate{}, false
}

// AlternativeFor is Alternative, except that a server that is behind, or from which a change is awaited, is replaced
// even by a candidate marked as failed: the one whose mark expires first.
func (s *Selector) AlternativeFor(now time.Duration, health ServerHealth) (Candidate, bool) {
	if other, known := s.Alternative(now); known || !health.mayLeaveForFailed() {
		return other, known
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := -1
	for i, c := range s.candidates {
		if i != s.current && (oldest < 0 || c.avoidUntil < s.candidates[oldest].avoidUntil) {
			oldest = i
		}
	}
	if oldest < 0 {
		return Candidate{}, false
	}
	return s.candidates[oldest].Candidate, true
}

// MarkUnreachable records that no subscription could be opened at another server while the current
// one continues.
func (s *Selector) MarkUnreachable(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveAt = 0
	if failed := s.indexOf(address); failed >= 0 {
		s.markFailed(now, failed)
	}
}

// indexOf returns the index of a server among the candidates, or -1; mu must be held.
func (s *Selector) indexOf(address string) int {
	return slices.IndexFunc(s.candidates, func(c candidate) bool { return c.Address == address })
}

// nearestIndex returns the index of an eligible server of the own zone, or -1; mu must be held.
func (s *Selector) nearestIndex(now time.Duration) int {
	for i, c := range s.candidates {
		healthySince := c.avoidUntil
		if c.Near && (healthySince < 0 || healthySince+nearRecoveryTime <= now) {
			return i
		}
	}
	return -1
}
