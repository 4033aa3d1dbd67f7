package control

import (
	"context"
	"sync"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/protocol"
)

// levelTable knows which log entries the programs of other replicas know. The zero value is empty.
type levelTable struct {
	mu sync.Mutex
	// lower are the levels below this program's own, by the replica's address. A replica that was not
	// heard of yet is taken for one of this program: a lost machine must not keep the others from
	// taking orders.
	lower map[string]catalog.Level
}

// note takes in a replica's level and reports whether that is news.
func (t *levelTable) note(address string, level catalog.Level) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, found := t.lower[address]
	switch {
	case level >= catalog.NewestLevel:
		delete(t.lower, address)
		return found
	case t.lower == nil:
		t.lower = map[string]catalog.Level{}
	}
	t.lower[address] = level
	return !found || held != level
}

// least returns the least level among replicas.
func (t *levelTable) least(addresses []string) catalog.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	least := catalog.NewestLevel
	for _, address := range addresses {
		if level, found := t.lower[address]; found {
			least = min(least, level)
		}
	}
	return least
}

// levelOf returns the level that a replica's hello tells.
func levelOf(hello protocol.Hello) catalog.Level {
	if hello.Level == catalog.LevelBase && hello.KnowsSuspects {
		return catalog.LevelSuspects
	}
	return hello.Level
}

// noteLevel takes in which log entries another replica's program knows.
func (s *Server) noteLevel(hello protocol.Hello) {
	level := levelOf(hello)
	if s.levels.note(hello.Address, level) {
		s.logger.Log("event", "replica_level", "replica", hello.Address, "level", int(level), "own_level", int(catalog.NewestLevel))
	}
}

// commonLevel returns the least level of the members. It runs in the driver's goroutine.
func (s *Server) commonLevel() catalog.Level {
	var addresses []string
	for _, member := range s.replica.Node().Membership().Members {
		addresses = append(addresses, member.Address)
	}
	return s.levels.least(addresses)
}

// contentLevel returns the least level of the members and of all nodes that a replica hears: a node that
// cannot read a content whole takes none of it. It runs in the driver's goroutine.
func (s *Server) contentLevel() catalog.Level {
	return min(s.commonLevel(), s.nodes.least(), s.subscribers.least(s.clock.Elapsed()))
}

// checkLevel refuses a command that some member does not know, or some node cannot read. It runs in the
// driver's goroutine.
func (s *Server) checkLevel(command catalog.Command) error {
	common := s.commonLevel()
	if command.Create != nil || command.Publish != nil {
		common = s.contentLevel()
	}
	if command.Level() <= common {
		return nil
	}
	s.logger.Log("event", "command_refused", "reason", "a replica or a node runs an earlier release", "level", int(command.Level()), "common_level", int(common))
	return refuse(catalog.CodeUnavailable, "a replica or a node runs an earlier release, which does not know this (level %d, it knows %d): upgrade it first",
		command.Level(), common)
}

const (
	// subscriberLevelCheck is how soon a replica tells the others that nodes of an earlier release have come
	// to it, and subscriberLevelInterval how often it repeats that. It does so during an upgrade only.
	subscriberLevelCheck    = 100 * time.Millisecond
	subscriberLevelInterval = time.Second
	// subscriberLevelMemory is for how long a replica goes by that: some messages may be lost.
	subscriberLevelMemory = 4 * subscriberLevelInterval
)

// subscriberLevel is the least level of other replicas' subscribers. The zero value knows none.
type subscriberLevel struct {
	mu    sync.Mutex
	heard map[catalog.Level]time.Duration
}

// note takes in what a replica tells.
func (l *subscriberLevel) note(level catalog.Level, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard == nil {
		l.heard = map[catalog.Level]time.Duration{}
	}
	l.heard[level] = now
}

// least returns the least level that was told of lately.
func (l *subscriberLevel) least(now time.Duration) catalog.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	least := catalog.NewestLevel
	for level, at := range l.heard {
		if now-at <= subscriberLevelMemory {
			least = min(least, level)
		} else {
			delete(l.heard, level)
		}
	}
	return least
}

// noteEarlier takes in what another replica tells of its subscribers, nil for nothing.
func (s *Server) noteEarlier(earlier *protocol.EarlierSubscribers) {
	if earlier != nil {
		s.subscribers.note(earlier.Level, s.clock.Elapsed())
	}
}

// tellSubscriberLevel tells the other replicas that nodes of an earlier release come to this one, for as
// long as any does. All are told: whoever leads next must know when it takes its first publication.
func (s *Server) tellSubscriberLevel(ctx context.Context) {
	ticker := time.NewTicker(subscriberLevelCheck)
	defer ticker.Stop()
	var told protocol.EarlierSubscribers
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		earlier := s.nodes.earlier()
		if earlier == nil || (*earlier == told && time.Now().Before(next)) {
			continue
		}
		told, next = *earlier, time.Now().Add(subscriberLevelInterval)
		err := s.inspect(ctx, func(time.Duration) { s.peers.announceToAll(protocol.Announce{Earlier: earlier}) })
		if err != nil && ctx.Err() == nil {
			s.logger.Log("event", "subscriber_level_not_told", "level", int(earlier.Level), "error", err)
		}
	}
}
