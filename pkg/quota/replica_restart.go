package quota

import (
	"slices"
	"time"
)

// sumBeforeRestart is the last sum of a replica that has restarted. Neither the replica nor nodes that
// restarted with it know the calls in it.
type sumBeforeRestart struct {
	sum        Sum
	lives      []Life
	receivedAt time.Duration
}

// keepSumBeforeRestart stores a replica's last sum if the next one shows a restart.
func (a *Allocator) keepSumBeforeRestart(last latestSum, next Sum) {
	if !next.restartedSince(last.sum) {
		return
	}
	old := sumBeforeRestart{sum: last.sum, lives: last.lives, receivedAt: last.receivedAt}
	old.sum.Uses = slices.Clone(last.sum.Uses)
	for i, use := range old.sum.Uses {
		old.sum.Uses[i].Used += a.unreported(use)
	}
	a.beforeRestart = append(a.beforeRestart, old)
}

// restartedSince reports whether the replica has restarted since an earlier sum. Replicas of old releases send
// no sequence.
func (s Sum) restartedSince(earlier Sum) bool {
	return earlier.Sequence > 0 && s.Sequence <= earlier.Sequence
}

// unreported returns the maximum number of calls that nodes admitted after the reports in a sum.
func (a *Allocator) unreported(use Use) float32 {
	rate := use.Asked
	if share := a.previous[use.Tenant]; share.Limited {
		rate = min(rate, share.Rate)
	}
	return rate * float32(reportInterval.Seconds())
}

// sumsBeforeRestart returns the part of the stored sums that still counts, given the process runs that have
// arrived at connected replicas.
func (a *Allocator) sumsBeforeRestart(now time.Duration, connected []Sum) []Sum {
	a.beforeRestart = slices.DeleteFunc(a.beforeRestart, func(s sumBeforeRestart) bool { return now-s.receivedAt > a.policy.Window })
	var remaining []Sum
	for _, old := range a.beforeRestart {
		remaining = append(remaining, old.remaining(now, arrivedLives(connected)))
	}
	return remaining
}

// remaining returns the sum's departures, aged, plus one for each process run that has not arrived again and
// one with all calls, until every run has arrived: the calls can't be assigned to single runs.
func (s sumBeforeRestart) remaining(now time.Duration, arrived map[Life]bool) Sum {
	remaining := Sum{}
	for _, departure := range s.sum.Departures {
		departure.Ago += now - s.receivedAt
		remaining.Departures = append(remaining.Departures, departure)
	}
	someMissing := len(s.lives) == 0
	for _, life := range s.lives {
		if !arrived[life] {
			someMissing = true
			remaining.Departures = append(remaining.Departures, Departure{Life: life, Ago: now - s.receivedAt})
		}
	}
	if !someMissing {
		return remaining
	}
	all := Departure{Life: Life{Node: s.sum.Replica, ID: s.sum.Sequence}, Ago: now - s.receivedAt}
	for _, use := range s.sum.Uses {
		use.Parts = conservativeBuckets(use)
		all.Uses = append(all.Uses, use)
	}
	remaining.Departures = append(remaining.Departures, all)
	return remaining
}

// conservativeBuckets places calls that don't leave the window in the next second in the newest bucket, since
// their age is unknown.
func conservativeBuckets(use Use) []float32 {
	buckets := make([]float32, reportedBuckets)
	buckets[0] = use.Leaving
	buckets[reportedBuckets-1] = max(0, use.Used-use.Leaving)
	return buckets
}
