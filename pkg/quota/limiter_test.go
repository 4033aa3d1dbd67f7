package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

func newLimiter(limit Limit) *Limiter {
	l := NewLimiter(Config{Window: 5 * second})
	l.SetLimits(0, map[string]Limit{"t": limit})
	return l
}

// admit offers a number of calls and returns how many were admitted.
func admit(l *Limiter, now time.Duration, calls int) (admitted int) {
	for range calls {
		if ok, _ := l.Admit(now, "t", false); ok {
			admitted++
		}
	}
	return admitted
}

func sharesOf(limited bool, rate, asked float32) Shares {
	return Shares{Nodes: 10, List: []Share{{Tenant: "t", Limited: limited, Rate: rate, Asked: asked, Part: 1}}}
}

func TestTenantsWithoutLimitAreAdmitted(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 1})
	for range 100 {
		ok, _ := l.Admit(0, "nobody", false)
		is.True(ok)
	}
	l.Return(0, "nobody")
}

// Guards against rejecting calls of unlimited tenants, and against exceeding the node's share of a limited
// one's rate.
func TestLimitedTenantGetsNodeShare(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 100, Burst: 100})
	l.ApplyShares(second, second, sharesOf(false, 100, 0))
	is.Equal(admit(l, second, 50), 50)
	report := l.Report(second)
	is.Equal(len(report.Uses), 1)
	is.Equal(report.Uses[0].Used, float32(50))
	is.True(report.Uses[0].Asked > 50)
	l.ApplyShares(second, second, sharesOf(true, 100, 2*report.Uses[0].Asked))
	is.Equal(admit(l, second, 50), 0) // no tokens earned yet
	admitted := 0
	for now := second; now < 2*second; now += 10 * time.Millisecond {
		l.ApplyShares(now, now, sharesOf(true, 100, 2*report.Uses[0].Asked))
		admitted += admit(l, now, 10)
	}
	is.True(admitted > 40 && admitted < 50) // half of the rate, less the evenly spread fraction
}

// A disconnected node must fall back to its share of the configured limit.
func TestPartitionedNodeIsBoundedByItsShareOfTheLimit(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 100, Burst: 100})
	admit(l, second, 10)
	report := l.Report(second)
	l.ApplyShares(second, second, sharesOf(false, 500, 10*report.Uses[0].Asked))
	is.Equal(admit(l, second+shareLease, 100), 100) // the lease has not expired
	admitted := 0
	const duration = 10 * second
	for now := second + shareLease + 1; now < second+shareLease+duration; now += 10 * time.Millisecond {
		admitted += admit(l, now, 10)
	}
	is.True(admitted > 90 && admitted < 110) // a tenth of the limit
}

// A node that never received shares doesn't know the number of nodes, so it may admit only one call.
func TestNodeWithoutSharesAdmitsOneCall(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 100, Burst: 100})
	is.Equal(admit(l, second, 100), initialTokens)
	is.Equal(admit(l, 10*second, 100), 0)
}

// Rejected callers must not all retry at the same time.
func TestRetryAfterIsStaggered(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 100, Burst: 100})
	l.ApplyShares(0, 0, sharesOf(true, 100, 0))
	admit(l, 0, 1)
	last := time.Duration(0)
	for range 15 {
		ok, after := l.Admit(0, "t", false)
		is.True(!ok)
		is.True(after > last || after == minRetryAfter)
		last = after
	}
	is.True(last > second && last <= maxRetryAfter) // 15 calls at a rate of 10 per second
}

// An admitted call that was not executed must not use up the limit.
func TestReturnedCallsDoNotCount(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 100, Burst: 100})
	l.ApplyShares(0, 0, sharesOf(false, 100, 0))
	admit(l, 0, 3)
	l.Return(0, "t")
	is.Equal(l.Report(0).Uses[0].Used, float32(2))
	l.ApplyShares(0, 0, sharesOf(true, 1, 0))
	is.Equal(admit(l, 0, 1), 0)
	l.Return(0, "t")
	is.Equal(admit(l, 0, 2), 1)
}

// A lowered limit must apply before the next share arrives, and earlier calls must not count against it.
func TestLowerLimitAppliesImmediately(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 100, Burst: 100})
	l.ApplyShares(0, 0, sharesOf(false, 100, 0))
	admit(l, 0, 50)
	l.SetLimits(0, map[string]Limit{"t": {Rate: 10, Burst: 10}})
	is.Equal(admit(l, 0, 50), initialTokens)
	is.Equal(l.Report(0).Uses[0].Used, float32(initialTokens))
	l.SetLimits(0, nil)
	is.Equal(admit(l, 0, 50), 50)
}

