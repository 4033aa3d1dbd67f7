package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// threshold is the logarithm of the likelihood ratio at which the new version is rolled back (Wald's
	// sequential probability ratio test). One evaluation of a good version passes it with a probability
	// below exp(-12).
	threshold = 12
	// suspiciousScore is the fraction of the threshold from which the share does not grow.
	suspiciousScore = 0.5
	// maxClosingScore is the fraction of the threshold below which old gates may close. It is lower than
	// suspiciousScore, since no budget bounds the new version's calls from then on and a fault on a single
	// route reaches a third of the threshold some 200 calls before half of it.
	maxClosingScore = 0.3
	// maxLoneEvidence bounds the evidence of one back end while the others get calls. It is below
	// suspiciousScore, so that one failing back end plus a stray failure elsewhere does not roll back a
	// good version, while two failing back ends are suspicious.
	maxLoneEvidence = 0.4
	// minCallsOfOthers is how many calls the other back ends need in the same window for maxLoneEvidence
	// to apply.
	minCallsOfOthers = 10
	// minEvidenceElsewhere is the fraction of a zone's evidence that the other zones must show in
	// proportion to their calls, so that a failing zone is not attributed to the version.
	minEvidenceElsewhere = 0.5
	// preferredBaseline is how many calls of old back ends a window needs; otherwise the next wider window
	// is the baseline.
	preferredBaseline = 50
	// minBaseline is the fewest calls of old back ends that count as a baseline. Below it, failures up to
	// floorWithoutBaseline are tolerated and times are not compared.
	minBaseline          = 20
	floorWithoutBaseline = 0.05
	// failureFloor, slowFloor and tailFloor are the rates tolerated in any version: of failures, of
	// responses slow for their back end, and of responses slow for the service.
	failureFloor = 0.01
	slowFloor    = 0.1
	tailFloor    = 0.2
	// usualSlowFraction is the fraction of the old version's responses that are classed as slow.
	usualSlowFraction = 0.05
	// minSlowBuckets is the smallest distance of a slow response from the usual time of its back end: a
	// factor of 3.1, twice the median of response times that vary by a quarter.
	minSlowBuckets = 3.25
	// The new version may be slower on average by a shift, in doublings of the time. The allowed shift is
	// shiftMargin plus shiftSigmas standard errors; the standard deviation between back ends is assumed to
	// be at least minSpread.
	shiftMargin = 0.7
	shiftSigmas = 2
	// smallSampleSigmas, divided by the number of new back ends, is added to shiftSigmas.
	smallSampleSigmas = 2
	minSpread         = 0.3
	// minShiftTimes is the fewest times from which a back end's mean is computed.
	minShiftTimes = 5
	// minTimingTicks is the narrowest window in which times are compared. In a shorter one a change of
	// load biases them: after a rise the quick responses arrive first, after a drop only slow ones are
	// left.
	minTimingTicks = 8
	// maxFailures is how many failures of the new version, without its worst back ends, roll it back if
	// they far exceed those expected at the old version's rate.
	maxFailures = 20
)

// test is a sequential test for one kind of defect.
type test struct {
	description string
	measure     measure
	// excesses are the alternative hypotheses: how far a bad version exceeds the baseline rate. floor is
	// the rate tolerated in any version.
	excesses []float64
	floor    float64
	// baselineRate returns the old version's rate for a zone.
	baselineRate func(old []sample, zone string, m measure) float64
	// timing is set for tests of response times. They need calls of the old version, and their baseline is at
	// least its rate since the order, because slow machines stay slow.
	timing bool
}

var tests = []test{
	{description: "fails", measure: failures, excesses: []float64{0.04, 0.12, 0.4}, floor: failureFloor, baselineRate: robustRate},
	{description: "slow in part", measure: backendSlow, excesses: []float64{0.1, 0.3}, floor: slowFloor, baselineRate: robustRate, timing: true},
	{description: "slow", measure: inServiceTail, excesses: []float64{0.15, 0.4}, floor: tailFloor, baselineRate: slowestRate, timing: true},
}

