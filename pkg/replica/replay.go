package replica

import (
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/raft"
)

const (
	// replayVersions is from how many versions in the log on a snapshot is made once it is
	// quiet. To apply one again takes about 2 ms of a whole core at 2,300 routes, to read a
	// snapshot 35 ms (BenchmarkReplay and BenchmarkRestore of pkg/catalog): below it a
	// snapshot would make a restart slower.
	replayVersions = 24
	// replayQuiet is for how long no version must have come: a snapshot takes some 20 ms of a
	// whole core, which must not delay the next version of a series. replaySpread is what
	// replicas differ in, so that they don't all stop for it at once.
	replayQuiet  = 400 * time.Millisecond
	replaySpread = 600 * time.Millisecond
)

// replayWork is what a restart would have to apply again since the last snapshot. After a loss
// of all replicas nobody is served until that is done.
type replayWork struct {
	versions int
	lastAt   time.Duration
}

// note takes in a command that was applied.
func (w *replayWork) note(now time.Duration, command catalog.Command) {
	if command.Create != nil || command.Publish != nil {
		w.versions++
		w.lastAt = now
	}
}

// compactionDue reports whether a snapshot would make a restart faster, and now is a time for it.
func (w *replayWork) compactionDue(now time.Duration, id raft.ReplicaID) bool {
	own := time.Duration(uint64(id) % uint64(replaySpread))
	return w.versions >= replayVersions && now-w.lastAt >= replayQuiet+own
}
