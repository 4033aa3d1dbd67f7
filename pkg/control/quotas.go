package control

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"bramblelift/pkg/operator"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quota"
	"bramblelift/pkg/routing"
)

const (
	// quotaInterval is the period in which limits are reevaluated. A surge is detected within two periods,
	// in which a tenant at seven times its usual rate uses a tenth of its window.
	quotaInterval = 100 * time.Millisecond
	// fullShareTicks is the number of ticks between two full updates of all shares. Updates in between
	// contain only the shares of tenants that are limited or were at the previous tick.
	fullShareTicks = 5
)

// quotaCoordinator is a replica's part in enforcing tenants' limits across all nodes. Reports and shares
// aren't in the log: a new leader rebuilds them within some tenths of a second.
type quotaCoordinator struct {
	server  *Server
	replica *quota.Replica
	sums    chan quota.Sum
	// allocator is set while this replica leads. It is owned by the event loop, like the fields below.
	allocator *quota.Allocator
	ticks     int
	// lastShares are the shares of the latest allocation.
	lastShares quota.Shares
	// version is the content version that limits were read from.
	version uint64
	limits  map[string]quota.Limit
	limited map[string]bool
}

func newQuotaCoordinator(s *Server) *quotaCoordinator {
	policy := s.settings.Quotas.Policy()
	return &quotaCoordinator{server: s, replica: quota.NewReplica(ownAddress(s.settings), policy), sums: make(chan quota.Sum, inputQueueSize), limited: map[string]bool{}}
}

// receive handles the quota parts of another replica's announcement.
func (q *quotaCoordinator) receive(announced protocol.Announce) {
	if announced.Sum != nil {
		select {
		case q.sums <- *announced.Sum:
		default: // the next sum follows within quotaInterval
		}
	}
	if announced.Shares != nil {
		q.server.hub.PushQuotas(q.replica.ApplyShares(q.server.clock.Elapsed(), *announced.Shares))
	}
}

// run reevaluates the limits periodically until the context ends.
func (q *quotaCoordinator) run(ctx context.Context) {
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := q.server.runOnLoop(ctx, q.tick); err != nil && ctx.Err() == nil {
			q.server.logger.Log("event", "quotas_not_looked_at", "error", err)
		}
	}
}

// tick allocates shares if this replica leads, and sends its nodes' sum to the leader otherwise. It runs
// on the event loop.
func (q *quotaCoordinator) tick(now time.Duration) {
	q.refreshLimits()
	if len(q.limits) == 0 {
		q.allocator, q.lastShares = nil, quota.Shares{}
		return
	}
	node := q.server.replica.Node()
	sum := q.replica.Sum(now)
	if node.LeaseValid(now) {
		q.allocate(now, sum)
		return
	}
	q.allocator, q.lastShares = nil, quota.Shares{}
	if node.Leader() != node.ID() {
		q.server.peers.announce(node.Leader(), protocol.Announce{Sum: &sum})
	}
	q.server.hub.PushQuotas(q.replica.Alone(now, q.limits))
}

// refreshLimits reads the limits from the active version if it changed.
func (q *quotaCoordinator) refreshLimits() {
	active := q.server.replica.State().Active
	if active == nil || active.Manifest.Version == q.version {
		return
	}
	q.version, q.limits = active.Manifest.Version, routing.TenantLimits(active.Content.Tenants)
}

// allocate computes the shares and sends them to all replicas.
func (q *quotaCoordinator) allocate(now time.Duration, own quota.Sum) {
	if q.allocator == nil {
		q.allocator = quota.NewAllocator(now, q.server.settings.Quotas.Policy())
	}
	q.allocator.Record(now, own)
	for more := true; more; {
		select {
		case sum := <-q.sums:
			q.allocator.Record(now, sum)
		default:
			more = false
		}
	}
	shares, known := q.allocator.Shares(now, q.limits)
	if !known {
		return
	}
	q.logLimitChanges(shares)
	update := shares
	if q.ticks++; q.ticks%fullShareTicks != 0 {
		update = shares.UrgentChanges(q.lastShares)
		update.Partial = true
	}
	q.lastShares = shares
	node := q.server.replica.Node()
	for _, member := range node.Membership().Members {
		own := q.allocator.For(member.Address, update)
		if member.ID == node.ID() {
			q.server.hub.PushQuotas(q.replica.ApplyShares(now, own))
			continue
		}
		q.server.peers.announce(member.ID, protocol.Announce{Shares: &own})
	}
}

// logLimitChanges logs tenants that became limited or unlimited.
func (q *quotaCoordinator) logLimitChanges(shares quota.Shares) {
	for _, share := range shares.List {
		if share.Limited == q.limited[share.Tenant] {
			continue
		}
		limit := q.limits[share.Tenant]
		runs, sums := q.allocator.RetainedCounts()
		q.server.logger.Log("event", "tenant_limited", "tenant", share.Tenant, "limited", share.Limited, "rate", limit.Rate, "burst", limit.Burst,
			"asked", share.Asked, "allotted", share.Rate, "nodes", shares.Nodes, "ended_lives", runs, "kept_sums", sums)
		if share.Limited {
			q.limited[share.Tenant] = true
		} else {
			delete(q.limited, share.Tenant)
		}
	}
}

// handleTenants lists the tenants with their use and allocation as the leader knows them.
func (s *Server) handleTenants(w http.ResponseWriter, r *http.Request) {
	list := operator.TenantList{Tenants: []operator.Tenant{}, Leader: s.settings.Name}
	err := s.readWithLease(r.Context(), func(now time.Duration) {
		active := s.replica.State().Active
		if active == nil {
			return
		}
		uses := map[string]quota.Use{}
		if s.quotas.allocator != nil {
			uses = s.quotas.allocator.Uses(now)
		}
		list.Nodes = s.quotas.lastShares.Nodes
		for _, tenant := range active.Content.Tenants {
			described := operator.Tenant{
				Name: tenant.Name, Keys: len(tenant.Keys), Rate: tenant.Rate, Burst: tenant.Burst, Priority: tenant.Priority, Regions: tenant.Regions,
				Asked: float64(uses[tenant.Name].Asked), Used: float64(uses[tenant.Name].Used),
			}
			if share, found := s.quotas.lastShares.ShareOf(tenant.Name); found {
				described.Limited, described.Allotted = share.Limited, float64(share.Rate)
			}
			list.Tenants = append(list.Tenants, described)
		}
	})
	list.Window = s.settings.Quotas.Policy().Window
	slices.SortStableFunc(list.Tenants, func(a, b operator.Tenant) int { return cmp.Compare(b.Used, a.Used) })
	writeResponse(w, list, err)
}
