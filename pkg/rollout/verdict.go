package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// threshold is the logarithm of the likelihood ratio at which the new version is condemned (Wald's
	// sequential test): under a good version one look passes it with a chance below e to the minus 12.
	threshold = 12
	// suspicion is the part of the threshold from which on the share stays.
	suspicion = 0.5
	// minBaseline is how many calls of old back ends a window needs; with fewer a wider one is asked.
	minBaseline = 50
	// failureFloor is the share of failures that any version is allowed, slowFloor that of slow answers.
	failureFloor = 0.01
	slowFloor    = 0.08
	// slowUsual is the share of the old version's answers that count as slow.
	slowUsual = 0.05
	// minSlowBuckets is how much slower than usual for the back end a slow answer is: two to three times.
	minSlowBuckets = 2
	// minTimes is how many times a back end's usual one is taken from.
	minTimes = 12
	// shiftMargin, in doublings, is how much slower than the old the new back ends may be on the whole,
	// besides shiftSigmas times the spread between back ends, which is at least minSpread.
	shiftMargin = 0.7
	shiftSigmas = 3
	minSpread   = 0.3
	minShift    = 5
	// maxFailures is how many failures of the new version, those of its worst back ends left out, end a
	// rollout without a test if they are far more than the old version's share.
	maxFailures = 20
)

// failureSteps and slowSteps are how much more than the baseline a bad version fails, or is slow.
var (
	failureSteps = []float64{0.04, 0.12, 0.4}
	slowSteps    = []float64{0.1, 0.3}
)

// windows are how many looks back the judge compares; allTime stands for since the order. Several windows
// find both a weak fault that was always there and a strong one that just began.
const allTime = 0

var windows = []int{1, 2, 4, 8, 16, 32, allTime}

// verdict is what the judge finds.
type verdict struct {
	// score is the strongest evidence against the version as part of what condemns it.
	score  float64
	reason string
}

func (v *verdict) add(score float64, why func() string) {
	if score > v.score {
		v.score, v.reason = score, why()
	}
}

func (v verdict) bad() bool        { return v.score >= 1 }
func (v verdict) suspicious() bool { return v.score >= suspicion }

// sample is one back end's calls of one route in a window.
type sample struct {
	zone        string
	calls, bad  float64
	meanDoubles float64
	times       uint64
}

func (s sample) rate() float64 {
	if s.calls == 0 {
		return 0
	}
	return s.bad / s.calls
}

// judge compares the new version with the old one on each route.
func (j *Judge) judge() verdict {
	var v verdict
	for route, list := range j.byRoute() {
		for _, w := range windows {
			j.judgeFailures(&v, route, list, w)
			j.judgeSlow(&v, route, list, w)
			j.judgeShift(&v, route, list, w)
		}
	}
	j.judgeSum(&v)
	return v
}

// compare finds evidence that new samples are bad more often than the old ones.
func compare(fresh []sample, base func(zone string) float64, steps []float64) float64 {
	best := 0.0
	limit := threshold / float64(witnesses(len(fresh)))
	for _, step := range steps {
		sum := 0.0
		for _, s := range fresh {
			p0 := min(base(s.zone), 0.95)
			p1 := min(p0+step, 0.98)
			ratio := s.bad*math.Log(p1/p0) + (s.calls-s.bad)*math.Log((1-p1)/(1-p0))
			sum += min(ratio, limit)
		}
		best = max(best, sum)
	}
	return best / threshold
}

// witnesses is how many of a version's back ends must speak against it: one that fails by itself is
// not the version's fault.
func witnesses(backends int) int {
	return max(1, min(backends, 2+backends/8))
}

func (j *Judge) judgeFailures(v *verdict, route string, list []*series, w int) {
	pick := func(s *series, w int) (sample, bool) {
		d := s.since(w)
		calls := float64(d.answered + d.failed)
		return sample{zone: s.zone, calls: calls, bad: float64(d.failed)}, calls > 0
	}
	fresh := collect(list, true, w, pick)
	if len(fresh) == 0 {
		return
	}
	base := baseline(list, w, failureFloor, pick)
	v.add(compare(fresh, base, failureSteps), func() string {
		return fmt.Sprintf("route %s fails %s", route, describe(fresh, collect(list, false, w, pick)))
	})
}

// judgeSlow looks for answers that are slow by their own back end's measure: that finds a version a part
// of whose answers are slow, or that turned slow, however fast the machines are.
func (j *Judge) judgeSlow(v *verdict, route string, list []*series, w int) {
	by := slowBuckets(list)
	pick := func(s *series, w int) (sample, bool) {
		usual, known := s.usual()
		if !known {
			return sample{}, false
		}
		d := s.since(w)
		calls, slow := d.slower(usual + by)
		return sample{zone: s.zone, calls: calls, bad: slow}, calls > 0
	}
	fresh := collect(list, true, w, pick)
	if len(fresh) == 0 || len(collect(list, false, allTime, pick)) == 0 {
		return
	}
	base := baseline(list, w, slowFloor, pick)
	v.add(compare(fresh, base, slowSteps), func() string {
		return fmt.Sprintf("route %s slow in part: %s", route, describe(fresh, collect(list, false, w, pick)))
	})
}

