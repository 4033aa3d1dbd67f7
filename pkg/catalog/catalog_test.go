package catalog

import (
	"fmt"
	"testing"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/deflate"
	"bramblelift/pkg/distribution"

	"github.com/matryer/is"
)

func content(secret string) bundle.Content {
	return bundle.Content{
		Routes:   []bundle.Route{{Name: "a", PathPrefix: "/a", Service: "a", Secret: "s"}},
		Services: []bundle.Service{{Name: "a"}},
		Secrets:  []bundle.Secret{{Name: "s", Value: secret}},
	}
}

func create(t *testing.T, id string, head uint64, secret string) Command {
	t.Helper()
	tree, err := bundle.NewTree(content(secret))
	is.New(t).NoErr(err)
	return Command{OperationID: id, Create: New().NewCreate(head, content(secret), tree.Root())}
}

func approve(id string, version uint64) Command {
	return Command{OperationID: id, Approve: &Approve{Version: version, Approval: bundle.Approval{KeyID: "k"}}}
}

func roll(id string, version uint64) Command {
	return Command{OperationID: id, Roll: &Roll{Version: version}}
}

func code(result Result) Code {
	if result.Error == nil {
		return ""
	}
	return result.Error.Code
}

func TestResentOperationReturnsStoredResult(t *testing.T) {
	is := is.New(t)
	c := New()
	first := c.Apply(create(t, "op-1", 0, "x"))
	is.Equal(first.Version.Version, uint64(1))
	c.Apply(create(t, "op-2", 1, "y"))
	resent := create(t, "op-1", 0, "x")
	resent.AtMillis = 99 // the time of a resend differs
	is.Equal(c.Apply(resent), first)
	is.Equal(c.HeadVersion(), uint64(2)) // no version was created
	is.Equal(code(c.Apply(create(t, "op-1", 2, "z"))), CodeOperationReused)
}

func TestConflictNamesCurrentHead(t *testing.T) {
	is := is.New(t)
	c := New()
	winner := c.Apply(create(t, "one", 0, "x"))
	loser := c.Apply(create(t, "two", 0, "y"))
	is.Equal(code(loser), CodeConflict)
	is.Equal(*loser.Error.Winner, winner.Version)
	is.Equal(c.HeadVersion(), uint64(1))
}

func TestSupersededVersionsCannotBeApprovedOrRolled(t *testing.T) {
	is := is.New(t)
	c := New()
	for version := range uint64(3) {
		c.Apply(create(t, "", version, "x"))
	}
	is.Equal(code(c.Apply(roll("", 2))), CodeNotApproved)
	is.Equal(code(c.Apply(roll("", 9))), CodeUnknownVersion)
	is.Equal(code(c.Apply(approve("", 9))), CodeUnknownVersion)
	c.Apply(approve("", 1))
	c.Apply(approve("", 3))
	is.Equal(code(c.Apply(roll("", 3))), Code(""))
	is.Equal(code(c.Apply(roll("", 3))), Code("")) // rolling twice changes nothing
	is.Equal(code(c.Apply(roll("", 1))), CodeSuperseded)
	is.Equal(code(c.Apply(approve("", 2))), CodeSuperseded)
	is.Equal(c.State().Position().Active, uint64(3))
	is.Equal(c.State().Position().Staged, uint64(0))
}

func TestInvalidBundleChangesNothing(t *testing.T) {
	is := is.New(t)
	c := New()
	bad := create(t, "op", 0, "x")
	bad.Create.Delta.Secrets = nil
	result := c.Apply(bad)
	is.Equal(code(result), CodeInvalidBundle)
	is.Equal(len(result.Error.Problems), 1)
	is.Equal(c.HeadVersion(), uint64(0))
	is.Equal(code(c.Apply(Command{})), CodeInvalidRequest)
}

