package catalog

import (
	"fmt"
	"testing"
	"time"

	"bramblelift/pkg/bundle"

	"github.com/matryer/is"
)

// largeContent returns a content with the given number of routes.
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

// publishCommands returns the commands that publish a number of versions, each of which changes one
// route.
func publishCommands(tb testing.TB, routes, versions int) []Command {
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
		if opErr := c.Apply(command).Error; opErr != nil {
			tb.Fatal(opErr)
		}
		commands = append(commands, command)
	}
	return commands
}

// BenchmarkReplay applies a log of versions that each change one of 2300 routes, as a starting
// replica does.
func BenchmarkReplay(b *testing.B) {
	commands := publishCommands(b, 2300, 40)
	b.ResetTimer()
	for range b.N {
		applyAll(b, commands)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(commands)), "µs/version")
}

// BenchmarkSnapshot encodes a catalog with many versions of a large bundle, as a replica does to
// compact its log.
func BenchmarkSnapshot(b *testing.B) {
	c := applyAll(b, publishCommands(b, 2300, 100))
	for b.Loop() {
		if _, err := c.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRestore decodes such a snapshot, as a starting replica does.
func BenchmarkRestore(b *testing.B) {
	data, err := applyAll(b, publishCommands(b, 2300, 100)).Snapshot()
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

// applyAll returns a new catalog after the commands.
func applyAll(tb testing.TB, commands []Command) *Catalog {
	tb.Helper()
	c := New()
	for _, command := range commands {
		if opErr := c.Apply(command).Error; opErr != nil {
			tb.Fatal(opErr)
		}
	}
	return c
}

// Superseded contents must not fill a replica's memory: their total size and their number are bounded.
func TestKeptContentsAreBoundedBySize(t *testing.T) {
	is := is.New(t)
	countKept := func(routes, versions int) (count int) {
		for _, version := range applyAll(t, publishCommands(t, routes, versions)).Versions {
			if version.Content != nil {
				count++
			}
		}
		return count
	}
	is.Equal(countKept(2300, 30), 10) // 10 x 2,302 items
	is.Equal(countKept(6000, 12), minKeptContents)
	is.Equal(countKept(10, 80), maxKeptContents)
}
