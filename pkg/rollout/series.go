package rollout

import (
	"time"
)

// looks is how many looks a series keeps: the widest window but that since the order.
const looks = 32

// counts are one route's calls at one back end, summed.
type counts struct {
	answered, failed uint64
	times            Times
}

// series is how one route's calls at one back end came along, look by look.
type series struct {
	zone   string
	target bool
	now    counts
	// past holds what now was at the last looks, the oldest first.
	past []counts
}

// look keeps what is known now for later windows.
func (s *series) look() {
	if len(s.past) == looks {
		s.past = append(s.past[:0], s.past[1:]...)
	}
	s.past = append(s.past, s.now)
}

// since returns what came in the last looks, or since the order.
func (s *series) since(back int) counts {
	if back == allTime || back > len(s.past) {
		return s.now
	}
	return s.now.minus(s.past[len(s.past)-back])
}

func (c counts) minus(before counts) counts {
	c.answered -= min(c.answered, before.answered)
	c.failed -= min(c.failed, before.failed)
	for i := range c.times {
		c.times[i] -= min(c.times[i], before.times[i])
	}
	return c
}

// usual is the bucket of a back end's usual time, its lower quartile, false if too few are known. The
// lower quartile stays that of the good answers while up to three in four turn slow.
func (s *series) usual() (int, bool) {
	var sum uint64
	for _, n := range s.now.times {
		sum += uint64(n)
	}
	if sum < minTimes {
		return 0, false
	}
	var below uint64
	for i, n := range s.now.times {
		if below += uint64(n); 4*below >= sum {
			return i, true
		}
	}
	return timeBuckets - 1, true
}

// slower counts the answers whose times are known, and those of them beyond a bucket.
func (c counts) slower(bucket int) (calls, slow float64) {
	for i, n := range c.times {
		calls += float64(n)
		if i > bucket {
			slow += float64(n)
		}
	}
	return calls, slow
}

// meanDoubles is the mean time as a power of two, and of how many answers.
func (c counts) meanDoubles() (float64, uint64) {
	var sum float64
	var times uint64
	for i, n := range c.times {
		sum += float64(i) * float64(n) / bucketsPerDouble
		times += uint64(n)
	}
	if times == 0 {
		return 0, 0
	}
	return sum / float64(times), times
}

// life is what is known of one gate's process with one back end.
type life struct {
	report Report
	target bool
	// first is what the first report here said of calls that count.
	first uint64
	heard time.Time
	// perSecond is how many calls the gate let in a second between its last two reports.
	perSecond float64
	routes    map[string]*series
}

func (l *life) take(now time.Time, report Report) {
	if span := now.Sub(l.heard).Seconds(); !l.heard.IsZero() && span > 0 {
		l.perSecond = float64(report.Admitted-l.report.Admitted) / span
	}
	fresh := l.heard.IsZero()
	l.report, l.heard = report, now
	if fresh {
		l.first = l.counted()
	}
	for _, r := range report.Routes {
		s := l.routes[r.Route]
		if s == nil {
			s = &series{zone: report.Zone, target: l.target}
			l.routes[r.Route] = s
		}
		s.now = counts{answered: r.Answered, failed: r.Failed, times: r.Times}
	}
}

// counted is how many of a gate's calls count as having reached the service: repeats do not, and a call
// that failed at the new version comes again, so it counts only where it is answered.
func (l *life) counted() uint64 {
	known := l.report.Admitted - min(l.report.Admitted, l.report.Repeats)
	if l.target {
		known -= min(known, l.failed())
	}
	return known
}

func (l *life) failed() uint64 {
	var sum uint64
	for _, r := range l.report.Routes {
		sum += r.Failed
	}
	return sum
}

func (l *life) answered() uint64 {
	var sum uint64
	for _, r := range l.report.Routes {
		sum += r.Answered
	}
	return sum
}
