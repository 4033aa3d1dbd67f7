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
	// Near marks a server in the client's own zone, which is preferred.
	Near bool
}

// Candidates converts configured servers to candidates for a client in the given zone.
func Candidates(zone string, servers []settings.Peer) []Candidate {
	var all []Candidate
	for _, server := range servers {
		all = append(all, Candidate{Address: server.Address, Near: server.Zone == zone})
	}
	return all
}

// SelectorConfig sets the delays after which a Selector leaves and retries servers.
type SelectorConfig struct {
	// FirstBackoff and MaxBackoff bound the pause after a failure, which doubles while every
	// candidate is marked as failed.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// StaleLimit is the age of a server's state beyond which another server is selected.
	StaleLimit time.Duration
	// FailureMarkDuration is how long a server is marked as failed, and avoided, after a failure or while it
	// is stale. It also limits how fast clients cycle through the servers in a total outage.
	FailureMarkDuration time.Duration
	// Random returns a number in [0, 1).
	Random func() float64
}

// DefaultSelectorConfig returns a configuration for round trips of up to about 100 ms. It suits clusters in
// which an accepted version may take up to 8 s to be in force at a client whose server is silent or stale.
func DefaultSelectorConfig() SelectorConfig {
	return SelectorConfig{
		FirstBackoff:        100 * time.Millisecond,
		MaxBackoff:          2 * time.Second,
		StaleLimit:          2500 * time.Millisecond,
		FailureMarkDuration: 4 * time.Second,
		Random:              rand.Float64,
	}
}

// failureMarkFactor is the ratio of FailureMarkDuration to StaleLimit. It leaves a client enough time to try the
// other servers, and lets it return soon to one that has recovered.
const failureMarkFactor = 1.6

// SelectorConfigFor returns the default configuration adapted to a limit on the staleness of a
// server. After a cut that hid all servers a client comes back within that limit, too.
func SelectorConfigFor(staleLimit time.Duration) SelectorConfig {
	config := DefaultSelectorConfig()
	config.StaleLimit = staleLimit
	config.FailureMarkDuration = time.Duration(failureMarkFactor * float64(staleLimit))
	config.MaxBackoff = min(config.MaxBackoff, staleLimit)
	return config
}

// candidate is a Candidate with its failure state.
type candidate struct {
	Candidate
	// avoidUntil is when the failure mark expires, negative for none.
	avoidUntil time.Duration
}

// Selector decides which server a client tries and when. It does no I/O and is safe for concurrent
// use.
type Selector struct {
	mu         sync.Mutex
	config     SelectorConfig
	candidates []candidate
	current    int
	failures   int
	notBefore  time.Duration
	// retryCurrent makes Next return the current server, after the server asked for a retry or SelectNearest
	// selected it.
	retryCurrent bool
	// moveAt is when to move to a server of the own zone, zero if no such move is planned.
	moveAt time.Duration
}

// NewSelector returns a selector that prefers near candidates. The order among the near candidates and among
// the others is random, which spreads clients over the servers.
func NewSelector(config SelectorConfig, candidates []Candidate) *Selector {
	s := &Selector{config: config}
	s.candidates = s.orderByZone(candidates)
	return s
}

func (s *Selector) orderByZone(candidates []Candidate) []candidate {
	var all []candidate
	for _, near := range []bool{true, false} {
		var group []candidate
		for _, c := range candidates {
			if c.Near == near {
				group = append(group, candidate{Candidate: c, avoidUntil: -1})
			}
		}
		s.shuffle(group)
		all = append(all, group...)
	}
	return all
}

