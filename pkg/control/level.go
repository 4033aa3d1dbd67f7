package control

import (
	"sync"

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

// checkLevel refuses a command that some member does not know. It runs in the driver's goroutine.
func (s *Server) checkLevel(command catalog.Command) error {
	common := s.commonLevel()
	if command.Level() <= common {
		return nil
	}
	s.logger.Log("event", "command_refused", "reason", "a member runs an earlier release", "level", int(command.Level()), "common_level", int(common))
	return refuse(catalog.CodeUnavailable, "a member of the control plane runs an earlier release, which does not know this: entries of level %d, it knows %d; upgrade it first",
		command.Level(), common)
}
