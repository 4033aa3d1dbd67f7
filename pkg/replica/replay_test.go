package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A replica that has applied many versions must make a snapshot when no more arrive, so that a
// restart does not replay them.
func TestReplicaCompactsWhenNoVersionsArrive(t *testing.T) {
	is := is.New(t)
	fsys := writeVersions(t)
	r := openLeader(t, fsys)
	is.True(r.Node().SnapshotIndex() < r.Applied()) // the last version has just arrived
	quiet := time.Minute + replayQuietPeriod + replayJitter
	_, err := r.Flush(quiet)
	is.NoErr(err)
	is.Equal(r.Node().SnapshotIndex(), r.Applied())
	size := r.LogBytes()
	_, err = r.Flush(2 * quiet)
	is.NoErr(err)
	is.Equal(r.LogBytes(), size) // no second snapshot without new versions
	is.NoErr(r.Close())
	reopened, err := Open(0, restartConfig(), fsys)
	is.NoErr(err)
	is.Equal(reopened.Catalog().HeadVersion(), uint64(restartVersions)) // the snapshot contains all versions
	is.NoErr(reopened.Close())
}

// No snapshot is due while versions arrive, or for only a few versions.
func TestNoCompactionWhileVersionsArrive(t *testing.T) {
	is := is.New(t)
	c := replayCost{versions: replayVersionThreshold, lastVersionAt: time.Minute}
	is.True(!c.compactionDue(time.Minute+replayQuietPeriod-1, 0))
	is.True(c.compactionDue(time.Minute+replayQuietPeriod, 0))
	c.versions--
	is.True(!c.compactionDue(time.Hour, 0))
}

// BenchmarkRestartAfterSnapshot measures a restart after compaction, up to leadership with all
// versions applied.
func BenchmarkRestartAfterSnapshot(b *testing.B) {
	fsys := writeVersions(b)
	r := openLeader(b, fsys)
	_, err := r.Flush(time.Minute + replayQuietPeriod + replayJitter)
	must(b, err)
	must(b, r.Close())
	for b.Loop() {
		r := openLeader(b, fsys)
		if r.Catalog().HeadVersion() != restartVersions {
			b.Fatalf("head is %d", r.Catalog().HeadVersion())
		}
		must(b, r.Close())
	}
}
