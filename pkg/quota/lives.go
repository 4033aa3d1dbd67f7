package quota

import (
	"cmp"
	"slices"
	"time"
)

// demandRetention is how long after its last report the demand of an ended process run still counts. Its
// successor has started and measured its own demand within this time.
const demandRetention = time.Second

// Life identifies one run of a node's process. Its counts start at zero, while calls admitted by the previous
// run are still within the window.
type Life struct {
	Node string
	// ID distinguishes the runs of a node, zero if unknown.
	ID uint64
}

// Departure is a process run that ended, moved to another replica or became silent within the last window.
type Departure struct {
	Life Life
	// Ago is the time since its last report.
	Ago time.Duration
	// Silent is set if the run may still be active: it sends no reports, but its connection was not closed.
	Silent bool
	// Unseen is the unknown fraction of a silent run's window.
	Unseen float32
	// Uses describes the run's calls as of its last report, with Parts set and calls estimated up to its
	// departure.
	Uses []Use
}

// Arrival is a process run that a replica has seen only recently.
type Arrival struct {
	Life Life
	// Unseen is the unknown fraction of its window, zero if the replica knows the previous run.
	Unseen float32
}

// latestReport is the newest report of one subscriber.
type latestReport struct {
	report     Report
	receivedAt time.Duration
	// firstSeenAt is when the process run was first seen; hasPredecessor is set if an earlier run of the node
	// was known then.
	firstSeenAt    time.Duration
	hasPredecessor bool
}

// life returns the process run that sent the report.
func (r latestReport) life(node string) Life { return Life{Node: node, ID: r.report.Life} }

// silent reports whether the last report is older than the lease of the node's shares.
func (r latestReport) silent(now time.Duration) bool {
	return r.report.Nodes == 0 && now-r.receivedAt > shareLease
}

// sameLife reports whether another report comes from the same process run. Without IDs, a lower age indicates
// a restart. Reports of relays are not compared, as a relay combines many nodes.
func (r latestReport) sameLife(report Report) bool {
	switch {
	case r.report.Nodes > 0 || report.Nodes > 0:
		return true
	case r.report.Life != 0 && report.Life != 0:
		return r.report.Life == report.Life
	default:
		return report.Age >= r.report.Age
	}
}

// unseen returns the fraction of the last window in which the node's calls are unknown, zero if its
// previous run is known.
func (r latestReport) unseen(window time.Duration) float64 {
	if r.hasPredecessor {
		return 0
	}
	return max(0, window-r.report.Age).Seconds() / window.Seconds()
}

// departedLife holds the calls that a departed process run had admitted.
type departedLife struct {
	life Life
	uses []Use
	// receivedAt is the time of its last report, leftAt that of its departure, age its age at the last report.
	receivedAt, leftAt, age time.Duration
}

// asDeparted converts the report into a departure at leftAt. unreported estimates the calls admitted after the
// last report.
func (r latestReport) asDeparted(node string, leftAt time.Duration, unreported func(Use, time.Duration) float32) departedLife {
	gap := min(max(0, leftAt-r.receivedAt), reportInterval)
	uses := make([]Use, len(r.report.Uses))
	for i, use := range r.report.Uses {
		use.Parts = slices.Clone(use.bucketsOrEven())
		use.Parts[len(use.Parts)-1] += unreported(use, gap)
		uses[i] = use
	}
	return departedLife{life: r.life(node), uses: uses, receivedAt: r.receivedAt, leftAt: leftAt, age: r.report.Age}
}

// sameLife reports whether a report comes from the departed process run, which has returned.
func (d departedLife) sameLife(now time.Duration, node string, report Report) bool {
	switch {
	case d.life.Node != node:
		return false
	case d.life.ID != 0 && report.Life != 0:
		return d.life.ID == report.Life
	default:
		return report.Age >= d.age+now-d.receivedAt
	}
}

// departure returns the message to the leader.
func (d departedLife) departure(now time.Duration) Departure {
	return Departure{Life: d.life, Ago: now - d.receivedAt, Uses: d.uses}
}

// remaining returns the uses that are still within the window. Demand counts for demandRetention, on behalf of
// the successor.
func (d Departure) remaining(window time.Duration) []Use {
	uses := make([]Use, 0, len(d.Uses))
	for _, use := range d.Uses {
		remaining := remainingCalls(use.bucketsOrEven(), d.Ago, window)
		if d.Ago > demandRetention {
			use.Asked = 0
		}
		if remaining > 0 || use.Asked > 0 {
			leaving := remaining - remainingCalls(use.bucketsOrEven(), d.Ago+time.Second, window)
			uses = append(uses, Use{Tenant: use.Tenant, Asked: use.Asked, Used: remaining, Leaving: leaving})
		}
	}
	return uses
}

// remainingCalls returns how many of a window's calls are still within it after a delay of later.
func remainingCalls(buckets []float32, later, window time.Duration) float32 {
	bucket := window / time.Duration(len(buckets))
	remaining := float32(0)
	for i, n := range buckets {
		// The newest call of the bucket leaves the window after remainsFor, the oldest one bucket length
		// earlier.
		remainsFor := bucket*time.Duration(i+1) - later
		remaining += n * float32(min(1, max(0, remainsFor.Seconds()/bucket.Seconds())))
	}
	return remaining
}

// compareArrivals orders arrivals by node.
func compareArrivals(a, b Arrival) int { return cmp.Compare(a.Life.Node, b.Life.Node) }
