package rollout

import "time"

// timeBuckets is how many buckets of service times a report tells apart; each is twice as wide as the one
// before it.
const timeBuckets = 24

// firstBucket is the upper bound of the first bucket.
const firstBucket = time.Millisecond

// Times counts calls by how long they took at the back end, in buckets that double from firstBucket.
type Times [timeBuckets]uint32

// Note counts one call.
func (t *Times) Note(took time.Duration) {
	i, bound := 0, firstBucket
	for took > bound && i < timeBuckets-1 {
		i, bound = i+1, 2*bound
	}
	t[i]++
}

// RouteCount is what one route's calls came to at one back end.
type RouteCount struct {
	Route string
	// Answered counts the calls that the back end answered well, Failed those that it failed: an error of
	// its own, a broken exchange, or silence for the call's whole time.
	Answered uint64
	Failed   uint64
	// Times are those of the answered calls.
	Times Times
}

// Report is what one gate has seen of one back end while a rollout of its service runs. All counters
// count from the order on and only grow, so that a report replaces the one before it and may be lost.
type Report struct {
	Service string
	// Number is that of the order.
	Number uint64
	// Version is the back end's, Instance its ID.
	Version  string
	Instance string
	// Life is that of the gate's process with this back end.
	Life uint64
	// Cold is set while the back end is cold: its times say nothing of its version.
	Cold bool
	// Admitted counts the calls that the gate let in.
	Admitted uint64
	Routes   []RouteCount
}
