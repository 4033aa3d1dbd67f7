package replica

import (
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/raft"
)

const (
	// replayVersionThreshold is the minimum number of versions in the log at which restoring a
	// snapshot is faster than replaying them. Replaying one takes about 2 ms of a core at 2,300 routes,
	// restoring a snapshot 35 ms (BenchmarkReplay and BenchmarkRestore in pkg/catalog).
	replayVersionThreshold = 24
	// replayQuietPeriod is the minimum time since the last version before a snapshot, so that
	// it does not delay the next version of a series: it takes some 20 ms of a core. replayJitter is the range of the
	// additional delay, which differs between replicas so that they do not all compact at once.
	replayQuietPeriod = 400 * time.Millisecond
	replayJitter      = 600 * time.Millisecond
)

// replayCost tracks the versions that a restart must replay from the log. A restarted replica
// serves no requests until that is done.
type replayCost struct {
	versions int
	// lastVersionAt is when the latest of them was applied.
	lastVersionAt time.Duration
}

// record counts an applied command that creates or publishes a version.
func (c *replayCost) record(now time.Duration, command catalog.Command) {
	if command.Create != nil || command.Publish != nil {
		c.versions++
		c.lastVersionAt = now
	}
}

// compactionDue reports whether a snapshot would make a restart faster and no version arrived
// recently.
func (c *replayCost) compactionDue(now time.Duration, id raft.ReplicaID) bool {
	jitter := time.Duration(uint64(id) % uint64(replayJitter))
	return c.versions >= replayVersionThreshold && now-c.lastVersionAt >= replayQuietPeriod+jitter
}
