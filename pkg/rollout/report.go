package rollout

import (
	"math"
	"time"
)

// timeBuckets is the number of buckets of the histogram of service times.
const timeBuckets = 24

// firstBucket is the upper bound of the first bucket. Each bound is the square root of two times the one
// before, so that a service time twice as long is two buckets higher; the last but one is 8 s.
const firstBucket = 4 * time.Millisecond

// bucketsPerDouble is the number of buckets that span a doubling of the time.
const bucketsPerDouble = 2

// Times is a histogram of calls by their time at the back end.
type Times [timeBuckets]uint32

// Note counts one call that took the given time.
func (t *Times) Note(took time.Duration) {
	t[bucketOf(took)]++
}

func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	i := int(math.Ceil(bucketsPerDouble * math.Log2(float64(took)/float64(firstBucket))))
	return min(i, timeBuckets-1)
}

// RouteCount counts the calls of one route at one back end by outcome.
type RouteCount struct {
	Route string
	// Answered counts successful responses of the back end. Failed counts errors of its own, broken
	// exchanges and calls without a response within their timeout. Calls abandoned by the caller count as
	// neither.
	Answered uint64
	Failed   uint64
	// Times counts the answered calls that began and ended while the back end was warm.
	Times Times
}

// Report is what one gate has observed of its back end during a rollout. All counters start when the gate
// receives the order and only grow, so a report replaces its predecessor and may be lost.
type Report struct {
	Service string
	// Number is the order number.
	Number uint64
	// Version and Instance are the back end's version and ID, Zone is its zone.
	Version  string
	Instance string
	Zone     string
	// Life identifies the run of the gate's process with this back end.
	Life uint64
	Cold bool
	// Admitted counts the admitted calls, Repeats those of them that the gate recognised as retries.
	Admitted uint64
	Repeats  uint64
	Routes   []RouteCount
}

// Outcome says how a call ended at a back end.
type Outcome uint8

const (
	// Answered calls got a response that is no failure of the back end.
	Answered Outcome = iota
	// Failed calls got an error of the back end itself, a broken exchange or no response in time.
	Failed
	// Cancelled calls were cancelled by their caller and say nothing about the back end.
	Cancelled
)

// Tally counts a gate's calls by route and outcome for its reports. It is not safe for concurrent use.
type Tally struct {
	admitted uint64
	repeats  uint64
	routes   map[string]*RouteCount
}

// Admit counts an admitted call; repeat marks a retry.
func (t *Tally) Admit(repeat bool) {
	t.admitted++
	if repeat {
		t.repeats++
	}
}

// Admitted returns how many calls were counted since the tally was created, retries included.
func (t *Tally) Admitted() uint64 {
	return t.admitted
}

// RecordOutcome counts the outcome of an admitted call. cold is set if the back end was cold when the call arrived
// or ended; its time is not counted then.
func (t *Tally) RecordOutcome(route string, outcome Outcome, took time.Duration, cold bool) {
	if outcome == Cancelled {
		return
	}
	if t.routes == nil {
		t.routes = make(map[string]*RouteCount)
	}
	count := t.routes[route]
	if count == nil {
		count = &RouteCount{Route: route}
		t.routes[route] = count
	}
	if outcome == Failed {
		count.Failed++
		return
	}
	count.Answered++
	if !cold {
		count.Times.Note(took)
	}
}

// Fill copies the counts into a report.
func (t *Tally) Fill(report *Report) {
	report.Admitted, report.Repeats = t.admitted, t.repeats
	report.Routes = make([]RouteCount, 0, len(t.routes))
	for _, count := range t.routes {
		report.Routes = append(report.Routes, *count)
	}
}