// allTime selects the window since the order.
const allTime = 0

// windows are the lengths, in ticks, of the windows in which the versions are compared. Wide windows find weak
// permanent faults, narrow ones strong recent faults.
var windows = [...]int{1, 2, 4, 8, 16, 32, allTime}

// verdict is the strongest evidence found against the new version.
type verdict struct {
	// score is the evidence as a fraction of the threshold.
	score  float64
	reason string
	// requiredBackends is how many back ends of the new version must show evidence to roll it back.
	requiredBackends int
}

// raise replaces the verdict if the score is higher.
func (v *verdict) raise(score float64, why func() string) {
	if score > v.score {
		v.score, v.reason = score, why()
	}
}

func (v verdict) bad() bool        { return v.score >= 1 }
func (v verdict) suspicious() bool { return v.score >= suspiciousScore }

// mayClose reports whether the evidence is weak enough to remove the bound on the new version's calls.
func (v verdict) mayClose() bool { return v.score < maxClosingScore }

// sample summarizes the calls of one back end in a window, of one route or of all routes.
type sample struct {
	gateRun      uint64
	zone         string
	isNewVersion bool
	// calls counts ended calls, failed the failures among them.
	calls, failed float64
	// times counts the responses with a known time, serviceTail those slow for the service. compared
	// counts those at back ends whose usual time is known, slowForBackend those slow for their back end.
	times, serviceTail, compared, slowForBackend float64
	// expected is how many calls would have failed at the old version's rate at the same time.
	expected float64
	// log2Sum is the sum of the binary logarithms of the times relative to the old version's median.
	log2Sum float64
}

func (s sample) meanLog2() float64 { return s.log2Sum / s.times }

// measure extracts from a sample the number of calls and how many of them are bad.
type measure func(s sample) (calls, bad float64)

func failures(s sample) (calls, bad float64)      { return s.calls, s.failed }
func backendSlow(s sample) (calls, bad float64)   { return s.compared, s.slowForBackend }
func inServiceTail(s sample) (calls, bad float64) { return s.times, s.serviceTail }

// windowSamples holds the samples of both versions in one window.
type windowSamples struct {
	newVersion, old []sample
}

// evaluate compares the new version with the old one on each route and on all routes together.
func (j *Judge) evaluate() verdict {
	v := verdict{requiredBackends: requiredBackends(j.backends())}
	routes := j.computeBaselines()
	for _, run := range j.runs {
		clear(run.allRoutes[:])
	}
	for name, r := range routes {
		byWindow := make([]windowSamples, len(windows))
		for i, ticks := range windows {
			byWindow[i].reserve(len(r.series))
			for _, s := range r.series {
				windowSample := s.sampleOf(ticks, r)
				byWindow[i].insert(windowSample)
				s.gateRun.allRoutes[i].add(windowSample)
			}
		}
		testWindows(&v, "route "+name, byWindow)
	}
	byWindow := make([]windowSamples, len(windows))
	for i := range byWindow {
		byWindow[i].reserve(len(j.runs))
	}
	for _, run := range j.runs {
		for i := range byWindow {
			byWindow[i].insert(run.allRoutes[i])
		}
	}
	testWindows(&v, "service", byWindow)
	j.testFailureSum(&v)
	return v
}

func (s *windowSamples) reserve(n int) {
	s.newVersion, s.old = make([]sample, 0, n), make([]sample, 0, n)
}

func (s *windowSamples) insert(one sample) {
	if one.calls == 0 {
		return
	}
	if one.isNewVersion {
		s.newVersion = append(s.newVersion, one)
	} else {
		s.old = append(s.old, one)
	}
}

// add merges the sample of another route of the same back end.
func (s *sample) add(o sample) {
	s.gateRun, s.zone, s.isNewVersion = o.gateRun, o.zone, o.isNewVersion
	s.calls, s.failed = s.calls+o.calls, s.failed+o.failed
	s.times, s.serviceTail = s.times+o.times, s.serviceTail+o.serviceTail
	s.compared, s.slowForBackend = s.compared+o.compared, s.slowForBackend+o.slowForBackend
	s.log2Sum += o.log2Sum
	s.expected += o.expected
}

