package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// reportOf returns the report of a process run whose whole window is known.
func reportOf(life uint64, asked float32, parts ...float32) Report {
	use := Use{Tenant: "t", Asked: asked, Parts: parts}
	for _, n := range parts {
		use.Used += n
	}
	return Report{Life: life, Age: time.Hour, Uses: []Use{use}}
}

// combinedUse returns the totals that the leader computes from the replicas' sums.
func combinedUse(now time.Duration, replicas ...*Replica) (used float32, nodes int, unseen float64) {
	var sums []Sum
	for _, r := range replicas {
		sums = append(sums, r.Sum(now))
	}
	c := combine(sums, testPolicy.Window)
	return c.uses["t"].Used, c.nodes, c.unseen
}

// Calls of an ended process run must count until they leave the window, each by its own age, also after the
// next run arrives at another replica.
func TestEndedProcessRunsCountUntilTheyLeaveTheWindow(t *testing.T) {
	is := is.New(t)
	a, b := NewReplica("a", testPolicy), NewReplica("b", testPolicy)
	a.Record(0, "n", reportOf(1, 0, 1, 1, 1, 1, 40))
	a.RecordDeparture(0, "n")
	used, nodes, _ := combinedUse(0, a, b)
	is.Equal(used, float32(44))
	is.Equal(nodes, 0)
	b.Record(second, "n", Report{Life: 2, Age: second, Uses: []Use{{Tenant: "t", Used: 2}}})
	used, nodes, unseen := combinedUse(2*second, a, b)
	is.Equal(used, float32(2+42))
	is.Equal(nodes, 1)
	is.Equal(unseen, 0.0)
	used, _, _ = combinedUse(4*second, a, b)
	is.Equal(used, float32(2+40))
	used, _, _ = combinedUse(5*second, a, b)
	is.Equal(used, float32(2))
}

// A process run that moves to another replica and back must not count twice.
func TestMovedProcessRunCountsOnce(t *testing.T) {
	is := is.New(t)
	a, b := NewReplica("a", testPolicy), NewReplica("b", testPolicy)
	a.Record(0, "n", reportOf(1, 0, 2, 2, 2, 2, 2))
	b.Record(0, "n", reportOf(1, 0, 2, 2, 2, 2, 2))
	a.RecordDeparture(100*time.Millisecond, "n")
	used, nodes, _ := combinedUse(200*time.Millisecond, a, b)
	is.Equal(used, float32(10))
	is.Equal(nodes, 1)
	b.RecordDeparture(second, "n")
	a.Record(second, "n", reportOf(1, 0, 2, 2, 2, 2, 2))
	used, nodes, _ = combinedUse(second, a, b)
	is.Equal(used, float32(10))
	is.Equal(nodes, 1)
}

// A silent node may still admit calls: it must count until the same run, or a new run of the node, is seen
// elsewhere.
func TestSilentProcessRunCountsUntilSeenElsewhere(t *testing.T) {
	for life, want := range map[uint64]float32{1: 10, 2: 1 + 10 - 2*3} {
		is := is.New(t)
		a, b := NewReplica("a", testPolicy), NewReplica("b", testPolicy)
		a.Record(0, "n", reportOf(1, 0, 2, 2, 2, 2, 2))
		used, nodes, _ := combinedUse(3*second, a, b)
		is.Equal(used, float32(10))
		is.Equal(nodes, 1)
		report := reportOf(1, 0, 2, 2, 2, 2, 2)
		if life == 2 {
			report = Report{Life: 2, Age: second, Uses: []Use{{Tenant: "t", Used: 1}}}
		}
		b.Record(3*second, "n", report)
		used, nodes, unseen := combinedUse(3*second, a, b)
		is.Equal(used, want)
		is.Equal(nodes, 1)
		is.Equal(unseen, 0.0)
	}
}

