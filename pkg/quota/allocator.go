package quota

import (
	"maps"
	"slices"
	"time"
)

// Policy sets how exactly a limit must hold.
type Policy struct {
	// Window is the length of the sliding window in which calls are counted. No window may contain more than
	// (rate x window + burst) x (1 + Overage) + Slack admitted calls.
	Window time.Duration
	// Overage is the tolerance that the tests check; the allocator doesn't depend on it.
	Overage float64
	// Slack is a number of calls, of which the allocator uses slackFraction.
	Slack float64
}

const (
	// A window may contain burstFraction of the burst and slackFraction of the slack beyond the rate. The rest
	// covers calls that are admitted before nodes learn that a tenant is limited, and calls at disconnected
	// nodes.
	burstFraction = 0.9
	slackFraction = 0.25
	// reactionTime is the delay until nodes apply a new rate: report, sum, allocation and delivery. A tenant
	// is limited while its free capacity is less than its calls in limitMargin x reactionTime. unlimitMargin
	// multiplies this threshold for a tenant that is already limited (hysteresis).
	reactionTime  = 600 * time.Millisecond
	limitMargin   = 1.25
	unlimitMargin = 1.3
	// correctionTime is the time in which a deviation of the window from its target is corrected.
	correctionTime = time.Second
	// These multiples of a tenant's limit bound its rate while it is limited. maxRateFactorBelowLimit replaces
	// maxRateFactor while its demand is below the limit, since some nodes don't use their whole share then.
	minRateFraction         = 0.05
	maxRateFactor           = 1.3
	maxRateFactorBelowLimit = 1.6
	// leaderStartDelay is the time that a new leader waits for the replicas' sums before it allocates.
	leaderStartDelay = 300 * time.Millisecond
)

// Allocator computes shares from the sums of all replicas. It is not safe for concurrent use.
type Allocator struct {
	policy    Policy
	startedAt time.Duration
	sums      map[string]latestSum
	previous  map[string]Share
	// beforeRestart holds the last sums of replicas that have restarted.
	beforeRestart []sumBeforeRestart
	// endedLives is the number of ended process runs in the latest shares.
	endedLives int
	// firstSharesAt is when shares were first computed, zero before that.
	firstSharesAt time.Duration
}

type latestSum struct {
	sum        Sum
	receivedAt time.Duration
	// lives are the process runs in the replica's last complete list.
	lives []Life
	// reserved is the part of each limit that the replica's nodes held when all replicas were last connected.
	reserved fractions
}

// NewAllocator returns an allocator without any sums.
func NewAllocator(now time.Duration, policy Policy) *Allocator {
	return &Allocator{policy: policy, startedAt: now, sums: map[string]latestSum{}, previous: map[string]Share{}}
}

// Record stores the newest sum of a replica.
func (a *Allocator) Record(now time.Duration, sum Sum) {
	last := a.sums[sum.Replica]
	a.keepSumBeforeRestart(last, sum)
	if sum.Lives != nil || sum.restartedSince(last.sum) {
		last.lives = sum.Lives
	}
	last.sum, last.receivedAt = sum, now
	a.sums[sum.Replica] = last
}

// Shares returns the shares of all tenants that have a limit and recent calls, sorted by name. It returns
// false while too little is known, such as directly after the leader has started.
func (a *Allocator) Shares(now time.Duration, limits map[string]Limit) (Shares, bool) {
	return a.sharesOfFraction(now, limits, func(string) float64 { return 1 })
}

// sharesOfFraction computes shares of a fraction of each limit.
func (a *Allocator) sharesOfFraction(now time.Duration, limits map[string]Limit, fractionOf func(tenant string) float64) (Shares, bool) {
	if now-a.startedAt < leaderStartDelay {
		return Shares{}, false
	}
	maps.DeleteFunc(a.sums, func(_ string, last latestSum) bool { return now-last.receivedAt > silentRetention })
	var connected []Sum
	var silent []latestSum
	for _, last := range a.sums {
		if now-last.receivedAt > peerTimeout || a.hasNoLeader(now, last) {
			silent = append(silent, last)
			continue
		}
		connected = append(connected, last.sum)
	}
	all := a.combineAll(now, connected)
	if all.nodes == 0 {
		return Shares{}, false
	}
	a.endedLives = all.endedLives
	shares := Shares{Nodes: all.nodes}
	unseen := all.unseen / float64(all.nodes)
	next := make(map[string]Share, len(all.uses))
	for name, use := range all.uses {
		if limit, found := limits[name]; found {
			share := a.allocate(limit, fractionOf(name)*unreservedFraction(silent, name), use, unseen)
			share.Asked = all.active[name].Asked
			next[name] = share
		}
	}
	// Tells nodes once that a tenant is no longer limited.
	for name, last := range a.previous {
		if limit, found := limits[name]; found && last.Limited && next[name].Tenant == "" {
			next[name] = Share{Tenant: name, Rate: float32(limit.Rate), Part: 1}
		}
	}
	a.previous = next
	shares.List = slices.SortedFunc(maps.Values(next), compareShares)
	a.recordReserved(now, shares.Nodes, all.uses)
	if a.firstSharesAt == 0 {
		a.firstSharesAt = now
	}
	return shares, true
}