// testWindows runs all tests on all windows.
func testWindows(v *verdict, scope string, byWindow []windowSamples) {
	for i, window := range byWindow {
		if len(window.newVersion) == 0 {
			continue
		}
		wide := windows[i] == allTime || windows[i] >= minTimingTicks
		for _, t := range tests {
			if t.timing && !wide {
				continue
			}
			v.test(t, scope, window.newVersion, byWindow[i:])
		}
		if wide {
			v.testShift(scope, window.newVersion, byWindow[i:])
		}
	}
}

// test looks for evidence that new samples are bad more often than old ones of the same window, or of a
// wider one if that has too few calls.
func (v *verdict) test(t test, scope string, newSamples []sample, byWindow []windowSamples) {
	m := t.measure
	if calls, bad := total(newSamples, m); bad <= t.floor*calls {
		return // no baseline is below the floor
	}
	var old []sample
	for _, window := range byWindow {
		old = window.old
		if calls, _ := total(old, m); calls >= preferredBaseline {
			break
		}
	}
	if calls, _ := total(old, m); calls < minBaseline {
		if t.timing {
			return
		}
		t.floor = max(t.floor, floorWithoutBaseline)
	}
	baselines := make(map[string]float64)
	base := func(zone string) float64 {
		p, ok := baselines[zone]
		if !ok {
			p = max(t.floor, t.baselineRate(old, zone, m))
			if t.timing {
				p = max(p, t.baselineRate(byWindow[len(byWindow)-1].old, zone, m))
			}
			baselines[zone] = p
		}
		return p
	}
	v.raise(zoneBoundedScore(newSamples, v.evidenceLimit(newSamples), base, t), func() string {
		calls, bad := total(newSamples, m)
		oldCalls, oldBad := total(old, m)
		return fmt.Sprintf("%s %s: %.0f of %.0f calls, old version %.0f of %.0f", scope, t.description, bad, calls, oldBad, oldCalls)
	})
}

// evidenceLimit returns the bound on one back end's evidence, which is lower while other back ends have
// calls in the same window.
func (v *verdict) evidenceLimit(newSamples []sample) func(s sample) float64 {
	all := 0.0
	for _, s := range newSamples {
		all += s.calls
	}
	share := 1 / float64(v.requiredBackends)
	return func(s sample) float64 {
		if all-s.calls >= minCallsOfOthers {
			return min(share, maxLoneEvidence) * threshold
		}
		return share * threshold
	}
}

// zoneBoundedScore returns the evidence against the new samples as a fraction of the threshold. It
// bounds the evidence of each back end and requires evidence outside of each zone.
func zoneBoundedScore(newSamples []sample, limit func(s sample) float64, base func(zone string) float64, t test) float64 {
	best := 0.0
	for _, excess := range t.excesses {
		byZone, callsIn := make(map[string]float64), make(map[string]float64)
		sum, all := 0.0, 0.0
		for _, s := range newSamples {
			calls, bad := t.measure(s)
			p0 := base(s.zone)
			if !t.timing {
				p0 = max(p0, s.expected/max(1, calls))
			}
			p0 = min(p0, 0.95)
			p1 := min(p0+excess, 0.98)
			ratio := min(limit(s), bad*math.Log(p1/p0)+(calls-bad)*math.Log((1-p1)/(1-p0)))
			sum, all = sum+ratio, all+calls
			byZone[s.zone] += ratio
			callsIn[s.zone] += calls
		}
		score := sum / threshold
		for zone, zoneEvidence := range byZone {
			if rest := 1 - callsIn[zone]/max(1, all); rest > 0.01 {
				score = min(score, (sum-zoneEvidence)/(minEvidenceElsewhere*rest*threshold))
			}
		}
		best = max(best, score)
	}
	return best
}

