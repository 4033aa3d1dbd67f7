package quota

import (
	"sync"
	"time"
)

// peerTimeout is the time without a message after which a replica works without the leader, and the leader
// without a replica. Both send ten messages a second.
const peerTimeout = 350 * time.Millisecond

// maxCurrentAge is the age up to which a sum proves that its replica is connected.
const maxCurrentAge = 150 * time.Millisecond

// sumsPerLifeList is the interval, in sums, of complete lists of process runs, which are needed only after the
// replica restarts.
const sumsPerLifeList = 5

// Replica aggregates the reports of a replica's or relay's subscribers and passes the leader's shares on to
// them. It is safe for concurrent use.
type Replica struct {
	name   string
	policy Policy

	mu      sync.Mutex
	reports subscriberReports
	// sumsSent counts the sums sent to the leader.
	sumsSent uint64
	// shares are those for subscribers, computed at sharesAt; both are valid if hasShares is set.
	shares    Shares
	sharesAt  time.Duration
	hasShares bool
	// reserved are the parts of limits reserved for the subscribers, from the leader's last message at
	// leaderHeardAt. leaderSeen is set once there was one.
	reserved      fractions
	leaderHeardAt time.Duration
	leaderSeen    bool
	// standalone computes shares while the replica is disconnected from the leader; nil otherwise.
	standalone *Allocator
}

// NewReplica returns a replica without subscribers.
func NewReplica(name string, policy Policy) *Replica {
	r := &Replica{name: name, policy: policy}
	r.reports.unreported = r.unreported
	return r
}

// Record stores a subscriber's newest report and returns the shares for its response, false if none are valid.
func (r *Replica) Record(now time.Duration, node string, report Report) (Shares, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports.record(now, node, report)
	if !r.hasShares || now-r.sharesAt > shareLease {
		return Shares{}, false
	}
	selected := r.shares.ForReport(report)
	selected.Age = now - r.sharesAt
	return selected, true
}

// RecordDeparture records that a subscriber's connection has closed. Its recent calls still count, unless another
// replica receives reports from the same process run.
func (r *Replica) RecordDeparture(now time.Duration, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports.recordDeparture(now, node)
}

// Sum returns the next sum to send to the leader.
func (r *Replica) Sum(now time.Duration) Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := r.reports.sum(now, r.name, r.policy.Window)
	sum.Alone = r.standalone != nil
	r.sumsSent++
	sum.Sequence = r.sumsSent
	if r.sumsSent%sumsPerLifeList == 1 {
		sum.Lives = r.reports.lives()
	}
	return sum
}

// Report returns a relay's report on its subscribers, for the replica above it.
func (r *Replica) Report(now time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := r.reports.sum(now, r.name, r.policy.Window)
	seen := 1 - float64(sum.Unseen)/float64(max(1, sum.Nodes))
	return Report{
		Age: time.Duration(seen * float64(r.policy.Window)), Uses: sum.Uses, Nodes: sum.Nodes,
		Departures: sum.Departures, Arrivals: sum.Arrivals,
	}
}

// unreported estimates the calls that a subscriber admitted after its last report. The caller holds mu.
func (r *Replica) unreported(use Use, gap time.Duration) float32 {
	rate := float64(use.Asked)
	if share, known := r.shares.ShareOf(use.Tenant); known && share.Limited {
		rate = min(rate, share.rateAt(float64(use.Asked), r.shares.Nodes))
	}
	return float32(rate * gap.Seconds())
}

// ApplyShares applies the leader's shares and returns those to send to all subscribers immediately.
func (r *Replica) ApplyShares(now time.Duration, shares Shares) Shares {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderHeardAt, r.leaderSeen, r.standalone = now, true, nil
	if !shares.Partial || r.reserved.byTenant == nil {
		r.reserved.byTenant = make(map[string]float64, len(shares.List))
	}
	r.reserved.other = float64(shares.Kept)
	for _, share := range shares.List {
		r.reserved.byTenant[share.Tenant] = float64(share.Kept)
	}
	if shares.Partial {
		shares = shares.MergedOver(r.shares)
		shares.Partial = false
	}
	return r.setShares(now, shares)
}

// Alone computes shares while the replica is disconnected from the leader and returns those to send to all
// subscribers immediately. They use only the reserved parts of the limits, as the leader allocates the rest.
func (r *Replica) Alone(now time.Duration, limits map[string]Limit) Shares {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leaderSeen || now-r.leaderHeardAt < peerTimeout {
		return Shares{}
	}
	if r.standalone == nil {
		r.standalone = NewAllocator(now-leaderStartDelay, r.policy)
		r.standalone.previous = sharesByTenant(r.shares.List)
	}
	r.standalone.Record(now, r.reports.sum(now, r.name, r.policy.Window))
	shares, known := r.standalone.sharesOfFraction(now, limits, r.reserved.fraction)
	if !known {
		return Shares{}
	}
	for i := range shares.List {
		shares.List[i].Part = float32(r.reserved.fraction(shares.List[i].Tenant))
	}
	return r.setShares(now, shares)
}

func sharesByTenant(list []Share) map[string]Share {
	shares := make(map[string]Share, len(list))
	for _, share := range list {
		shares[share.Tenant] = share
	}
	return shares
}

func (r *Replica) setShares(now time.Duration, shares Shares) Shares {
	changed := shares.UrgentChanges(r.shares)
	for i := range changed.List {
		changed.List[i].Kept = 0
	}
	r.shares, r.sharesAt, r.hasShares = shares, now-shares.Age, true
	return changed
}
