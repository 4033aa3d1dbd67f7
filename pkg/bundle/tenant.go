package bundle

import (
	"crypto/sha256"
	"slices"
)

const (
	maxTenants       = 20000
	maxKeysPerTenant = 100
	// MaxKeyLength is the maximum length of a tenant's key in bytes. Longer keys are treated as unknown
	// without hashing them, so that callers cannot cause expensive hashing.
	MaxKeyLength = 256
	maxQuota     = 1e9
)

// Tenant is a customer, identified by the key in its calls.
type Tenant struct {
	Name string `toml:"name" json:"name"`
	// Keys are the sorted digests of the tenant's keys, as returned by DigestKey.
	Keys []Digest `toml:"key_digests,omitempty" json:"keys,omitempty"`
	// Rate is the maximum rate of calls that all nodes together admit, in calls per second, zero for no
	// limit. Burst is the number of calls that they may admit beyond it at once.
	Rate  float64 `toml:"rate,omitempty" json:"rate,omitempty"`
	Burst float64 `toml:"burst,omitempty" json:"burst,omitempty"`
	// Priority orders the calls of different tenants, before the priorities of routes do; 0 is the highest
	// priority.
	Priority int `toml:"priority,omitempty" json:"priority,omitempty"`
	// Regions restricts the tenant's calls to back ends in these regions; empty allows all.
	Regions []string `toml:"regions,omitempty" json:"regions,omitempty"`
}

// DigestKey returns the digest of a key that bundles contain, a plain SHA-256 without salt, so that a
// node can compute it from a call. It protects only long random keys, as used by machines, and is not
// suitable for passwords.
func DigestKey(key string) Digest { return sha256.Sum256([]byte(key)) }

// equal reports whether all fields of two tenants are equal.
func (t *Tenant) equal(o *Tenant) bool {
	return t.Name == o.Name && slices.Equal(t.Keys, o.Keys) && t.Rate == o.Rate && t.Burst == o.Burst &&
		t.Priority == o.Priority && slices.Equal(t.Regions, o.Regions)
}

// clone returns a deep copy.
func (t *Tenant) clone() Tenant {
	c := *t
	c.Keys, c.Regions = slices.Clone(t.Keys), slices.Clone(t.Regions)
	return c
}

// isNormalized reports whether the lists are sorted and the keys have no duplicates.
func (t *Tenant) isNormalized() bool {
	for i := 1; i < len(t.Keys); i++ {
		if compareDigests(t.Keys[i-1], t.Keys[i]) >= 0 {
			return false
		}
	}
	return slices.IsSorted(t.Regions)
}

// normalize replaces the lists by sorted copies and removes duplicate keys.
func (t *Tenant) normalize() {
	t.Keys = slices.Compact(slices.SortedFunc(slices.Values(t.Keys), compareDigests))
	t.Regions = slices.Sorted(slices.Values(t.Regions))
}

func compareDigests(a, b Digest) int { return slices.Compare(a[:], b[:]) }

func tenantName(t Tenant) string { return t.Name }

// Tenant returns the tenant with the given name, and false if there is none.
func (c Content) Tenant(name string) (Tenant, bool) { return findByName(c.Tenants, name, tenantName) }

// checkTenants checks the fields of the tenants, and that no key belongs to two tenants.
func (v *validator) checkTenants(tenants []Tenant) {
	owner := make(map[Digest]string, len(tenants))
	for i, tenant := range tenants {
		v.checkName("tenant", tenant.Name, previousName(tenants, i, tenantName), i == 0)
		v.checkCount("keys of tenant "+tenant.Name, len(tenant.Keys), maxKeysPerTenant)
		if !(tenant.Rate >= 0 && tenant.Rate <= maxQuota && tenant.Burst >= 0 && tenant.Burst <= maxQuota) {
			v.add("tenant", tenant.Name, "rate and burst must be from 0 to %g", float64(maxQuota))
		}
		if tenant.Priority < 0 {
			v.add("tenant", tenant.Name, "priority must not be negative")
		}
		v.checkRegionNames("tenant", tenant.Name, tenant.Regions)
		for _, key := range tenant.Keys {
			if key == DigestKey("") {
				v.add("tenant", tenant.Name, "a key must not be empty")
			}
			if other, taken := owner[key]; taken {
				v.add("tenant", tenant.Name, "has the key with digest %s, which tenant %q has", key.Short(), other)
			}
			owner[key] = tenant.Name
		}
	}
}

// checkRegionNames checks the names of the regions that a resource is restricted to.
func (v *validator) checkRegionNames(kind, name string, regions []string) {
	for _, region := range regions {
		if !ValidName(region) {
			v.add(kind, name, "region %q is not a usable name", region)
		}
	}
}
