package forward

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/routing"
)

// ranksPerTenant is the number of route priorities within one tenant priority: the tenant's takes
// precedence. Higher route priorities share the last rank.
const ranksPerTenant = 64

// Quotas enforces the tenants' limits over all nodes together.
type Quotas interface {
	// Admit admits one call of a tenant, or returns when to retry. late is set if the call can no longer
	// meet its target latency.
	Admit(now time.Duration, tenant string, late bool) (admitted bool, retryAfter time.Duration)
	// Return refunds an admitted call that reached no back end.
	Return(now time.Duration, tenant string)
}

// credential is the digest of a call's key, or the reason why there is none.
type credential struct {
	digest bundle.Digest
	// fault is one of the reasons below, empty if there is a digest.
	fault string
}

// Reasons why a call's key identifies no tenant. They must not contain the key.
const (
	faultNoKey      = "the call has no key"
	faultManyKeys   = "the call has more than one key"
	faultLongKey    = "the key is too long"
	faultUnknownKey = "the key is not known"
)

// readCredential removes the key and the tenant header from a call's headers, so that neither is
// forwarded or stored.
func readCredential(header http.Header, keyName, tenantName string) credential {
	values := header.Values(keyName)
	header.Del(keyName)
	header.Del(tenantName)
	switch {
	case len(values) == 0:
		return credential{fault: faultNoKey}
	case len(values) > 1:
		return credential{fault: faultManyKeys}
	case len(values[0]) > bundle.MaxKeyLength:
		return credential{fault: faultLongKey}
	}
	return credential{digest: bundle.DigestKey(values[0])}
}

// identifyTenant sets the tenant of the call and applies the tenant's regions. It rejects a call
// without a valid key unless its route is public. An address never replaces a key, since callers may
// share the machine with a back end.
func (c *call) identifyTenant(table *routing.Table) *Refusal {
	headers := c.handler.config.Headers
	if !table.HasTenants() {
		c.request.Header.Del(headers.Tenant)
		return nil
	}
	c.credential = readCredential(c.request.Header, headers.Key, headers.Tenant)
	if refusal := c.handler.rejectStaleKeys(); refusal != nil && !c.route.Public {
		return refusal
	}
	if c.credential.fault == "" {
		c.tenant = table.TenantOf(c.credential.digest)
	}
	if c.tenant == nil {
		if c.route.Public {
			return nil
		}
		return c.handler.unknownTenant(c.credential)
	}
	return c.restrictRegions()
}

// restrictRegions leaves the regions that both the route and the tenant allow.
func (c *call) restrictRegions() *Refusal {
	allowed := c.tenant.Regions
	switch {
	case len(allowed) == 0:
		return nil
	case len(c.route.Regions) == 0:
		c.route.Regions = allowed
		return nil
	}
	c.route.Regions = slices.DeleteFunc(slices.Clone(c.route.Regions), func(region string) bool { return !slices.Contains(allowed, region) })
	if len(c.route.Regions) > 0 {
		return nil
	}
	return &Refusal{Outcome: NotRun, Step: "region", Reason: "no region may serve both the route and the tenant", Status: http.StatusForbidden}
}

// unknownTenant rejects a call whose key identifies no tenant. An unknown key is rejected permanently
// only if the configuration was confirmed recently.
func (h *Handler) unknownTenant(cred credential) *Refusal {
	if cred.fault != "" {
		return &Refusal{Outcome: NotRun, Step: "key", Reason: cred.fault, Status: http.StatusUnauthorized}
	}
	return h.retryableIfStale(&Refusal{Outcome: NotRun, Step: "key", Reason: faultUnknownKey, Status: http.StatusUnauthorized})
}

// rejectStaleKeys rejects calls that need a key if the configuration is older than KeysStaleLimit,
// since a key may have been revoked.
func (h *Handler) rejectStaleKeys() *Refusal {
	limit := h.config.KeysStaleLimit
	if limit == 0 {
		return nil
	}
	stale, confirmed := h.staleness()
	if confirmed && stale <= limit {
		return nil
	}
	return &Refusal{Outcome: NotRun, Step: "key", Reason: "the node has not heard for too long which keys hold: " + formatStaleness(stale, confirmed),
		Status: http.StatusServiceUnavailable, RetryAfter: unconfirmedRetry, Fractions: true}
}

// chargeQuota counts the call against its tenant's limit and rejects it if the limit is exceeded.
func (c *call) chargeQuota() *Refusal {
	if c.tenant == nil || c.tenant.Limit.Rate == 0 || c.handler.config.Quotas == nil {
		return nil
	}
	spare := c.spareTime()
	admitted, retryAfter := c.handler.config.Quotas.Admit(c.now(), c.tenant.Name, c.route.TargetLatency > 0 && spare < 0)
	if admitted {
		c.quotaCharged = true
		return nil
	}
	if spare > minGateRetry {
		// A later retry would miss the target latency.
		retryAfter = min(retryAfter, minGateRetry+time.Duration(rand.Float64()*float64(spare-minGateRetry)))
	}
	return &Refusal{Outcome: NotRun, Step: "quota", Reason: "tenant " + c.tenant.Name + " is beyond its limit",
		Status: http.StatusTooManyRequests, RetryAfter: retryAfter, Fractions: true}
}

// spareTime returns what the target latency leaves besides the service time, negative if it is too late.
func (c *call) spareTime() time.Duration {
	serviceTime, _ := c.handler.serviceTime.get(c.route.Name)
	return c.route.TargetLatency - (c.now() - c.firstAttemptAt) - time.Duration(reservedServiceTimes*float64(serviceTime))
}

// refundQuota refunds the call to its tenant's limit if no back end received it.
func (c *call) refundQuota(refusal *Refusal) {
	if c.quotaCharged && refusal != nil && refusal.Outcome == NotRun && c.attempts == 0 {
		c.handler.config.Quotas.Return(c.now(), c.tenant.Name)
	}
}

// keyRevoked reports whether the call's key was revoked after it arrived.
func (c *call) keyRevoked() bool {
	if c.tenant == nil {
		return false
	}
	current := c.handler.snapshot.Load().table.TenantOf(c.credential.digest)
	return current == nil || current.Name != c.tenant.Name
}

// rank returns the priority of the call in gate queues.
func (c *call) rank() int {
	if c.tenant == nil {
		return c.route.Priority
	}
	return c.tenant.Priority*ranksPerTenant + min(c.route.Priority, ranksPerTenant-1)
}

// setTenantHeader sets the header that names the tenant to back ends.
func (c *call) setTenantHeader(header http.Header) {
	if c.tenant != nil {
		header.Set(c.handler.config.Headers.Tenant, c.tenant.Name)
	}
}

// tenantName returns the name of the call's tenant, empty for none.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}
