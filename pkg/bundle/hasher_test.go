package bundle

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// contentWithRoutes returns a content with n routes, some of which only the group g serves.
func contentWithRoutes(n int) Content {
	c := Content{Services: []Service{{Name: "a", Endpoints: []Endpoint{{ID: "e", Address: "10.0.0.1:1"}}}, {Name: "b"}}}
	for i := range n {
		r := Route{Name: fmt.Sprintf("r%03d", i), PathPrefix: fmt.Sprintf("/%d/", i), Service: "a"}
		if i%3 == 0 {
			r.Sources = []string{"g"}
		}
		c.Routes = append(c.Routes, r)
	}
	return c.Normalized()
}

// changeEachField calls check once for each field of a struct, recursively, while that field has
// another value.
func changeEachField(t *testing.T, v reflect.Value, path string, check func(path string)) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			changeEachField(t, v.Field(i), path+"."+v.Type().Field(i).Name, check)
		}
		return
	case reflect.Slice:
		old := reflect.ValueOf(v.Interface())
		v.Set(reflect.Append(reflect.MakeSlice(v.Type(), 0, 1), reflect.Zero(v.Type().Elem())))
		changeEachField(t, v.Index(0), path+"[0]", check)
		check(path)
		v.Set(old)
		return
	case reflect.Array:
		old := reflect.ValueOf(v.Interface())
		v.Index(0).SetUint(v.Index(0).Uint() ^ 1)
		check(path)
		v.Set(old)
		return
	}
	old := reflect.ValueOf(v.Interface())
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Uint64:
		v.SetUint(v.Uint() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	default:
		t.Fatalf("%s: kind %s is not supported by this test", path, v.Kind())
	}
	check(path)
	v.Set(old)
}

// The comparison of items must omit no field: the cached digest would make a modified bundle pass as
// approved.
func TestHasherDetectsChangeOfEachField(t *testing.T) {
	is := is.New(t)
	c := Content{
		Routes:   []Route{{Name: "r", PathPrefix: "/", Service: "a", Secret: "s"}},
		Services: []Service{{Name: "a"}}, Secrets: []Secret{{Name: "s", Value: "v"}},
		Tenants: []Tenant{{Name: "t", Keys: []Digest{DigestKey("k")}}},
	}
	h := NewHasher()
	first, err := h.Tree(c)
	is.NoErr(err)
	seen := 0
	changeEachField(t, reflect.ValueOf(&c).Elem(), "content", func(path string) {
		changed, err := h.Tree(c)
		is.NoErr(err)
		fresh, err := NewTree(c)
		is.NoErr(err)
		if changed.Root() != fresh.Root() {
			t.Errorf("%s: the outdated cached digest was used", path)
		}
		// The change must show although JSON omits fields with zero values.
		if changed.Root() == first.Root() {
			t.Errorf("%s: the digest did not change", path)
		}
		seen++
	})
	is.True(seen > 25)
	again, err := h.Tree(c)
	is.NoErr(err)
	is.Equal(again.Root(), first.Root())
}

// A hasher with cached digests must return the same digests as a new one.
func TestReusedHasherMatchesNewHasher(t *testing.T) {
	h := NewHasher()
	rapid.Check(t, func(t *rapid.T) {
		c := contentWithRoutes(rapid.IntRange(1, 12).Draw(t, "routes"))
		for i := range c.Routes {
			c.Routes[i].MaxAttempts = rapid.IntRange(0, 2).Draw(t, "attempts")
		}
		cached, err := h.Tree(c)
		if err != nil {
			t.Fatal(err)
		}
		fresh, err := NewTree(c)
		if err != nil {
			t.Fatal(err)
		}
		if cached.Root() != fresh.Root() {
			t.Fatal("digests differ")
		}
		for _, scope := range []string{ScopeAll, "", "g"} {
			proof, found := cached.Proof(scope)
			if found && h.Check(proof, scope, c.Scope(scope), fresh.Root()) != nil {
				t.Fatalf("proof of scope %q is not valid", scope)
			}
		}
	})
}

// Stored bundles whose digests have the legacy format must not be rejected.
func TestLegacyDigestsAreAccepted(t *testing.T) {
	is := is.New(t)
	c := contentWithRoutes(7)
	legacy, err := newTree(c, legacyLeaf)
	is.NoErr(err)
	h := NewHasher()
	tree, err := h.TreeFor(c, legacy.Root())
	is.NoErr(err)
	for _, scope := range []string{ScopeAll, "", "g"} {
		proof, found := tree.Proof(scope)
		is.True(found)
		is.NoErr(h.Check(proof, scope, c.Scope(scope), legacy.Root()))
	}
	c.Routes[0].Service = "b"
	_, err = h.TreeFor(c, legacy.Root())
	is.True(errors.Is(err, ErrDigest))
}

func TestHasherPrunesUnusedDigests(t *testing.T) {
	is := is.New(t)
	h := NewHasher()
	for round := range 20 {
		c := contentWithRoutes(100)
		for i := range c.Routes {
			c.Routes[i].Name = fmt.Sprintf("round-%d-%d", round, i)
		}
		_, err := h.Tree(c.Normalized())
		is.NoErr(err)
		is.True(len(h.routes.entries) <= 2*100+cacheSlack+100)
	}
}