// A surge must trigger one early report, and no second one before the next report.
func TestSurgeTriggersOneReport(t *testing.T) {
	is := is.New(t)
	reports := 0
	l := NewLimiter(Config{Window: 5 * second, OnSurge: func() { reports++ }})
	l.SetLimits(0, map[string]Limit{"t": {Rate: 100, Burst: 100}})
	l.ApplyShares(0, 0, sharesOf(false, 100, 0))
	admit(l, 0, surgeCalls)
	is.Equal(reports, 0)
	admit(l, 0, 50)
	is.Equal(reports, 1)
	l.Report(0)
	admit(l, 100*time.Millisecond, surgeCalls)
	is.Equal(reports, 1)
}

// Guards against unreported calls beyond a fiftieth of the window's capacity when a tenant doubles its rate.
func TestUnreportedCallsAreBounded(t *testing.T) {
	is := is.New(t)
	surged := false
	l := NewLimiter(Config{Window: 5 * second, OnSurge: func() { surged = true }})
	l.SetLimits(0, map[string]Limit{"t": {Rate: 200, Burst: 200}})
	l.ApplyShares(0, 0, sharesOf(false, 200, 0))
	now := time.Duration(0)
	for ; now < 5*second; now += 10 * time.Millisecond {
		admit(l, now, 1)
		l.Report(now)
	}
	surged = false
	calls := 0
	for ; !surged && calls < 200; now += 10 * time.Millisecond {
		calls += admit(l, now, 2)
	}
	is.True(calls < 60) // 24 calls for a fiftieth of the window and as many expected ones
}

func TestSlidingWindowExpiresCalls(t *testing.T) {
	is := is.New(t)
	var w slidingWindow
	w.add(0, 5*second, 3)
	w.add(4*second, 5*second, 2)
	is.Equal(w.sum(4900*time.Millisecond, 5*second), 5.0)
	is.Equal(w.sum(6*second, 5*second), 2.0)
	is.Equal(w.sum(100*second, 5*second), 0.0)
}

func newSum(replica string, nodes int, asked, used float32) Sum {
	return Sum{Replica: replica, Nodes: nodes, Uses: []Use{{Tenant: "t", Asked: asked, Used: used}}}
}

var limitOfTen = map[string]Limit{"t": {Rate: 10, Burst: 10}}

func TestAllocatorLimitsTenantNearItsLimit(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(0, testPolicy)
	_, known := a.Shares(0, limitOfTen)
	is.True(!known) // no sums received yet
	a.Record(second, newSum("a", 5, 3, 15))
	a.Record(second, newSum("b", 5, 3, 15))
	shares, known := a.Shares(second, limitOfTen)
	is.True(known)
	is.Equal(shares.Nodes, 10)
	is.True(!shares.List[0].Limited) // 30 calls, below the rate times the window of 5 s, plus the burst
	a.Record(second, newSum("b", 5, 30, 25))
	shares, _ = a.Shares(second, limitOfTen)
	is.True(shares.List[0].Limited)
	a.Record(second, newSum("a", 5, 30, 40))
	a.Record(second, newSum("b", 5, 30, 40))
	shares, _ = a.Shares(second, limitOfTen)
	is.Equal(shares.List[0].Rate, float32(minRateFraction*10)) // the window is over its limit: the minimum rate
}

// After a power failure all nodes start with unknown windows: calls at the full rate must be assumed.
func TestUnknownWindowsCountAtTheFullRate(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(0, testPolicy)
	young := newSum("a", 10, 30, 0)
	young.Unseen = 10
	a.Record(second, young)
	shares, _ := a.Shares(second, limitOfTen)
	is.True(shares.List[0].Limited)
	young.Unseen = 0
	a.Record(second, young)
	shares, _ = a.Shares(second, limitOfTen)
	is.True(!shares.List[0].Limited)
}

// Replicas in separate partitions must not admit more than one limit together, for partitions in one or both
// directions.
func TestPartitionedReplicasShareOneLimit(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		is := is.New(t)
		a := NewAllocator(0, testPolicy)
		partitioned := NewReplica("b", testPolicy)
		now := second
		a.Record(now, newSum("a", 6, 60, 40))
		for i := range 4 {
			partitioned.Record(now, string(rune('a'+i)), Report{Age: time.Hour, Uses: []Use{{Tenant: "t", Asked: 10, Used: 5}}})
		}
		a.Record(now, partitioned.Sum(now))
		shares, known := a.Shares(now, limitOfTen)
		is.True(known)
		partitioned.ApplyShares(now, a.For("b", shares))
		now += 3 * peerTimeout // the leader has sent shares for this time
		partitioned.Alone(now, limitOfTen)
		if oneWay {
			a.Record(now, partitioned.Sum(now)) // sums reach the leader, shares don't reach the replica
		}
		a.Record(now, newSum("a", 6, 60, 50))
		rest, _ := a.Shares(now, limitOfTen)
		own, received := partitioned.Record(now, "a", Report{Age: time.Hour, Uses: []Use{{Tenant: "t", Asked: 10, Used: 5}}})
		is.True(received)
		is.True(rest.List[0].Limited && own.List[0].Limited)
		is.Equal(rest.Nodes, 6)
		is.Equal(own.Nodes, 4)
		reserved := float64(own.List[0].Part)
		is.True(reserved > 0.25 && reserved < 0.4) // 20 of 60 calls, adjusted by the evenly spread calls
		freeCapacity := (1-reserved)*(10*5+burstFraction*10+slackFraction*testPolicy.Slack) - 50
		want := max(minRateFraction*(1-reserved)*10, (1-reserved)*10+freeCapacity)
		is.True(float64(rest.List[0].Rate) > want-0.01 && float64(rest.List[0].Rate) < want+0.01)
	}
}