func TestSnapshotKeepsResultsAndState(t *testing.T) {
	is := is.New(t)
	c := New()
	first := c.Apply(create(t, "op-1", 0, "x"))
	c.Apply(approve("op-2", 1))
	rolled := c.Apply(roll("op-3", 1))
	c.Apply(Command{Endpoints: &Endpoints{Changes: []distribution.Endpoint{{Service: "a", ID: "a-1", Incarnation: 1, Address: "10.0.0.1:80"}}}})
	data, err := c.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.Apply(create(t, "op-1", 0, "x")), first)
	is.Equal(restored.Apply(roll("op-3", 1)), rolled)
	is.Equal(withoutHasher(restored), withoutHasher(c))
	_, err = Restore([]byte("{"))
	is.True(err != nil)
}

// contentWithRoutes returns a content with many routes; variant selects the route that has a timeout.
func contentWithRoutes(routes, variant int) bundle.Content {
	var content bundle.Content
	for i := range routes {
		name := fmt.Sprintf("route-%04d", i)
		content.Services = append(content.Services, bundle.Service{Name: name})
		content.Routes = append(content.Routes, bundle.Route{Name: name, PathPrefix: "/" + name, Service: name})
	}
	content.Routes[variant%routes].Timeout = bundle.Duration(variant + 1)
	return content.Normalized()
}

// Logs and snapshots must not grow by a whole bundle with each version: consecutive bundles are stored
// as compressed deltas.
func TestConsecutiveBundlesAreStoredAsDeltas(t *testing.T) {
	is := is.New(t)
	const routes, versions = 400, 30
	c := New()
	var first, later int
	for variant := range versions {
		content := contentWithRoutes(routes, variant)
		tree, err := bundle.NewTree(content)
		is.NoErr(err)
		request := c.NewCreate(uint64(variant), content, tree.Root())
		record, err := Command{Create: request}.Encode()
		is.NoErr(err)
		document, err := deflate.UnpackRecord(record, maxRecord)
		is.NoErr(err)
		if variant == 0 {
			first = len(document)
			is.True(len(record) < first/5) // the entry is compressed
		}
		later = len(document)
		result := c.Apply(Command{Create: request})
		is.Equal(code(result), Code(""))
		is.Equal(*c.Versions[result.Version.Version].Content, content)
		c.Apply(approve("", result.Version.Version))
		c.Apply(roll("", result.Version.Version))
	}
	is.True(later < first/50)
	record, err := c.Snapshot()
	is.NoErr(err)
	document, err := deflate.UnpackRecord(record, maxRecord)
	is.NoErr(err)
	is.True(len(document) < 2*first) // it holds one full content and the deltas
	is.True(len(record) < len(document)/5)
	restored, err := Restore(record)
	is.NoErr(err)
	is.Equal(withoutHasher(restored), withoutHasher(c))
}

// withoutHasher returns a copy of a catalog without its hasher, whose cache is not part of the state.
func withoutHasher(c *Catalog) Catalog {
	state := *c
	state.hasher = nil
	return state
}

func TestCreateRejectsWrongDigestAndUnknownBase(t *testing.T) {
	is := is.New(t)
	c := New()
	wrong := create(t, "op", 0, "x")
	wrong.Create.Digest[0] ^= 1
	is.Equal(code(c.Apply(wrong)), CodeInvalidBundle)
	unknownBase := create(t, "op-2", 0, "x")
	unknownBase.Create.Base = 9
	is.Equal(code(c.Apply(unknownBase)), CodeUnknownVersion)
	is.Equal(c.HeadVersion(), uint64(0))
}

func TestOldOperationsExpire(t *testing.T) {
	is := is.New(t)
	c := New()
	first := create(t, "first", 0, "x")
	c.Apply(first)
	for i := range MaxStoredResults {
		c.Apply(Command{OperationID: string(rune('a'+i%26)) + string(rune(i)), Roll: &Roll{Version: 1}})
	}
	is.Equal(code(c.Apply(first)), CodeConflict) // the resend is rejected, not executed twice
}

func TestCommandsRoundTrip(t *testing.T) {
	is := is.New(t)
	want := create(t, "op", 4, "x")
	data, err := want.Encode()
	is.NoErr(err)
	got, err := DecodeCommand(data)
	is.NoErr(err)
	is.Equal(got, want)
	_, err = DecodeCommand([]byte("nonsense"))
	is.True(err != nil)
}