// The clients of a restarting node call its next process run: without their demand the tenant would become
// unlimited.
func TestEndedProcessRunStillCountsAsDemand(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(0, testPolicy)
	r := NewReplica("a", testPolicy)
	now := second
	r.Record(now, "n", reportOf(1, 0, 1))
	r.Record(now, "m", reportOf(1, 60, 5, 5, 5, 5, 5))
	r.RecordDeparture(now, "m")
	a.Record(now, r.Sum(now))
	shares, known := a.Shares(now, limitOfTen)
	is.True(known)
	is.True(shares.List[0].Limited)
	is.Equal(shares.List[0].Asked, float32(0)) // demand at running nodes only
	lives, sums := a.RetainedCounts()
	is.Equal(lives, 1)
	is.Equal(sums, 0)
	r.Record(now, "m", Report{Life: 2, Age: 50 * time.Millisecond})
	is.Equal(r.Sum(now).Uses[0].Asked, float32(60))
	now += 2 * demandRetention
	r.Record(now, "m", Report{Life: 2, Age: 2 * demandRetention})
	is.Equal(r.Sum(now).Uses[0].Asked, float32(0))
}

// Calls after the last report must be estimated by the demand, or by the node's share if the tenant is
// limited.
func TestCallsSinceLastReportAreEstimated(t *testing.T) {
	for limited, want := range map[bool]float32{false: 20, true: 4} {
		is := is.New(t)
		r := NewReplica("a", testPolicy)
		r.ApplyShares(0, Shares{Nodes: 1, List: []Share{{Tenant: "t", Limited: limited, Rate: 20, Asked: 100}}})
		r.Record(0, "n", reportOf(1, 100, 0, 0, 0, 0, 0))
		r.RecordDeparture(200*time.Millisecond, "n")
		used, _, _ := combinedUse(200*time.Millisecond, r)
		is.True(used > want-0.01 && used < want+0.01)
	}
}

// Departures below a relay must reach the replica, and a restart below a relay must not count as a restart of
// the relay.
func TestRelayForwardsDeparturesAndArrivals(t *testing.T) {
	is := is.New(t)
	relay, replica := NewReplica("relay", testPolicy), NewReplica("a", testPolicy)
	relay.Record(0, "n", reportOf(1, 0, 2, 2, 2, 2, 2))
	relay.Record(0, "m", reportOf(1, 0, 1, 1, 1, 1, 1))
	replica.Record(0, "relay", relay.Report(0))
	relay.Record(0, "young", Report{Life: 1, Age: second})
	replica.Record(0, "relay", relay.Report(0))
	used, nodes, _ := combinedUse(0, replica)
	is.Equal(used, float32(15))
	is.Equal(nodes, 3)
	relay.RecordDeparture(0, "n")
	replica.Record(0, "relay", relay.Report(0))
	used, nodes, _ = combinedUse(0, replica)
	is.Equal(used, float32(15))
	is.Equal(nodes, 2)
}

// A new node must not underestimate the call rate because of its short history.
func TestNewNodeReportsFullRate(t *testing.T) {
	is := is.New(t)
	l := newLimiter(Limit{Rate: 100, Burst: 100})
	for now := time.Duration(0); now < 300*time.Millisecond; now += 10 * time.Millisecond {
		admit(l, now, 1)
	}
	asked := l.Report(300 * time.Millisecond).Uses[0].Asked
	is.True(asked > 85 && asked < 115) // 100 calls per second
}

// Calls admitted by a replica's nodes must count after the replica restarts, until all their process runs have
// reported again.
func TestCallsBeforeReplicaRestartStillCount(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(0, testPolicy)
	now := second
	before := NewReplica("a", testPolicy)
	before.Record(now, "n", reportOf(1, 0, 2, 2, 2, 2, 2))
	before.Record(now, "m", reportOf(1, 0, 1, 1, 1, 1, 1))
	a.Record(now, before.Sum(now))
	used := func(r *Replica) float32 {
		a.Record(now, r.Sum(now))
		return a.Uses(now)["t"].Used
	}
	after := NewReplica("a", testPolicy)
	is.Equal(used(after), float32(15))
	after.Record(now, "n", reportOf(1, 0, 2, 2, 2, 2, 2))
	is.Equal(used(after), float32(10+15)) // the calls can't be assigned to single nodes
	after.Record(now, "m", reportOf(1, 0, 1, 1, 1, 1, 1))
	is.Equal(used(after), float32(15))
}