// A replica must forward shares only within their lease, and must not count nodes that have left.
func TestReplicaForwardsSharesUntilTheyExpire(t *testing.T) {
	is := is.New(t)
	r := NewReplica("a", testPolicy)
	report := Report{Age: 2 * second, Uses: []Use{{Tenant: "t", Asked: 1, Used: 1}}}
	_, known := r.Record(0, "n", report)
	is.True(!known)
	changed := r.ApplyShares(0, Shares{Nodes: 1, List: []Share{{Tenant: "t"}, {Tenant: "u"}, {Tenant: "v", Limited: true}}})
	is.Equal(len(changed.List), 1)
	received, known := r.Record(300*time.Millisecond, "n", report)
	is.True(known)
	is.Equal(received.Age, 300*time.Millisecond)
	is.Equal(len(received.List), 2) // the calling tenant and the limited one
	_, known = r.Record(shareLease+1, "n", report)
	is.True(!known)
	sum := r.Sum(shareLease)
	is.Equal(sum.Nodes, 1)
	is.True(sum.Unseen > 0.59 && sum.Unseen < 0.61)
	r.RecordDeparture(shareLease, "n")
	is.Equal(r.Sum(shareLease).Nodes, 0)
	r.Record(0, "n", report)
	is.Equal(r.Sum(silentRetention+1).Nodes, 0)
}

// While demand exceeds the rate, tokens must go to calls that are in time.
func TestLateCallsAreRejectedWhileLimitIsScarce(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 100, Burst: 100})
	l.ApplyShares(0, 0, sharesOf(true, 100, 400))
	l.Report(0)
	l.ApplyShares(0, 0, sharesOf(true, 100, 400))
	now := shareLease
	ok, _ := l.Admit(now, "t", true)
	is.True(!ok)
	ok, _ = l.Admit(now, "t", false)
	is.True(ok)
	now = 2 * shareLease
	l.ApplyShares(now, now, sharesOf(true, 100, 90)) // demand below the rate
	ok, _ = l.Admit(now, "t", true)
	is.True(ok)
}

// A new leader must count replicas that had no leader: they can't have received its shares before it sent any.
func TestNewLeaderTakesOverReplicasThatHadNone(t *testing.T) {
	is := is.New(t)
	now := second
	before, replica := NewAllocator(0, testPolicy), NewReplica("a", testPolicy)
	report := Report{Age: time.Hour, Uses: []Use{{Tenant: "t", Asked: 30, Used: 20}}}
	replica.Record(now, "n", report)
	before.Record(now, replica.Sum(now))
	shares, _ := before.Shares(now, limitOfTen)
	replica.ApplyShares(now, before.For("a", shares))
	now += second
	replica.Record(now, "n", report)
	replica.Alone(now, limitOfTen)
	is.True(replica.Sum(now).Alone)
	next := NewAllocator(now, testPolicy)
	for range 20 {
		now += leaderStartDelay
		replica.Alone(now, limitOfTen)
		next.Record(now, replica.Sum(now))
		shares, known := next.Shares(now, limitOfTen)
		is.True(known)
		is.Equal(shares.Nodes, 1)
		replica.ApplyShares(now, next.For("a", shares))
		is.True(!replica.Sum(now).Alone)
		replica.Record(now, "n", report)
	}
}

// Calls admitted before a restart must count after repeated restarts, with and without a closed connection.
func TestCallsBeforeNodeRestartStillCount(t *testing.T) {
	for _, closed := range []bool{false, true} {
		is := is.New(t)
		r := NewReplica("a", testPolicy)
		used := func(now time.Duration) float32 {
			sum := r.Sum(now)
			is.Equal(sum.Unseen, float32(0)) // the whole window is known
			if len(sum.Uses) == 0 {
				return 0
			}
			return sum.Uses[0].Used
		}
		r.Record(0, "n", Report{Age: time.Hour, Uses: []Use{{Tenant: "t", Used: 50}}})
		for i := range 3 {
			now := time.Duration(i+1) * second
			if closed {
				r.RecordDeparture(now, "n")
			}
			r.Record(now, "n", Report{Age: 100 * time.Millisecond})
		}
		is.True(used(3*second) > 10 && used(3*second) < 25) // three fifths of the window have passed
		is.Equal(used(9*second), float32(0))
	}
}
