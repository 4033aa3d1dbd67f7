package replica

import (
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/catalog"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/storage"
)

const (
	restartRoutes   = 600
	restartVersions = 75
)

// restartConfig is the configuration of the only replica of a cluster.
func restartConfig() Config {
	return Config{
		Raft: raft.Config{
			ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, MaxAppendBytes: 1 << 20, KeepEntries: 100,
			Random: func(int64) int64 { return 0 },
		},
		CompactAfter: 4000,
	}
}

// restartContent returns the given version of a bundle with many routes. Versions differ in one
// route.
func restartContent(version int) (bundle.Content, []byte) {
	c := bundle.Content{Services: []bundle.Service{{Name: "orders"}}}
	source := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range restartRoutes {
		timeout := time.Second
		if i == version {
			timeout = 2 * time.Second
		}
		c.Routes = append(c.Routes, bundle.Route{
			Name: fmt.Sprintf("r-%06d", i), Host: fmt.Sprintf("h%d.example", i%9), PathPrefix: fmt.Sprintf("/base%d/", i),
			Service: "orders", Kind: bundle.KindSafe, Timeout: bundle.Duration(timeout),
		})
		source = fmt.Appendf(source, `{"name":"r-%06d","path":"/base%d/","timeout":%d},`, i, i, timeout.Milliseconds())
	}
	return c.Normalized(), source
}

// writeVersions creates a replica whose log contains restartVersions versions.
func writeVersions(tb testing.TB) storage.FileSystem {
	tb.Helper()
	fsys, err := storage.OpenDir(tb.TempDir())
	must(tb, err)
	must(tb, CreateFirst(fsys, "c", "a", []raft.Member{{Name: "a", Address: "a"}}))
	r := openLeader(tb, fsys)
	for version := 1; version <= restartVersions; version++ {
		content, source := restartContent(version)
		tree, err := bundle.NewTree(content)
		must(tb, err)
		publish := r.Catalog().NewPublish(r.Catalog().HeadVersion(), uint64(version), content, tree.Root(), source)
		must(tb, r.Propose(ProposalID(version), catalog.Command{Publish: publish}))
		output, err := r.Flush(time.Minute)
		must(tb, err)
		for _, done := range output.Completions {
			if done.Err != nil || done.Result.Error != nil {
				tb.Fatal(done.Err, done.Result.Error)
			}
		}
	}
	must(tb, r.Close())
	return fsys
}

// openLeader opens the only replica of a cluster and makes it the leader.
func openLeader(tb testing.TB, fsys storage.FileSystem) *Replica {
	tb.Helper()
	r, err := Open(0, restartConfig(), fsys)
	must(tb, err)
	r.Tick(time.Minute)
	_, err = r.Flush(time.Minute)
	must(tb, err)
	return r
}

func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkRestart measures a restart from the log, up to leadership with all versions applied.
func BenchmarkRestart(b *testing.B) {
	fsys := writeVersions(b)
	b.ResetTimer()
	for range b.N {
		r := openLeader(b, fsys)
		if r.Catalog().HeadVersion() != restartVersions {
			b.Fatalf("head is %d", r.Catalog().HeadVersion())
		}
		must(b, r.Close())
	}
}
