package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A replica that has taken many versions makes a snapshot once it is quiet, so that a restart has
// little to apply again: it took some hundred versions half a second on a quarter of a core, in
// which nobody was served after a loss of everything.
func TestQuietReplicaShortensItsLog(t *testing.T) {
	is := is.New(t)
	files := writeVersions(t)
	r := openLeading(t, files)
	is.True(r.Node().SnapshotIndex() < r.Applied()) // versions came until just now
	quiet := time.Minute + replayQuiet + replaySpread
	_, err := r.Flush(quiet)
	is.NoErr(err)
	is.Equal(r.Node().SnapshotIndex(), r.Applied())
	size := r.LogBytes()
	_, err = r.Flush(2 * quiet)
	is.NoErr(err)
	is.Equal(r.LogBytes(), size) // once is enough
	is.NoErr(r.Close())
	again, err := Open(0, restartConfig(), files)
	is.NoErr(err)
	is.Equal(again.Catalog().HeadVersion(), uint64(restartVersions)) // nothing is left to apply
	is.NoErr(again.Close())
}

// While versions keep coming, and for a few of them, no snapshot is made.
func TestBusyReplicaMakesNoSnapshot(t *testing.T) {
	is := is.New(t)
	w := replayWork{versions: replayVersions, lastAt: time.Minute}
	is.True(!w.compactionDue(time.Minute+replayQuiet-1, 0))
	is.True(w.compactionDue(time.Minute+replayQuiet, 0))
	w.versions--
	is.True(!w.compactionDue(time.Hour, 0))
}

// BenchmarkRestartAfterSnapshot is BenchmarkRestart of a replica that was quiet before it stopped.
func BenchmarkRestartAfterSnapshot(b *testing.B) {
	files := writeVersions(b)
	r := openLeading(b, files)
	_, err := r.Flush(time.Minute + replayQuiet + replaySpread)
	must(b, err)
	must(b, r.Close())
	for b.Loop() {
		r := openLeading(b, files)
		if r.Catalog().HeadVersion() != restartVersions {
			b.Fatalf("head is %d", r.Catalog().HeadVersion())
		}
		must(b, r.Close())
	}
}
