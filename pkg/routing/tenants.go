package routing

import (
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/quota"
)

// Tenant is a customer, identified by a key in its calls.
type Tenant struct {
	Name string
	// Limit bounds the rate of its calls over all nodes; the zero value is no limit.
	Limit quota.Limit
	// Priority takes precedence over the priorities of routes; 0 is served first.
	Priority int
	// Regions are the regions that may serve its calls; empty allows all.
	Regions []string
}

// tenantIndex finds tenants by the digests of their keys. It is immutable. The duration of a lookup reveals
// nothing about keys: a caller can't choose keys with similar digests.
type tenantIndex struct {
	byKey  map[bundle.Digest]*Tenant
	byName map[string]*Tenant
	limits map[string]quota.Limit
}

func newTenantIndex(tenants []bundle.Tenant) *tenantIndex {
	index := &tenantIndex{
		byKey: make(map[bundle.Digest]*Tenant, len(tenants)), byName: make(map[string]*Tenant, len(tenants)), limits: TenantLimits(tenants),
	}
	for _, tenant := range tenants {
		resolved := &Tenant{
			Name: tenant.Name, Limit: quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, Priority: tenant.Priority, Regions: tenant.Regions,
		}
		index.byName[tenant.Name] = resolved
		for _, key := range tenant.Keys {
			index.byKey[key] = resolved
		}
	}
	return index
}

// named returns the tenant with the given name, nil if there is none.
func (x *tenantIndex) named(name string) *Tenant {
	if name == "" {
		return nil
	}
	return x.byName[name]
}

// HasTenants reports whether any tenant is configured; calls on non-public routes then need a tenant's key.
func (t *Table) HasTenants() bool { return len(t.tenants.byName) > 0 }

// TenantOf returns the tenant to which a key digest belongs, nil if none.
func (t *Table) TenantOf(key bundle.Digest) *Tenant { return t.tenants.byKey[key] }

// TenantLimits returns the limits of the table's tenants that have one, by tenant name.
func (t *Table) TenantLimits() map[string]quota.Limit { return t.tenants.limits }

// TenantLimits returns the limits of those tenants that have one, by tenant name.
func TenantLimits(tenants []bundle.Tenant) map[string]quota.Limit {
	limits := make(map[string]quota.Limit, len(tenants))
	for _, tenant := range tenants {
		if tenant.Rate > 0 {
			limits[tenant.Name] = quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
	}
	return limits
}