// slowBuckets is by how many buckets an answer must be slower than usual to be slow: the least by
// which few of the old version's answers are.
func slowBuckets(list []*series) int {
	for by := minSlowBuckets; by < timeBuckets; by++ {
		var calls, slow float64
		for _, s := range list {
			usual, known := s.usual()
			if s.target || !known {
				continue
			}
			c, b := s.now.slower(usual + by)
			calls, slow = calls+c, slow+b
		}
		if slow <= slowUsual*calls {
			return by
		}
	}
	return timeBuckets
}

// judgeShift compares whole back ends: that finds a version all of whose answers are slow.
func (j *Judge) judgeShift(v *verdict, route string, list []*series, w int) {
	pick := func(s *series, w int) (sample, bool) {
		mean, times := s.since(w).meanDoubles()
		return sample{meanDoubles: mean, times: times}, times >= minShift
	}
	fresh, old := collect(list, true, w, pick), collect(list, false, w, pick)
	if len(old) < 2 {
		old = collect(list, false, allTime, pick)
	}
	if len(fresh) == 0 || len(old) < 2 {
		return
	}
	fresh = withoutWorst(fresh, 5, func(s sample) float64 { return s.meanDoubles })
	newMean, _ := spread(fresh)
	oldMean, sd := spread(old)
	sd = max(sd, minSpread)
	allowed := shiftMargin + shiftSigmas*sd*math.Sqrt(1/float64(len(fresh))+1/float64(len(old)))
	v.add(max(0, (newMean-oldMean)/allowed), func() string {
		return fmt.Sprintf("route %s takes %.1f times as long", route, math.Pow(2, newMean-oldMean))
	})
}

// judgeSum is the rule besides the tests: some tens of failures, far more than the old version's.
func (j *Judge) judgeSum(v *verdict) {
	var fresh, old []sample
	for _, l := range j.lives {
		failed, answered := l.failed(), l.answered()
		s := sample{zone: l.report.Zone, calls: float64(failed + answered), bad: float64(failed)}
		if s.calls == 0 {
			continue
		}
		if l.target {
			fresh = append(fresh, s)
		} else {
			old = append(old, s)
		}
	}
	fresh = withoutWorst(fresh, 5, func(s sample) float64 { return s.bad })
	var failed, calls, allowed float64
	for _, s := range fresh {
		failed, calls = failed+s.bad, calls+s.calls
		allowed += s.calls * (2*robustRate(old, s.zone, 0) + failureFloor)
	}
	if calls == 0 || failed < maxFailures || failed <= allowed {
		return
	}
	v.add(1, func() string { return fmt.Sprintf("%.0f of %.0f calls failed", failed, calls) })
}

// collect returns the samples of one side in a window.
func collect(list []*series, target bool, w int, pick func(*series, int) (sample, bool)) []sample {
	var out []sample
	for _, s := range list {
		if s.target != target {
			continue
		}
		if one, ok := pick(s, w); ok {
			out = append(out, one)
		}
	}
	return out
}

// baseline returns what share of calls is bad at the old version's back ends, by zone: in the window, or
// in a wider one if that has too few calls.
func baseline(list []*series, w int, floor float64, pick func(*series, int) (sample, bool)) func(zone string) float64 {
	var old []sample
	for i := slices.Index(windows, w); i < len(windows); i++ {
		old = collect(list, false, windows[i], pick)
		if total(old) >= minBaseline {
			break
		}
	}
	known := make(map[string]float64)
	return func(zone string) float64 {
		p, ok := known[zone]
		if !ok {
			p = robustRate(old, zone, floor)
			known[zone] = p
		}
		return p
	}
}

func total(list []sample) float64 {
	sum := 0.0
	for _, s := range list {
		sum += s.calls
	}
	return sum
}

// robustRate is the share of bad calls of the old back ends, the worst third left out: some that fail by
// themselves must not save a bad version. Where the new back end's own zone is worse, that counts: a
// zone in trouble must not condemn a good one.
func robustRate(old []sample, zone string, floor float64) float64 {
	near := slices.DeleteFunc(slices.Clone(old), func(s sample) bool { return s.zone != zone })
	return max(floor, upperRate(old), upperRate(near))
}

// upperRate is an upper bound of the pooled rate.
func upperRate(list []sample) float64 {
	list = withoutWorst(list, 3, sample.rate)
	calls := total(list)
	if calls < 1 {
		return 0
	}
	bad := 0.0
	for _, s := range list {
		bad += s.bad
	}
	return min(1, (1.1*bad+math.Sqrt(bad))/calls)
}

// withoutWorst leaves out one in some back ends, the worst by a measure, if there are three or more.
func withoutWorst(list []sample, oneIn int, worse func(sample) float64) []sample {
	if len(list) < 3 {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(worse(a), worse(b)) })
	return list[:len(list)-(len(list)+oneIn-1)/oneIn]
}

// spread returns mean and standard deviation of the back ends' mean times.
func spread(list []sample) (mean, sd float64) {
	for _, s := range list {
		mean += s.meanDoubles / float64(len(list))
	}
	for _, s := range list {
		sd += (s.meanDoubles - mean) * (s.meanDoubles - mean)
	}
	return mean, math.Sqrt(sd / max(1, float64(len(list)-1)))
}

func describe(fresh, old []sample) string {
	var a, b float64
	for _, s := range fresh {
		a += s.bad
	}
	for _, s := range old {
		b += s.bad
	}
	return fmt.Sprintf("%.0f of %.0f calls, old version %.0f of %.0f", a, total(fresh), b, total(old))
}