// hasNoLeader reports whether a replica receives no shares although the leader receives its sums. This can't
// be known until the leader has sent shares for a while.
func (a *Allocator) hasNoLeader(now time.Duration, last latestSum) bool {
	return last.sum.Alone && a.firstSharesAt > 0 && now-a.firstSharesAt > 2*peerTimeout
}

// Uses returns the combined use of all connected replicas, by tenant.
func (a *Allocator) Uses(now time.Duration) map[string]Use {
	var connected []Sum
	for _, last := range a.sums {
		if now-last.receivedAt <= peerTimeout {
			connected = append(connected, last.sum)
		}
	}
	return a.combineAll(now, connected).uses
}

// combineAll combines the given sums with those from before replicas' restarts.
func (a *Allocator) combineAll(now time.Duration, connected []Sum) combined {
	return combine(append(connected, a.sumsBeforeRestart(now, connected)...), a.policy.Window)
}

// RetainedCounts returns how many ended process runs, and how many sums from before replicas' restarts, count in the
// latest shares.
func (a *Allocator) RetainedCounts() (lives, sums int) { return a.endedLives, len(a.beforeRestart) }

// recordReserved stores the part of each limit that the nodes of each replica hold. It changes nothing while a
// replica may be disconnected, because that replica still applies the parts that it received last.
func (a *Allocator) recordReserved(now time.Duration, nodes int, uses map[string]Use) {
	for _, last := range a.sums {
		if now-last.receivedAt > maxCurrentAge || a.hasNoLeader(now, last) {
			return
		}
	}
	for name, last := range a.sums {
		last.reserved = last.sum.fractionsOf(nodes, uses)
		a.sums[name] = last
	}
}

// For returns the shares to send to one replica, with the parts that are reserved for its nodes in case it is
// disconnected.
func (a *Allocator) For(replica string, shares Shares) Shares {
	reserved := a.sums[replica].reserved
	shares.Kept = float32(reserved.other)
	shares.List = slices.Clone(shares.List)
	for i := range shares.List {
		shares.List[i].Kept = float32(reserved.fraction(shares.List[i].Tenant))
	}
	return shares
}

// unreservedFraction returns the part of a limit that is not reserved for silent replicas, whose nodes may
// still admit calls.
func unreservedFraction(silent []latestSum, tenant string) float64 {
	unreserved := 1.0
	for _, last := range silent {
		unreserved -= last.reserved.fraction(tenant)
	}
	return max(0, unreserved)
}

// allocate computes the share of one tenant from a fraction of its limit. unseen is the unknown fraction of
// all nodes' windows, for which calls at the full rate are assumed.
func (a *Allocator) allocate(limit Limit, fraction float64, use Use, unseen float64) Share {
	window := a.policy.Window.Seconds()
	limit = Limit{Rate: fraction * limit.Rate, Burst: fraction * limit.Burst}
	used := float64(use.Used) + unseen*limit.Rate*window
	freeCapacity := limit.Rate*window + burstFraction*limit.Burst + slackFraction*fraction*a.policy.Slack - used
	margin := limitMargin * reactionTime.Seconds() * float64(use.Asked)
	admittedRate := float64(use.Asked)
	if last := a.previous[use.Tenant]; last.Limited {
		margin *= unlimitMargin
		admittedRate = min(admittedRate, float64(last.Rate))
	}
	// The reports are reactionTime old when the rate takes effect; this subtracts the calls admitted until
	// then.
	freeCapacity -= reactionTime.Seconds() * max(0, admittedRate-used/window)
	maxFactor := maxRateFactor
	if float64(use.Asked) < limit.Rate {
		maxFactor = maxRateFactorBelowLimit
	}
	rate := min(maxFactor*limit.Rate, float64(use.Leaving)+unseen*limit.Rate+freeCapacity/correctionTime.Seconds())
	rate = max(rate, minRateFraction*limit.Rate)
	return Share{Tenant: use.Tenant, Limited: freeCapacity < margin, Rate: float32(rate), Asked: use.Asked, Part: 1}
}
