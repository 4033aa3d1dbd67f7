package rollout

import (
	"math"
	"time"
)

// maxWindowTicks is the length of a series' history: the widest window except allTime.
const maxWindowTicks = 32

// recentTicks are the windows for the old version's recent failure rate. The worst counts, since a fault
// that just began shows only in the shortest.
var recentTicks = [...]int{1, 2, 4, 8}

// counts are the cumulative counters of one route at one back end.
type counts struct {
	answered, failed uint64
	// expected is how many of a new back end's calls would have failed at the old version's rate at the
	// same time.
	expected float64
	times    Times
}

// series is the history of one route's counters at one back end.
type series struct {
	gateRun *processRun
	current counts
	// endedAtUpdate is how many calls had ended when expected failures were last added.
	endedAtUpdate uint64
	// history is a ring of the counters at the last ticks; oldest is the index of the next write.
	history []counts
	oldest  int
}

// tick appends the current counters to the history.
func (s *series) tick() {
	if len(s.history) < maxWindowTicks {
		s.history = append(s.history, s.current)
		return
	}
	s.history[s.oldest] = s.current
	s.oldest = (s.oldest + 1) % maxWindowTicks
}

// lastTicks returns the counts of the last ticks, or all counts for allTime and for windows beyond the
// history.
func (s *series) lastTicks(ticks int) counts {
	if ticks == allTime || ticks > len(s.history) {
		return s.current
	}
	return s.current.minus(s.history[(s.oldest+len(s.history)-ticks)%len(s.history)])
}

func (c counts) minus(before counts) counts {
	c.answered -= min(c.answered, before.answered)
	c.failed -= min(c.failed, before.failed)
	c.expected -= before.expected
	for i := range c.times {
		c.times[i] -= min(c.times[i], before.times[i])
	}
	return c
}

// routeBaselines holds the baselines for one route's times. A position is a time on the histogram's axis, in
// buckets; the times of bucket i are assumed to be spread evenly from i to i+1.
type routeBaselines struct {
	series []*series
	// median is the position of the old version's median time.
	median float64
	// slowBy is the distance from its back end's usual time at which a response is slow, serviceTail the
	// position from which one is slow for the service. Few responses of the old version are either.
	slowBy, serviceTail float64
}

// computeBaselines computes the baselines of all routes from all responses since the order.
func (j *Judge) computeBaselines() map[string]*routeBaselines {
	routes := make(map[string]*routeBaselines)
	for _, run := range j.runs {
		for name, s := range run.routes {
			r := routes[name]
			if r == nil {
				r = &routeBaselines{}
				routes[name] = r
			}
			r.series = append(r.series, s)
		}
	}
	for _, r := range routes {
		old := r.oldTimes()
		r.median, r.serviceTail = old.quantile(0.5), old.quantile(1-usualSlowFraction)
	}
	for _, run := range j.runs {
		run.findUsualTime(routes)
	}
	for _, r := range routes {
		r.slowBy = r.findSlowBy()
	}
	return routes
}

func (r *routeBaselines) oldTimes() Times {
	var sum Times
	for _, s := range r.series {
		if s.gateRun.isNewVersion {
			continue
		}
		for i, n := range s.current.times {
			sum[i] += n
		}
	}
	return sum
}

// bucketParts is the resolution of distances, in parts of a bucket.
const bucketParts = 4

// distances is a histogram of responses by their distance from a position.
type distances [2 * bucketParts * timeBuckets]float64

func (d *distances) add(times Times, from float64) {
	for i, n := range times {
		if n == 0 {
			continue
		}
		first := int(math.Floor((float64(i)-from)*bucketParts)) + len(d)/2
		for part := range bucketParts {
			d[max(0, min(first+part, len(d)-1))] += float64(n) / bucketParts
		}
	}
}

// quantile returns the distance below which the given fraction of the responses falls.
func (d *distances) quantile(fraction float64) float64 {
	var sum, below float64
	for _, n := range d {
		sum += n
	}
	for i, n := range d {
		if below += n; below >= fraction*sum {
			return float64(i+1-len(d)/2) / bucketParts
		}
	}
	return timeBuckets
}

// findSlowBy returns the smallest distance from a back end's usual time that few responses of the old
// version exceed.
func (r *routeBaselines) findSlowBy() float64 {
	var d distances
	for _, s := range r.series {
		if !s.gateRun.isNewVersion && s.gateRun.usualKnown {
			d.add(s.current.times, r.median+s.gateRun.usualOffset)
		}
	}
	return max(minSlowBuckets, d.quantile(1-usualSlowFraction))
}

// quantile returns the position below which the given fraction of the responses falls.
func (t Times) quantile(fraction float64) float64 {
	var sum, below float64
	for _, n := range t {
		sum += float64(n)
	}
	for i, n := range t {
		if n := float64(n); n > 0 && below+n >= fraction*sum {
			return float64(i) + (fraction*sum-below)/n
		}
		below += float64(n)
	}
	return timeBuckets
}