// SetCandidates replaces the candidates. Those that remain keep their failure state, and the current server
// is kept until it fails.
func (s *Selector) SetCandidates(candidates []Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.candidates
	current := before[s.current]
	s.candidates = s.orderByZone(candidates)
	for i := range s.candidates {
		for _, old := range before {
			if old.Address == s.candidates[i].Address {
				s.candidates[i].avoidUntil = old.avoidUntil
			}
		}
	}
	s.current = s.indexOf(current.Address)
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

// Next returns the server to try and how long to wait before dialling: the first candidate that is
// not marked as failed, or else the one whose mark expires first.
func (s *Selector) Next(now time.Duration) (Candidate, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retryCurrent {
		s.current = s.best(now)
	}
	s.retryCurrent = false
	return s.candidates[s.current].Candidate, max(0, s.notBefore-now)
}

func (s *Selector) best(now time.Duration) int {
	best := 0
	for i, c := range s.candidates {
		if c.avoidUntil <= now {
			return i
		}
		if c.avoidUntil < s.candidates[best].avoidUntil {
			best = i
		}
	}
	return best
}

// Failed records that an attempt or a subscription at the current server ended. A positive
// retryAfter is the delay requested by the server; the same server is then retried.
func (s *Selector) Failed(now, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if retryAfter > 0 {
		s.retryCurrent = true
		s.notBefore = now + s.jitter(retryAfter)
		return
	}
	s.markFailed(now, s.current)
	pause := s.config.FirstBackoff
	if !s.hasAlternative(now) {
		pause = min(s.config.MaxBackoff, s.config.FirstBackoff<<min(s.failures, maxDoublings))
		s.failures++
	}
	s.notBefore = now + s.jitter(pause)
}

// maxDoublings keeps the shift that doubles a duration from overflowing.
const maxDoublings = 16

// markFailed makes a candidate avoided for about FailureMarkDuration; mu must be held.
func (s *Selector) markFailed(now time.Duration, candidate int) {
	s.candidates[candidate].avoidUntil = now + s.jitter(s.config.FailureMarkDuration)
}

func (s *Selector) hasAlternative(now time.Duration) bool {
	for i, c := range s.candidates {
		if i != s.current && c.avoidUntil <= now {
			return true
		}
	}
	return false
}

// jitter scales a pause by a random factor between 0.5 and 1.5.
func (s *Selector) jitter(pause time.Duration) time.Duration {
	return time.Duration((0.5 + s.config.Random()) * float64(pause))
}

// ServerHealth is the condition of a server as reported by a Pong.
type ServerHealth struct {
	// Confirmed is true if Stale is known, the age of the server's state when it sent the Pong. Transit is an
	// estimate of how long the Pong was under way.
	Confirmed bool
	Stale     time.Duration
	Transit   time.Duration
	// Behind is true if the client holds a newer state than the server, received from another
	// server.
	Behind bool
	// Starting is true if the client has no confirmation yet. Open is how long its subscription has
	// been open.
	Starting bool
	Open     time.Duration
	// Awaited is true while somebody waits for a change to be received.
	Awaited bool
}

// awaitedStaleLimit is the staleness beyond which a server is left while a change is awaited. Followers are
// confirmed with each heartbeat of their leader, a few times within it.
const awaitedStaleLimit = 300 * time.Millisecond

// isUrgent reports whether a change is awaited from a server that has had time to catch up. While there is no leader
// all servers are stale, and a client that leaves each at once ends at one of them by chance.
func (s ServerHealth) isUrgent() bool { return s.Awaited && s.Open >= awaitedStaleLimit }

// isCurrent reports whether the server's state is current enough.
func (s ServerHealth) isCurrent(limit time.Duration) bool {
	if !s.Confirmed || s.Behind {
		return false
	}
	if s.isUrgent() && s.Stale > awaitedStaleLimit {
		return false
	}
	return s.Stale+s.Transit <= limit
}

// mayLeaveForFailed reports whether even a server that is marked as failed is better than this one.
func (s ServerHealth) mayLeaveForFailed() bool { return s.Behind || s.isUrgent() }

// mayAwaitConfirmation reports whether a starting client may keep its server until the first
// confirmation. After a full restart every server waits for a leader, and switching between them
// only delays the client.
func (s ServerHealth) mayAwaitConfirmation(limit time.Duration) bool {
	return s.Starting && !s.Confirmed && !s.Behind && s.Open <= limit
}

// ObservePong records the server's condition after a Pong. It reports whether to leave the server: it is stale and
// another candidate is not marked as failed, or mayLeaveForFailed holds and there is another candidate.
func (s *Selector) ObservePong(now time.Duration, health ServerHealth) (leave bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if health.mayAwaitConfirmation(s.config.StaleLimit) {
		return false
	}
	if health.isCurrent(s.config.StaleLimit) {
		s.failures = 0
		s.candidates[s.current].avoidUntil = -1
		return false
	}
	s.markFailed(now, s.current)
	return s.hasAlternative(now) || (health.mayLeaveForFailed() && len(s.candidates) > 1)
}
