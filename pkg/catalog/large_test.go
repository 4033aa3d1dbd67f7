package catalog

import (
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/bundle"

	"github.com/matryer/is"
)

// largeContent is a bundle with many routes.
func largeContent(routes int) bundle.Content {
	c := bundle.Content{Services: []bundle.Service{{Name: "orders", MaxConnections: 130}, {Name: "media", MaxConnections: 130}}}
	for i := range routes {
		c.Routes = append(c.Routes, bundle.Route{
			Name: fmt.Sprintf("r-%06d", i), Host: fmt.Sprintf("h%d.example", i%9), PathPrefix: fmt.Sprintf("/base%d/", i),
			Service: "orders", Kind: bundle.KindSafe, MaxAttempts: 2, Priority: 2,
			Timeout: bundle.Duration(time.Second), TargetLatency: bundle.Duration(400 * time.Millisecond),
		})
	}
	return c.Normalized()
}

// publications returns the commands of versions that each change one route of many, as a
// log holds them.
func publications(tb testing.TB, routes, versions int) []Command {
	tb.Helper()
	c := New()
	content := largeContent(routes)
	var commands []Command
	for version := 1; version <= versions; version++ {
		content.Routes[version%routes].Timeout += bundle.Duration(time.Millisecond)
		tree, err := bundle.NewTree(content)
		if err != nil {
			tb.Fatal(err)
		}
		source := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
		for _, r := range content.Routes {
			source = fmt.Appendf(source, `{"name":%q,"timeout":%d},`, r.Name, r.Timeout)
		}
		command := Command{Publish: c.NewPublish(uint64(version-1), uint64(version), content, tree.Root(), source)}
		if refused := c.Apply(command).Error; refused != nil {
			tb.Fatal(refused)
		}
		commands = append(commands, command)
	}
	return commands
}

// BenchmarkReplay applies a log of versions that each change one route of 2300, as a replica
// does when it starts.
func BenchmarkReplay(b *testing.B) {
	commands := publications(b, 2300, 40)
	b.ResetTimer()
	for range b.N {
		applied(b, commands)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(commands)), "µs/version")
}

// BenchmarkSnapshot saves a catalog of many versions of a large bundle, as a replica does to
// shorten its log.
func BenchmarkSnapshot(b *testing.B) {
	c := applied(b, publications(b, 2300, 100))
	for b.Loop() {
		if _, err := c.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRestore reads it back, as a replica does when it starts.
func BenchmarkRestore(b *testing.B) {
	data, err := applied(b, publications(b, 2300, 100)).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		if _, err := Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

// applied returns the catalog that commands make.
func applied(tb testing.TB, commands []Command) *Catalog {
	tb.Helper()
	c := New()
	for _, command := range commands {
		if refused := c.Apply(command).Error; refused != nil {
			tb.Fatal(refused)
		}
	}
	return c
}

// Old contents of a large bundle must not fill a replica's memory: those that are kept are bounded
// by what they hold together, and by their number if they are small.
func TestKeptContentsAreBoundedBySize(t *testing.T) {
	is := is.New(t)
	kept := func(routes, versions int) (count int) {
		for _, version := range applied(t, publications(t, routes, versions)).Versions {
			if version.Content != nil {
				count++
			}
		}
		return count
	}
	is.Equal(kept(2300, 30), 10) // 10 x 2,302 items
	is.Equal(kept(6000, 12), minKeptContents)
	is.Equal(kept(10, 80), keptContents)
}
