package control

import (
	"context"
	"sync"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/protocol"
)

// replicaLevelTable holds the level of log entries that each other replica supports. The zero value is empty.
type replicaLevelTable struct {
	mu sync.Mutex
	// outdated holds the levels below this program's own, by replica address. A replica without an entry
	// is assumed to support all levels, so that one that is down doesn't block orders.
	outdated map[string]catalog.Level
}

// record stores a replica's level and reports whether it changed.
func (t *replicaLevelTable) record(address string, level catalog.Level) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, found := t.outdated[address]
	switch {
	case level >= catalog.NewestLevel:
		delete(t.outdated, address)
		return found
	case t.outdated == nil:
		t.outdated = map[string]catalog.Level{}
	}
	t.outdated[address] = level
	return !found || previous != level
}

// lowest returns the lowest level of the replicas with the given addresses.
func (t *replicaLevelTable) lowest(addresses []string) catalog.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	lowest := catalog.NewestLevel
	for _, address := range addresses {
		if level, found := t.outdated[address]; found {
			lowest = min(lowest, level)
		}
	}
	return lowest
}

// levelOf returns the level in a replica's hello; KnowsSuspects implies at least LevelSuspects.
func levelOf(hello protocol.Hello) catalog.Level {
	if hello.Level == catalog.LevelBase && hello.KnowsSuspects {
		return catalog.LevelSuspects
	}
	return hello.Level
}

// recordReplicaLevel stores and logs the level of log entries that another replica supports.
func (s *Server) recordReplicaLevel(hello protocol.Hello) {
	level := levelOf(hello)
	if s.replicaLevels.record(hello.Address, level) {
		s.logger.Log("event", "replica_level", "replica", hello.Address, "level", int(level), "own_level", int(catalog.NewestLevel))
	}
}

// minMemberLevel returns the lowest level of the members. It runs on the event loop.
func (s *Server) minMemberLevel() catalog.Level {
	var addresses []string
	for _, member := range s.replica.Node().Membership().Members {
		addresses = append(addresses, member.Address)
	}
	return s.replicaLevels.lowest(addresses)
}

// minContentLevel returns the lowest level of the members and of the nodes subscribed to any replica: a
// node rejects a content that it can't read completely. It runs on the event loop.
func (s *Server) minContentLevel() catalog.Level {
	return min(s.minMemberLevel(), s.nodes.lowest(), s.remoteSubscribers.lowest(s.clock.Elapsed()))
}

// checkLevel rejects a command that some member can't apply or some node can't read. It runs on the
// event loop.
func (s *Server) checkLevel(command catalog.Command) error {
	supported := s.minMemberLevel()
	if command.Create != nil || command.Publish != nil {
		supported = s.minContentLevel()
	}
	if command.Level() <= supported {
		return nil
	}
	s.logger.Log("event", "command_refused", "reason", "a replica or a node runs an earlier release", "level", int(command.Level()), "common_level", int(supported))
	return newOperationError(catalog.CodeUnavailable, "a replica or a node runs an earlier release, which does not know this (level %d, it knows %d): upgrade it first",
		command.Level(), supported)
}

const (
	// subscriberLevelCheckInterval is the delay until a replica reports new subscribers of an earlier
	// release to the other replicas, subscriberLevelRepeat the interval at which it repeats the report.
	subscriberLevelCheckInterval = 100 * time.Millisecond
	subscriberLevelRepeat        = time.Second
	// subscriberLevelTTL is how long a report stays valid; it covers the loss of several messages.
	subscriberLevelTTL = 4 * subscriberLevelRepeat
)

// subscriberLevels holds when each level was last reported for subscribers of other replicas. The zero
// value is empty.
type subscriberLevels struct {
	mu         sync.Mutex
	reportedAt map[catalog.Level]time.Duration
}

// refresh stores the time of a report for a level.
func (l *subscriberLevels) refresh(level catalog.Level, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reportedAt == nil {
		l.reportedAt = map[catalog.Level]time.Duration{}
	}
	l.reportedAt[level] = now
}

// lowest returns the lowest level reported within subscriberLevelTTL.
func (l *subscriberLevels) lowest(now time.Duration) catalog.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest := catalog.NewestLevel
	for level, at := range l.reportedAt {
		if now-at <= subscriberLevelTTL {
			lowest = min(lowest, level)
		} else {
			delete(l.reportedAt, level)
		}
	}
	return lowest
}

// recordSubscriberLevel stores another replica's report about its subscribers; nil reports nothing.
func (s *Server) recordSubscriberLevel(earlier *protocol.EarlierSubscribers) {
	if earlier != nil {
		s.remoteSubscribers.refresh(earlier.Level, s.clock.Elapsed())
	}
}

// broadcastSubscriberLevel reports subscribers of an earlier release to all other replicas while there are
// any. All replicas need the report, since any of them may become the leader.
func (s *Server) broadcastSubscriberLevel(ctx context.Context) {
	ticker := time.NewTicker(subscriberLevelCheckInterval)
	defer ticker.Stop()
	var sent protocol.EarlierSubscribers
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		earlier := s.nodes.earlierSubscribers()
		if earlier == nil || (*earlier == sent && time.Now().Before(next)) {
			continue
		}
		sent, next = *earlier, time.Now().Add(subscriberLevelRepeat)
		err := s.runOnLoop(ctx, func(time.Duration) { s.peers.announceToAll(protocol.Announce{Earlier: earlier}) })
		if err != nil && ctx.Err() == nil {
			s.logger.Log("event", "subscriber_level_not_told", "level", int(earlier.Level), "error", err)
		}
	}
}
