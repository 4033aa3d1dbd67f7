package catalog

import (
	"fmt"
	"testing"

	"bramblelift/pkg/bundle"

	"github.com/matryer/is"
)

// publishCommand returns the command that publishes a content, with a path that depends on variant, as
// version number.
func publishCommand(t *testing.T, c *Catalog, base, number uint64, variant string) Command {
	t.Helper()
	content := bundle.Content{
		Services: []bundle.Service{{Name: "s"}},
		Routes:   []bundle.Route{{Name: "r", PathPrefix: "/" + variant + "/", Service: "s"}},
	}.Normalized()
	tree, err := bundle.NewTree(content)
	is.New(t).NoErr(err)
	return Command{Publish: c.NewPublish(base, number, content, tree.Root(), fmt.Appendf(nil, `{"v":%d,{"p":%q}`, number, variant))}
}

func TestPublishActivatesVersionUnderItsNumber(t *testing.T) {
	is := is.New(t)
	c := New()
	is.Equal(code(c.Apply(publishCommand(t, c, 0, 7, "x"))), Code(""))
	is.Equal(c.State().Position().Active, uint64(7))
	is.Equal(code(c.Apply(publishCommand(t, c, 7, 12, "y"))), Code("")) // numbers may have gaps
	is.Equal(c.State().Position().Active, uint64(12))
	is.Equal(string(c.Source), `{"v":12,{"p":"y"}`)
}

// A resent publication must succeed again and change nothing, even hundreds of versions later and
// after a restart.
func TestResentPublicationChangesNothing(t *testing.T) {
	is := is.New(t)
	c := New()
	first := publishCommand(t, c, 0, 1, "first")
	is.Equal(code(c.Apply(first)), Code(""))
	for number := uint64(2); number < 600; number++ {
		is.Equal(code(c.Apply(publishCommand(t, c, number-1, number, fmt.Sprint(number)))), Code(""))
	}
	is.Equal(code(c.Apply(first)), Code(""))
	is.Equal(c.State().Position().Active, uint64(599))
	data, err := c.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(withoutHasher(restored), withoutHasher(c))
	is.True(restored.Published(1, first.Publish.SourceDigest))
	is.Equal(code(restored.Apply(first)), Code(""))
}

func TestOnlyOneOfTwoPublicationsOnOneBaseSucceeds(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Apply(publishCommand(t, c, 0, 1, "x"))
	one, two := publishCommand(t, c, 1, 2, "one"), publishCommand(t, c, 1, 2, "two")
	is.Equal(code(c.Apply(one)), Code(""))
	is.Equal(code(c.Apply(two)), CodeConflict)
	is.Equal(code(c.Apply(one)), Code(""))
	is.Equal(string(c.Source), `{"v":2,{"p":"one"}`)
}

func TestPublishRejectsInvalidRequests(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Apply(publishCommand(t, c, 0, 5, "x"))
	is.Equal(code(c.Apply(publishCommand(t, c, 5, 5, "again"))), CodeInvalidBundle) // not above the head
	is.Equal(code(c.Apply(publishCommand(t, c, 4, 9, "stale"))), CodeConflict)
	wrongDigest := publishCommand(t, c, 5, 9, "y")
	wrongDigest.Publish.SourceDigest[0] ^= 1
	is.Equal(code(c.Apply(wrongDigest)), CodeConflict)
	invalid := publishCommand(t, c, 5, 9, "y")
	invalid.Publish.Delta.RemovedServices = []string{"s"}
	is.Equal(code(c.Apply(invalid)), CodeInvalidBundle)
	is.Equal(c.HeadVersion(), uint64(5))
	is.Equal(c.State().Position().Active, uint64(5))
}