// requiredBackends returns how many back ends of a version must show evidence, so that a single failing
// back end does not roll it back.
func requiredBackends(backends int) int {
	return max(1, min(backends, 2+backends/8))
}

// backends returns the number of process runs of the new version that have reported.
func (j *Judge) backends() int {
	n := 0
	for _, run := range j.runs {
		if run.isNewVersion {
			n++
		}
	}
	return n
}

// testShift compares the mean times of whole back ends, which detects a version whose responses are all
// slow.
func (v *verdict) testShift(scope string, newSamples []sample, byWindow []windowSamples) {
	tooFewTimes := func(s sample) bool { return s.times < minShiftTimes }
	newSamples = slices.DeleteFunc(slices.Clone(newSamples), tooFewTimes)
	var old []sample
	for _, window := range byWindow {
		if old = slices.DeleteFunc(slices.Clone(window.old), tooFewTimes); len(old) > 2 {
			break
		}
	}
	all := slices.DeleteFunc(slices.Clone(byWindow[len(byWindow)-1].old), tooFewTimes)
	if 2*len(old) < len(all) {
		old = all
	}
	if len(newSamples) == 0 || len(old) < 2 {
		return
	}
	newSamples = withoutExtremes(newSamples, sample.meanLog2)
	newMean, _ := meanAndDeviation(newSamples)
	oldMean, _ := meanAndDeviation(old)
	_, sd := meanAndDeviation(all)
	n := float64(len(newSamples))
	allowed := shiftMargin + (shiftSigmas+smallSampleSigmas/n)*max(sd, minSpread)*math.Sqrt(1/n+1/float64(len(old)))
	v.raise(max(0, (newMean-oldMean)/allowed), func() string {
		return fmt.Sprintf("%s takes %.1f times as long", scope, math.Pow(2, newMean-oldMean))
	})
}

// testFailureSum rolls the version back after maxFailures failures, without its worst back ends, if they far
// exceed those expected at the old version's rate and are not confined to one of several zones.
func (j *Judge) testFailureSum(v *verdict) {
	var newRuns []*processRun
	for _, run := range j.runs {
		if run.isNewVersion {
			newRuns = append(newRuns, run)
		}
	}
	slices.SortFunc(newRuns, func(a, b *processRun) int { return cmp.Compare(a.failed(), b.failed()) })
	if len(newRuns) >= 3 {
		newRuns = newRuns[:len(newRuns)-(len(newRuns)+4)/5]
	}
	var all failureTally
	byZone := make(map[string]failureTally)
	for _, run := range newRuns {
		tally := failureTally{failed: float64(run.failed()), ended: float64(run.failed() + run.answered()), allowed: 2 * run.expectedFailures()}
		all = all.plus(tally)
		byZone[run.report.Zone] = byZone[run.report.Zone].plus(tally)
	}
	if !all.exceeds(maxFailures) {
		return
	}
	for _, zoneTally := range byZone {
		if rest := all.minus(zoneTally); len(byZone) > 1 && !rest.exceeds(maxFailures*minEvidenceElsewhere*rest.ended/all.ended) {
			return
		}
	}
	v.raise(1, func() string { return fmt.Sprintf("%.0f of %.0f calls failed", all.failed, all.ended) })
}

// failureTally counts calls of new back ends: failed, ended, and how many are allowed to fail.
type failureTally struct {
	failed, ended, allowed float64
}

func (t failureTally) plus(o failureTally) failureTally {
	return failureTally{t.failed + o.failed, t.ended + o.ended, t.allowed + o.allowed}
}

func (t failureTally) minus(o failureTally) failureTally {
	return failureTally{t.failed - o.failed, t.ended - o.ended, t.allowed - o.allowed}
}

// exceeds reports whether at least the given number of calls failed, and significantly more than allowed.
func (t failureTally) exceeds(number float64) bool {
	allowed := t.allowed + failureFloor*t.ended
	return t.failed >= number && t.failed > allowed+2*math.Sqrt(max(0, allowed))
}