// minTimesForUsual is the fewest times from which a back end's usual time is computed.
const minTimesForUsual = 6

// usualQuantile is the quantile of a back end's times that is its usual time. It is low, so that it stays
// a normal time even if most responses are slow.
const usualQuantile = 0.05

// findUsualTime computes the back end's usual time over all routes, as a distance from the routes'
// medians.
func (run *processRun) findUsualTime(routes map[string]*routeBaselines) {
	var d distances
	sum := uint64(0)
	for name, s := range run.routes {
		d.add(s.current.times, routes[name].median)
		sum += s.current.times.total()
	}
	run.usualKnown = sum >= minTimesForUsual
	if run.usualKnown {
		run.usualOffset = d.quantile(usualQuantile)
	}
}

func (t Times) total() uint64 {
	var sum uint64
	for _, n := range t {
		sum += uint64(n)
	}
	return sum
}

// fractionBeyond returns the fraction of a bucket that is beyond a position.
func fractionBeyond(bucket int, position float64) float64 {
	return max(0, min(1, float64(bucket+1)-position))
}

// sampleOf returns the sample of a window, with times classified by the route's baselines.
func (s *series) sampleOf(ticks int, r *routeBaselines) sample {
	d := s.lastTicks(ticks)
	result := sample{
		gateRun:      s.gateRun.report.Life,
		zone:         s.gateRun.report.Zone,
		isNewVersion: s.gateRun.isNewVersion,
		calls:        float64(d.answered + d.failed),
		failed:       float64(d.failed),

		expected: d.expected,
	}
	for i, n := range d.times {
		if n == 0 {
			continue
		}
		n := float64(n)
		result.times += n
		result.log2Sum += n * (float64(i) + 0.5 - r.median) / bucketsPerDouble
		result.serviceTail += n * fractionBeyond(i, r.serviceTail)
		if !s.gateRun.usualKnown {
			continue
		}
		result.compared += n
		result.slowForBackend += n * fractionBeyond(i, r.median+s.gateRun.usualOffset+r.slowBy)
	}
	return result
}

// processRun holds what one run of a gate's process with one back end has reported.
type processRun struct {
	report Report
	// isNewVersion is set for back ends of the new version.
	isNewVersion bool
	// firstDistinct is distinctCalls of the first report that this judge received.
	firstDistinct uint64
	reportedAt    time.Time
	// admitRate is the number of calls admitted per second between the last two reports.
	admitRate float64
	routes    map[string]*series
	// allRoutes holds the samples of all routes together, by window.
	allRoutes [len(windows)]sample
	// usualOffset is the distance of the back end's usual time from the routes' medians, in buckets; valid
	// if usualKnown.
	usualOffset float64
	usualKnown  bool
}

func (run *processRun) update(now time.Time, report Report) {
	if span := now.Sub(run.reportedAt).Seconds(); !run.reportedAt.IsZero() && span > 0 {
		run.admitRate = float64(report.Admitted-run.report.Admitted) / span
	}
	isFirst := run.reportedAt.IsZero()
	run.report, run.reportedAt = report, now
	if isFirst {
		run.firstDistinct = run.distinctCalls()
	}
	for _, r := range report.Routes {
		s := run.routes[r.Route]
		if s == nil {
			s = &series{gateRun: run}
			run.routes[r.Route] = s
		}
		s.current.answered, s.current.failed, s.current.times = r.Answered, r.Failed, r.Times
	}
}

// distinctCalls returns how many of the gate's calls count as having reached the service. Retries don't
// count, nor do failures at the new version, which are retried and count where they succeed.
func (run *processRun) distinctCalls() uint64 {
	distinct := run.report.Admitted - min(run.report.Admitted, run.report.Repeats)
	if run.isNewVersion {
		distinct -= min(distinct, run.failed())
	}
	return distinct
}

func (run *processRun) failed() uint64 {
	var sum uint64
	for _, r := range run.report.Routes {
		sum += r.Failed
	}
	return sum
}

func (run *processRun) answered() uint64 {
	var sum uint64
	for _, r := range run.report.Routes {
		sum += r.Answered
	}
	return sum
}

// recentSample returns the calls of the last ticks.
func (run *processRun) recentSample(ticks int) sample {
	result := sample{zone: run.report.Zone}
	for _, s := range run.routes {
		d := s.lastTicks(ticks)
		result.calls += float64(d.answered + d.failed)
		result.failed += float64(d.failed)
	}
	return result
}

// expectedFailures returns how many of a new back end's calls would have failed at the old version's rate.
func (run *processRun) expectedFailures() float64 {
	sum := 0.0
	for _, s := range run.routes {
		sum += s.current.expected
	}
	return sum
}

// addExpectedFailures adds the failures expected at the given rate among the calls that ended since the
// previous update.
func (run *processRun) addExpectedFailures(rate float64) {
	for _, s := range run.routes {
		ended := s.current.answered + s.current.failed
		s.current.expected += rate * float64(ended-min(ended, s.endedAtUpdate))
		s.endedAtUpdate = ended
	}
}
