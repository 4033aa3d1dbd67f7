// Package quota enforces limits on tenants' calls across all nodes without a remote request per call.
//
// Each node counts the calls of its tenants (Limiter) and reports them with its pings, the periodic requests by
// which it stays connected to the control plane. The control plane consists of replicas, one of which is the
// leader. A replica sums the reports of its subscribers (Replica), which are the nodes and relays connected to
// it; a relay connects many nodes to a replica and reports for all of them. The leader combines the sums of all
// replicas (Allocator). The resulting shares go back the same way.
//
// Nodes only count the calls of a tenant well below its limit. A tenant near its limit is limited: each node
// admits calls at its share of a rate, in proportion to its recent demand. A replica without a leader continues
// with the part of each limit that its subscribers held, and a node without a replica with its own part. All
// parts add up to at most the limit, so it also holds during a network partition.
//
// A restarted node doesn't know which calls it admitted before, although they are still within the window.
// Each run of its process therefore has a Life with an ID of its own. Replicas report departed process runs
// with the calls that these admitted, and newly arrived ones. The leader counts the calls of an ended run
// until they leave the window.
//
// The package does no I/O and reads no clock.
package quota

import (
	"cmp"
	"slices"
	"time"
)

// Limit bounds the calls of a tenant.
type Limit struct {
	// Rate is in calls per second; Burst is the number of calls admitted at once beyond it.
	Rate, Burst float64
}

// Use describes the calls of one tenant at one node or at several.
type Use struct {
	Tenant string
	// Asked is the recent rate of calls per second, including rejected ones.
	Asked float32
	// Used is the number of calls admitted in the last window, Leaving how many of them leave it in the next
	// second.
	Used, Leaving float32
	// Parts are the call counts of consecutive equal intervals of the window, oldest first. They determine when
	// the calls of an ended process run leave the window. Set in nodes' own reports and in departures; empty in
	// combined uses.
	Parts []float32
}

// bucketsOrEven returns Parts, or Used spread evenly if there are none.
func (u Use) bucketsOrEven() []float32 {
	if len(u.Parts) > 0 {
		return u.Parts
	}
	buckets := make([]float32, reportedBuckets)
	for i := range buckets {
		buckets[i] = u.Used / reportedBuckets
	}
	return buckets
}

// Report describes the calls of a node's tenants, or those of all nodes below a relay.
type Report struct {
	// Life identifies the run of the node's process, zero if unknown.
	Life uint64
	// Age is how long the node has been counting; calls admitted earlier are unknown.
	Age  time.Duration
	Uses []Use
	// Nodes is the number of nodes below a relay, zero in a node's own report. Departures and Arrivals are
	// those below the relay.
	Nodes      int
	Departures []Departure
	Arrivals   []Arrival
}

// Sum combines the reports of a replica's subscribers.
type Sum struct {
	// Replica is the sender's name. Sequence numbers its sums, from 1 after each start.
	Replica  string
	Sequence uint64
	// Nodes is the number of nodes included. Unseen is the unknown part of their windows, in whole windows of
	// a node, including that of Arrivals.
	Nodes  int
	Unseen float32
	// Departures are process runs that ended or moved elsewhere; Uses excludes their calls. Arrivals are
	// process runs that the replica has seen only recently.
	Departures []Departure
	Arrivals   []Arrival
	// Lives lists all process runs that report to the replica; nil except in one of sumsPerLifeList sums.
	Lives []Life
	// Alone is set while the replica is disconnected from the leader and applies its reserved parts.
	Alone bool
	Uses  []Use
}

// Share is the allocation of one tenant for all nodes together.
type Share struct {
	Tenant string
	// Limited is set if nodes must enforce the rate.
	Limited bool
	// Rate is the total rate of all nodes and Asked their total demand, in calls per second.
	Rate, Asked float32
	// Part is the fraction of the limit that all these nodes together may use while disconnected.
	Part float32
	// Kept is the fraction of the limit that is reserved for the subscribers of the receiving replica; zero in
	// shares for nodes.
	Kept float32
}

// Shares are the allocations computed from the reports of some nodes.
type Shares struct {
	// Nodes is the number of nodes that share the allocations.
	Nodes int
	// Age is the time since the shares were computed.
	Age  time.Duration
	List []Share
	// Partial is set if tenants that are missing from List keep their previous shares.
	Partial bool
	// Kept is the fraction that is reserved for the receiving replica's subscribers, for tenants missing from
	// List.
	Kept float32
}

// ForReport returns the shares for the sender of a report: those of its reported tenants and of all limited ones.
func (s Shares) ForReport(report Report) Shares {
	selected := Shares{Nodes: s.Nodes, Age: s.Age}
	for _, share := range s.List {
		_, reported := slices.BinarySearchFunc(report.Uses, share.Tenant, func(u Use, name string) int { return cmp.Compare(u.Tenant, name) })
		if share.Limited || reported {
			share.Kept = 0
			selected.List = append(selected.List, share)
		}
	}
	return selected
}

// compareUses orders uses by tenant.
func compareUses(a, b Use) int { return cmp.Compare(a.Tenant, b.Tenant) }

// compareShares orders shares by tenant.
func compareShares(a, b Share) int { return cmp.Compare(a.Tenant, b.Tenant) }

// MergedOver returns s with the shares from earlier for tenants that s doesn't contain.
func (s Shares) MergedOver(earlier Shares) Shares {
	merged := s
	merged.List = slices.Clone(s.List)
	for _, share := range earlier.List {
		if _, found := s.find(share.Tenant); !found {
			merged.List = append(merged.List, share)
		}
	}
	slices.SortFunc(merged.List, compareShares)
	return merged
}

// ShareOf returns the share of a tenant, false if there is none.
func (s Shares) ShareOf(tenant string) (Share, bool) {
	if i, found := s.find(tenant); found {
		return s.List[i], true
	}
	return Share{}, false
}

// find returns the index of a tenant's share and whether it exists.
func (s Shares) find(tenant string) (int, bool) {
	return slices.BinarySearchFunc(s.List, tenant, func(share Share, name string) int { return cmp.Compare(share.Tenant, name) })
}

// UrgentChanges returns the shares that must be sent to nodes immediately: those of tenants that are limited or were
// limited in earlier.
func (s Shares) UrgentChanges(earlier Shares) Shares {
	changed := Shares{Nodes: s.Nodes, Age: s.Age}
	for _, share := range s.List {
		if before, _ := earlier.ShareOf(share.Tenant); share.Limited || before.Limited {
			changed.List = append(changed.List, share)
		}
	}
	return changed
}