// updateExpectedFailures adds to each new back end how many of the calls that ended since the previous
// update would have failed at the old version's rate. It must precede each evaluation.
func (j *Judge) updateExpectedFailures() {
	var byWindow [len(recentTicks)][]sample
	for i, ticks := range recentTicks {
		for _, run := range j.runs {
			if !run.isNewVersion {
				byWindow[i] = append(byWindow[i], run.recentSample(ticks))
			}
		}
	}
	rates := make(map[string]float64)
	for _, run := range j.runs {
		if !run.isNewVersion {
			continue
		}
		zone := run.report.Zone
		if _, ok := rates[zone]; !ok {
			rates[zone] = recentRate(byWindow[:], zone)
		}
		run.addExpectedFailures(rates[zone])
	}
}

// recentRate returns the highest failure rate of the old version in the recent windows.
func recentRate(byWindow [][]sample, zone string) float64 {
	rate := 0.0
	for _, old := range byWindow {
		if calls, _ := total(old, failures); calls >= preferredBaseline {
			rate = max(rate, robustRate(old, zone, failures))
		}
	}
	return rate
}

func total(list []sample, m measure) (calls, bad float64) {
	for _, s := range list {
		c, b := m(s)
		calls, bad = calls+c, bad+b
	}
	return calls, bad
}

// robustRate returns the rate of bad calls of the old back ends without the worst third, so that a few
// failing ones do not mask a bad version. A higher rate in the new back end's own zone takes precedence,
// so that a failing zone does not roll back a good version.
func robustRate(old []sample, zone string, m measure) float64 {
	sameZone := slices.DeleteFunc(slices.Clone(old), func(s sample) bool { return s.zone != zone })
	return max(upperRate(withoutWorst(old, 3, rateBy(m)), m), upperRate(withoutWorst(sameZone, 3, rateBy(m)), m))
}

// slowestRate returns the rate of bad calls of the slowest third of the old back ends without the very
// worst, since all new back ends may run on slow machines.
func slowestRate(old []sample, _ string, m measure) float64 {
	old = withoutWorst(old, 8, rateBy(m))
	slices.SortFunc(old, func(a, b sample) int { return cmp.Compare(rateBy(m)(a), rateBy(m)(b)) })
	return upperRate(old[len(old)*2/3:], m)
}

func rateBy(m measure) func(sample) float64 {
	return func(s sample) float64 {
		calls, bad := m(s)
		return bad / max(1, calls)
	}
}

// upperRate returns the rate of bad calls over all samples, raised by a margin for chance.
func upperRate(list []sample, m measure) float64 {
	calls, bad := total(list, m)
	if calls < 1 {
		return 0
	}
	return min(1, (1.1*bad+math.Sqrt(bad))/calls)
}

// withoutWorst drops the worst back ends by a measure, one of every oneIn, if there are three or more.
func withoutWorst(list []sample, oneIn int, worse func(sample) float64) []sample {
	list = slices.Clone(list)
	if len(list) < 3 {
		return list
	}
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(worse(a), worse(b)) })
	return list[:len(list)-(len(list)+oneIn-1)/oneIn]
}

// withoutExtremes drops the best and the worst eighth of the back ends by a measure, if there are five or
// more.
func withoutExtremes(list []sample, by func(sample) float64) []sample {
	if len(list) < 5 {
		return list
	}
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(by(a), by(b)) })
	dropped := (len(list) + 7) / 8
	return list[dropped : len(list)-dropped]
}

// meanAndDeviation returns mean and standard deviation of the back ends' mean times, in doublings.
func meanAndDeviation(list []sample) (mean, sd float64) {
	for _, s := range list {
		mean += s.meanLog2() / float64(len(list))
	}
	for _, s := range list {
		sd += (s.meanLog2() - mean) * (s.meanLog2() - mean)
	}
	return mean, math.Sqrt(sd / max(1, float64(len(list)-1)))
}
