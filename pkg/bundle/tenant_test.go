package bundle

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func withTenants(tenants ...Tenant) Content {
	return Content{
		Routes: []Route{{Name: "r", PathPrefix: "/", Service: "s"}}, Services: []Service{{Name: "s"}}, Tenants: tenants,
	}.Normalized()
}

func TestValidateRejectsInvalidTenants(t *testing.T) {
	is := is.New(t)
	key := func(keys ...string) (digests []Digest) {
		for _, k := range keys {
			digests = append(digests, DigestKey(k))
		}
		return digests
	}
	is.NoErr(withTenants(Tenant{Name: "a", Keys: key("1", "2"), Rate: 10, Burst: 5}, Tenant{Name: "b", Keys: key("3")}, Tenant{Name: "c"}).Validate())
	is.NoErr(withTenants(Tenant{Name: "a", Keys: key("1", "1")}).Validate()) // duplicate keys of one tenant are merged
	for name, c := range map[string]struct {
		tenants  []Tenant
		wantText string
	}{
		"a shared key":        {[]Tenant{{Name: "a", Keys: key("1")}, {Name: "b", Keys: key("2", "1")}}, `which tenant "a" has`},
		"a tenant twice":      {[]Tenant{{Name: "a"}, {Name: "a"}}, "named twice"},
		"no name":             {[]Tenant{{Keys: key("1")}}, "usable name"},
		"a rate below zero":   {[]Tenant{{Name: "a", Rate: -1}}, "rate and burst"},
		"a burst below zero":  {[]Tenant{{Name: "a", Burst: -1}}, "rate and burst"},
		"a rate not a number": {[]Tenant{{Name: "a", Rate: math.NaN()}}, "rate and burst"},
		"an empty key":        {[]Tenant{{Name: "a", Keys: key("")}}, "empty"},
		"a priority below 0":  {[]Tenant{{Name: "a", Priority: -1}}, "priority"},
		"a region's name":     {[]Tenant{{Name: "a", Regions: []string{" "}}}, "region"},
	} {
		err := withTenants(c.tenants...).Validate()
		var invalid *ValidationError
		is.True(errors.As(err, &invalid))
		if err == nil || !strings.Contains(err.Error(), c.wantText) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestTenantsWithUnknownRegionsAreRejected(t *testing.T) {
	is := is.New(t)
	content := withTenants(Tenant{Name: "a", Regions: []string{"west"}})
	is.NoErr(content.CheckRegions([]string{"west", "east"}))
	is.True(content.CheckRegions([]string{"east"}) != nil)
}

// Every scope must contain all tenants, and a delta only the changed ones.
func TestTenantsAreDistributed(t *testing.T) {
	is := is.New(t)
	old := withTenants(Tenant{Name: "a", Keys: []Digest{DigestKey("1")}}, Tenant{Name: "b"})
	next := withTenants(Tenant{Name: "a", Keys: []Digest{DigestKey("2")}}, Tenant{Name: "c", Rate: 3})
	delta := Diff(old, next)
	is.Equal(delta.Items(), 3)
	is.Equal(old.Apply(delta), next)
	is.Equal(next.Scope("some group").Tenants, next.Tenants)
	is.Equal(old.Tenants[0].Keys, []Digest{DigestKey("1")}) // Apply did not modify the old content
}

// The digest of a content without tenants must stay compatible: replicas of earlier releases would reject
// any other.
func TestDigestWithoutTenantsIsCompatible(t *testing.T) {
	is := is.New(t)
	plain, err := NewTree(withTenants())
	is.NoErr(err)
	is.Equal(plain.Root().Short(), "1a1ac06cb845")
	withOne, err := NewTree(withTenants(Tenant{Name: "a"}))
	is.NoErr(err)
	is.True(withOne.Root() != plain.Root())
}

// Stored and displayed contents must contain digests of tenants' keys, never the keys.
func TestEncodedContentContainsNoTenantKey(t *testing.T) {
	is := is.New(t)
	const key = "x42q492cqf75rjvz48wu"
	text, err := json.Marshal(withTenants(Tenant{Name: "a", Keys: []Digest{DigestKey(key)}}))
	is.NoErr(err)
	is.True(!strings.Contains(string(text), key))
	is.True(strings.Contains(string(text), DigestKey(key).String()))
}
