package stream

import (
	"math/rand/v2"
	"time"
)

// Candidate is a server that a client may subscribe to.
type Candidate struct {
	Address string
	// Near servers, those in the client's own zone, are preferred.
	Near bool
}

// SelectorConfig sets up a Selector.
type SelectorConfig struct {
	// FirstBackoff and MaxBackoff bound the pause after failures, which doubles.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// StaleLimit is how stale a server may be before another is tried.
	StaleLimit time.Duration
	// StalePatience is how long a server that answers is kept for being stale
	// before the next one is tried; a total outage must not make everyone wander.
	StalePatience time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

// DefaultSelectorConfig suits networks with round trips up to some 100 ms.
func DefaultSelectorConfig() SelectorConfig {
	return SelectorConfig{
		FirstBackoff:  100 * time.Millisecond,
		MaxBackoff:    5 * time.Second,
		StaleLimit:    3 * time.Second,
		StalePatience: 2 * time.Second,
		Random:        rand.Float64,
	}
}

// Selector decides which server a client tries and when. It does no I/O and is not
// safe for concurrent use.
type Selector struct {
	config     SelectorConfig
	candidates []Candidate
	next       int
	failures   int
	notBefore  time.Duration

	connectedAt time.Duration
	connected   bool
	staleSince  time.Duration
	stale       bool
}

// NewSelector orders the candidates: near ones first, each kind shuffled so that
// clients spread.
func NewSelector(config SelectorConfig, candidates []Candidate) *Selector {
	s := &Selector{config: config}
	for _, near := range []bool{true, false} {
		var kind []Candidate
		for _, candidate := range candidates {
			if candidate.Near == near {
				kind = append(kind, candidate)
			}
		}
		s.shuffle(kind)
		s.candidates = append(s.candidates, kind...)
	}
	return s
}

func (s *Selector) shuffle(candidates []Candidate) {
	for i := len(candidates) - 1; i > 0; i-- {
		j := int(s.config.Random() * float64(i+1))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
}

// Next returns the server to try and how long to wait before.
func (s *Selector) Next(now time.Duration) (Candidate, time.Duration) {
	candidate := s.candidates[s.next%len(s.candidates)]
	return candidate, max(0, s.notBefore-now)
}

// Connected notes that a subscription is open.
func (s *Selector) Connected(now time.Duration) {
	s.connected = true
	s.connectedAt = now
	s.stale = false
}

// Failed notes that an attempt or a subscription ended. retryAfter is the server's
// wish, zero if it gave none; the same server is tried again then.
func (s *Selector) Failed(now, retryAfter time.Duration) {
	lasted := s.connected && now-s.connectedAt > s.config.MaxBackoff
	s.connected = false
	if lasted {
		s.failures = 0
	}
	if retryAfter > 0 {
		s.notBefore = now + s.jitter(retryAfter)
		return
	}
	s.next++
	s.failures++
	if s.failures < len(s.candidates) && !lasted {
		// The others may well be alive: try each once without a long pause.
		s.notBefore = now + s.jitter(s.config.FirstBackoff)
		return
	}
	doublings := min(s.failures, maxDoublings)
	pause := min(s.config.MaxBackoff, s.config.FirstBackoff<<doublings)
	s.notBefore = now + s.jitter(pause)
}

const maxDoublings = 16

// jitter spreads a pause over half to one and a half times its length.
func (s *Selector) jitter(pause time.Duration) time.Duration {
	return time.Duration((0.5 + s.config.Random()) * float64(pause))
}

// Heard notes a Pong. It reports whether to leave the server because it has been
// stale for too long.
func (s *Selector) Heard(now time.Duration, confirmed bool, stale time.Duration) (leave bool) {
	if confirmed && stale <= s.config.StaleLimit {
		s.stale = false
		s.failures = 0
		return false
	}
	if !s.stale {
		s.stale = true
		s.staleSince = now
	}
	return len(s.candidates) > 1 && now-s.staleSince > s.config.StalePatience
}
