package stream

import (
	"math/rand/v2"
	"sync"
	"time"

	"bramblelift/pkg/settings"
)

// Candidate is a server that a client may subscribe to.
type Candidate struct {
	Address string
	// Near servers, those in the client's own zone, are preferred.
	Near bool
}

// Candidates lists servers as a client in the given zone sees them.
func Candidates(zone string, servers []settings.Peer) []Candidate {
	var all []Candidate
	for _, server := range servers {
		all = append(all, Candidate{Address: server.Address, Near: server.Zone == zone})
	}
	return all
}

// SelectorConfig sets up a Selector.
type SelectorConfig struct {
	// FirstBackoff and MaxBackoff bound the pause after failures, which doubles
	// while no candidate is left that is not known to be bad.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// StaleLimit is how stale a server may be before another is tried.
	StaleLimit time.Duration
	// BadMemory is how long a server that failed or was stale is passed over. In a
	// total outage it keeps clients from wandering faster than that.
	BadMemory time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

// DefaultSelectorConfig suits networks with round trips up to some 100 ms. The times
// are such that a client whose server went silent or stale is current at another one
// within the 8 s in which an accepted version must be in force.
func DefaultSelectorConfig() SelectorConfig {
	return SelectorConfig{
		FirstBackoff: 100 * time.Millisecond,
		MaxBackoff:   2 * time.Second,
		StaleLimit:   2500 * time.Millisecond,
		BadMemory:    4 * time.Second,
		Random:       rand.Float64,
	}
}

// badMemoryShare is how long a stale server is passed over, in stale limits: long enough to
// try the others, short enough to come back to one that has recovered.
const badMemoryShare = 1.6

// SelectorConfigFor returns the default with another bound on how stale a server may be.
func SelectorConfigFor(staleLimit time.Duration) SelectorConfig {
	config := DefaultSelectorConfig()
	config.StaleLimit = staleLimit
	config.BadMemory = time.Duration(badMemoryShare * float64(staleLimit))
	return config
}

// candidate is a server and what the selector thinks of it.
type candidate struct {
	Candidate
	// badUntil is until when the server is passed over.
	badUntil time.Duration
}

// Selector decides which server a client tries and when. It does no I/O. It is safe for
// concurrent use.
type Selector struct {
	mu         sync.Mutex
	config     SelectorConfig
	candidates []candidate
	current    int
	failures   int
	notBefore  time.Duration
	// sameAgain is set when the current server is the next one to try, because it asked for
	// that or was chosen by Move.
	sameAgain bool
	// moveAt is when to leave for a server of the own zone, zero if there is none to go to.
	moveAt time.Duration
}

// NewSelector orders the candidates: near ones first, each kind shuffled so that
// clients spread.
func NewSelector(config SelectorConfig, candidates []Candidate) *Selector {
	s := &Selector{config: config}
	s.candidates = s.ordered(candidates)
	return s
}

func (s *Selector) ordered(candidates []Candidate) []candidate {
	var all []candidate
	for _, near := range []bool{true, false} {
		var kind []candidate
		for _, c := range candidates {
			if c.Near == near {
				kind = append(kind, candidate{Candidate: c, badUntil: -1})
			}
		}
		s.shuffle(kind)
		all = append(all, kind...)
	}
	return all
}

// Offer replaces the candidates. What is thought of those that stay is kept, and the
// current one stays until it fails.
func (s *Selector) Offer(candidates []Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.candidates
	current := before[s.current]
	s.candidates = s.ordered(candidates)
	for i := range s.candidates {
		for _, old := range before {
			if old.Address == s.candidates[i].Address {
				s.candidates[i].badUntil = old.badUntil
			}
		}
	}
	s.current = s.index(current.Address)
	if s.current < 0 {
		s.current = len(s.candidates)
		s.candidates = append(s.candidates, current)
	}
}

func (s *Selector) shuffle(candidates []candidate) {
	for i := len(candidates) - 1; i > 0; i-- {
		j := int(s.config.Random() * float64(i+1))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
}

// Next returns the server to try and how long to wait before: the first one that is
// not known to be bad, or the one that has been bad for longest.
func (s *Selector) Next(now time.Duration) (Candidate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sameAgain {
		s.current = s.best(now)
	}
	s.sameAgain = false
	return s.candidates[s.current].Candidate, max(0, s.notBefore-now)
}

func (s *Selector) best(now time.Duration) int {
	best := 0
	for i, c := range s.candidates {
		if c.badUntil <= now {
			return i
		}
		if c.badUntil < s.candidates[best].badUntil {
			best = i
		}
	}
	return best
}

// Failed notes that an attempt or a subscription at the current server ended.
// retryAfter is the server's wish, zero if it gave none; the same server is tried
// again then.
func (s *Selector) Failed(now, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if retryAfter > 0 {
		s.sameAgain = true
		s.notBefore = now + s.jitter(retryAfter)
		return
	}
	s.markBad(now, s.current)
	pause := s.config.FirstBackoff
	if !s.otherUsable(now) {
		pause = min(s.config.MaxBackoff, s.config.FirstBackoff<<min(s.failures, maxDoublings))
		s.failures++
	}
	s.notBefore = now + s.jitter(pause)
}

const maxDoublings = 16

// markBad passes a candidate over for a while; the mutex is held.
func (s *Selector) markBad(now time.Duration, candidate int) {
	s.candidates[candidate].badUntil = now + s.jitter(s.config.BadMemory)
}

func (s *Selector) otherUsable(now time.Duration) bool {
	for i, c := range s.candidates {
		if i != s.current && c.badUntil <= now {
			return true
		}
	}
	return false
}

// jitter spreads a pause over half to one and a half times its length.
func (s *Selector) jitter(pause time.Duration) time.Duration {
	return time.Duration((0.5 + s.config.Random()) * float64(pause))
}

// Standing is what a Pong says of its server.
type Standing struct {
	// Confirmed says that Stale is known.
	Confirmed bool
	Stale     time.Duration
	// Behind is set if the client holds a newer state than the server: it got that from
	// another, so another is worth more.
	Behind bool
	// Starting is set if the client was never confirmed, and Open is how long its subscription
	// has been open.
	Starting bool
	Open     time.Duration
}

// mayWait reports whether a starting client may wait where it is for the first confirmation:
// after a loss of everything all servers wait for a leader, and who goes from one to the next
// is late when there is one.
func (s Standing) mayWait(limit time.Duration) bool {
	return s.Starting && !s.Confirmed && !s.Behind && s.Open <= limit
}

// Heard notes a Pong. It reports whether to leave the server: it is stale, and another
// is not known to be, or it is behind.
func (s *Selector) Heard(now time.Duration, standing Standing) (leave bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if standing.mayWait(s.config.StaleLimit) {
		return false
	}
	if standing.Confirmed && !standing.Behind && standing.Stale <= s.config.StaleLimit {
		s.failures = 0
		s.candidates[s.current].badUntil = -1
		return false
	}
	s.markBad(now, s.current)
	return s.otherUsable(now) || (standing.Behind && len(s.candidates) > 1)
}
