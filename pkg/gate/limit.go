package gate

import (
	"math"
	"time"
)

// namedLimit is the rate of calls that the back end names in its responses. It does no I/O and reads no
// clock. The zero value is no limit.
type namedLimit struct {
	// rate is in calls per second, if limited.
	rate    float64
	limited bool
	// namedAt is when a response last named a limit.
	namedAt time.Duration
	// reported and reportedLimited are rate and limited as of the last reported change.
	reported        float64
	reportedLimited bool
	// invalid is the last value that could not be read, empty once one could.
	invalid string
}

// name applies the rate that a response names.
func (l *namedLimit) name(now time.Duration, rate float64) {
	l.rate, l.limited, l.namedAt = rate, true, now
}

// omit applies a response without a limit to a call admitted at the given time. A call that was admitted before the
// limit was last named may have been answered before, too.
func (l *namedLimit) omit(admittedAt time.Duration) {
	if l.limited && admittedAt >= l.namedAt {
		l.rate, l.limited = 0, false
	}
}

// reportedChange is the smallest relative change of a limit that is reported.
const reportedChange = 0.2

// changed reports whether the limit differs from the last reported one by enough to be reported, and marks
// it as reported.
func (l *namedLimit) changed() bool {
	sameKind := l.limited == l.reportedLimited
	if sameKind && math.Abs(l.rate-l.reported) <= reportedChange*l.reported {
		return false
	}
	l.reported, l.reportedLimited = l.rate, l.limited
	return true
}
