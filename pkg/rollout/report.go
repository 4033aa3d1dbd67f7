package rollout

import (
	"math"
	"time"
)

// timeBuckets is how many buckets of service times a report tells apart.
const timeBuckets = 24

// firstBucket is the upper bound of the first bucket. Each is wider than the one before by the square
// root of two, so that the last but one ends at 8 s, and a time twice as long is two buckets on.
const firstBucket = 4 * time.Millisecond

// bucketsPerDouble is how many buckets on a time twice as long is.
const bucketsPerDouble = 2

// Times counts calls by how long they took at the back end.
type Times [timeBuckets]uint32

// Note counts one call.
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

// RouteCount is what one route's calls came to at one back end.
type RouteCount struct {
	Route string
	// Answered counts the calls that the back end answered well, Failed those that it failed: an error of
	// its own, a broken exchange, or silence for the call's whole time. Calls that the caller gave up are
	// neither.
	Answered uint64
	Failed   uint64
	// Times are those of the answered calls that came while the back end was warm.
	Times Times
}

// Report is what one gate has seen of one back end while a rollout of its service runs. All counters
// count from when the gate heard of the order and only grow, so that a report replaces the one before it
// and may be lost.
type Report struct {
	Service string
	// Number is that of the order.
	Number uint64
	// Version is the back end's, Instance its ID, Zone where it runs.
	Version  string
	Instance string
	Zone     string
	// Life is that of the gate's process with this back end.
	Life uint64
	// Cold is set while the back end is cold.
	Cold bool
	// Admitted counts the calls that the gate let in, repeats among them; Repeats counts those of them
	// that repeat an earlier call, as far as the gate can tell.
	Admitted uint64
	Repeats  uint64
	Routes   []RouteCount
}

// Outcome is how a call ended at a back end.
type Outcome uint8

const (
	// Answered calls got an answer that is not a failure of the back end.
	Answered Outcome = iota
	// Failed calls got an error of the back end's own, a broken exchange or silence.
	Failed
	// GivenUp calls were ended by their caller before their time: they say nothing of the back end.
	GivenUp
)

// Tally counts what a gate's back end does with calls, for its reports. It is not safe for concurrent use.
type Tally struct {
	admitted uint64
	repeats  uint64
	routes   map[string]*RouteCount
}

// Admit counts a call that is let in.
func (t *Tally) Admit(repeat bool) {
	t.admitted++
	if repeat {
		t.repeats++
	}
}

// Admitted is how many calls were let in.
func (t *Tally) Admitted() uint64 {
	return t.admitted
}

// End counts how a call that was let in ended. Cold is set if the back end was cold when the call came or
// when it ended: such times say nothing of the version.
func (t *Tally) End(route string, outcome Outcome, took time.Duration, cold bool) {
	if outcome == GivenUp {
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

// Fill puts the counts into a report, which keeps nothing of the tally.
func (t *Tally) Fill(report *Report) {
	report.Admitted, report.Repeats = t.admitted, t.repeats
	report.Routes = make([]RouteCount, 0, len(t.routes))
	for _, count := range t.routes {
		report.Routes = append(report.Routes, *count)
	}
}
