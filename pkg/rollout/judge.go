package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Policy bounds how many of a service's calls a bad version may receive.
type Policy struct {
	// A bad version may receive the fraction ExposureShare of the calls that reach the service between order
	// and deadline, plus ExposureSlack calls.
	ExposureShare float64
	ExposureSlack uint64
}

// NodeState is a node that holds a copy of the rollout and may send calls to the service.
type NodeState struct {
	Name string
	// Confirmed is set once the node has confirmed phase and share of the committed step.
	Confirmed bool
	// SinceLastContact is the time since this leader last heard from the node, at most the time it has been leader.
	SinceLastContact time.Duration
}

// GateState is what the control plane knows about the gate of one back end of the service.
type GateState struct {
	Instance string
	Version  string
	// Life is the gate's process run, zero until this leader has received a report from it.
	Life uint64
	// Confirmed is set once the gate's node has confirmed phase and share of the committed step.
	Confirmed bool
	// AtWork is the number of calls in flight at the back end, as the gate reported after it confirmed.
	AtWork int
	// SinceLastContact is the time since this leader last heard from the gate's node, at most the time it has been leader.
	SinceLastContact time.Duration
}

// View is what the leader knows about nodes and gates beyond their reports.
type View struct {
	// NodeStates are the nodes that this leader has heard from.
	NodeStates []NodeState
	// Gates lists every registered back end of the service that is not leaving. A process run missing from
	// it has ended.
	Gates []GateState
}

const (
	// tickInterval is the time between two ticks. Windows are counted in ticks.
	tickInterval = 250 * time.Millisecond
	// suspicionTicks is the number of ticks (two seconds) whose mean score rolls a version back when it
	// reaches suspiciousScore. A single low score does not reset it.
	suspicionTicks = 8
	// settleTime is how long a new judge advances no stage of an earlier order, completes no rollout and
	// retires no grant; it receives all reports within a second.
	settleTime = time.Second
	// minResponses is how many ended calls of the new version a stage needs, or half of the calls that its
	// share amounts to if that is less.
	minResponses = 50
	// minResponsesLate suffices for a stage that lasted twice its planned time, since the budget may allow
	// no more.
	minResponsesLate = 20
	// failingRate is the recent failure rate of the old version above which no more calls are moved,
	// unless the new version fails at less than half of this rate.
	failingRate  = 0.1
	failingTicks = 4
	// confirmTimeout is how long the last stage waits for all nodes to confirm it.
	confirmTimeout = 1500 * time.Millisecond
	// drainTimeout is how long the judge waits for calls at an old gate that is disconnected: counted from
	// the start of Closing and, unless the gate reported itself closed and idle, from the end of its
	// lease.
	drainTimeout = 2 * time.Second
	// confirmationDelay is the longest time that a confirmation takes to arrive; it adds to LeaseTime.
	confirmationDelay = time.Second
)

// Judge decides the steps of one rollout on the leader. Reports count from the order on, so a new leader's
// judge has the same data within a second. It is not safe for concurrent use.
type Judge struct {
	policy  Policy
	service string
	version string
	number  uint64
	// reachedBefore is the committed number of calls that reached the service when this judge was created.
	reachedBefore uint64
	runs          map[uint64]*processRun
	// score is that of the latest evaluation, scores are those of up to suspicionTicks-1 ticks before it.
	score  float64
	scores []float64
	// startedAt is the time of the first call of Next, lastTick that of the last tick.
	startedAt, lastTick time.Time
	// reachedHistory holds reachedCalls at the last ticks.
	reachedHistory []reachedSample
	// stage is the share of the current stage, stageBaseline how many calls of the new version had ended when
	// the stage began; both are valid if stageKnown is set.
	stage         int
	stageBaseline uint64
	stageKnown    bool
}

type reachedSample struct {
	at           time.Time
	reachedCalls uint64
}

// rateTicks is how many ticks the recent call rate is averaged over.
const rateTicks = 8

// NewJudge returns a judge for the given rollout.
func NewJudge(policy Policy, held Rollout) *Judge {
	return &Judge{
		policy:        policy,
		service:       held.Service,
		version:       held.Version,
		number:        held.Number,
		reachedBefore: held.Reached,
		runs:          make(map[uint64]*processRun),
	}
}

// AddReport stores a gate's report, unless it belongs to another order or is older than the stored one of the
// same process run.
func (j *Judge) AddReport(now time.Time, report Report) {
	if report.Service != j.service || report.Number != j.number {
		return
	}
	run := j.runs[report.Life]
	if run == nil {
		run = &processRun{isNewVersion: report.Version == j.version, routes: make(map[string]*series)}
		j.runs[report.Life] = run
	}
	if report.Admitted < run.report.Admitted {
		return
	}
	run.update(now, report)
}

// Next returns the step that follows held, the latest committed state, and false if there is none. It is
// called several times a second; a step takes effect once it is committed.
func (j *Judge) Next(now time.Time, held Rollout, view View) (Rollout, bool) {
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
	j.updateExpectedFailures()
	defer j.tick(now)
	switch held.Phase {
	case Running:
		return j.run(now, held, view)
	case Closing:
		return j.close(now, held, view)
	case Reverting:
		if revertConfirmed(now, held, view) {
			return j.transition(now, held, RolledBack, 0, held.Reason), true
		}
	}
	return held, false
}

// persistentlySuspicious reports whether the mean score of the last suspicionTicks ticks is suspicious.
func (j *Judge) persistentlySuspicious(v verdict) bool {
	j.score = min(1, v.score)
	sum := j.score
	for _, score := range j.scores {
		sum += score
	}
	return len(j.scores) == suspicionTicks-1 && sum >= suspiciousScore*suspicionTicks
}

// tick stores the counters for later windows, at most once per tickInterval.
func (j *Judge) tick(now time.Time) {
	if now.Sub(j.lastTick) < tickInterval {
		return
	}
	j.lastTick = now
	for _, run := range j.runs {
		for _, s := range run.routes {
			s.tick()
		}
	}
	j.reachedHistory = appendBounded(j.reachedHistory, rateTicks, reachedSample{at: now, reachedCalls: j.reachedCalls()})
	j.scores = appendBounded(j.scores, suspicionTicks-1, j.score)
}

// appendBounded appends to a list and drops the oldest element once it holds limit elements.
func appendBounded[T any](list []T, limit int, newest T) []T {
	if len(list) == limit {
		list = append(list[:0], list[1:]...)
	}
	return append(list, newest)
}

// run returns the step that follows a Running state.
func (j *Judge) run(now time.Time, held Rollout, view View) (Rollout, bool) {
	v := j.evaluate()
	if v.bad() || j.persistentlySuspicious(v) {
		return revert(held, now, v.reason), true
	}
	next, changed := j.grant(now, held, view)
	since := now.Sub(time.UnixMilli(held.AtMillis))
	p := planFor(held.Duration)
	if !j.stageComplete(now, held, view, p) || v.suspicious() {
		if since >= p.duration {
			return revert(held, now, j.timeoutReason(now, held, view, v)), true
		}
		return j.numberGrantStep(next, changed)
	}
	if held.Share == FullShare && !v.mayClose() && since < p.closeBy() {
		return j.numberGrantStep(next, changed)
	}
	if held.Share == FullShare {
		next.Reason = j.evidenceReason()
		return j.transition(now, next, Closing, FullShare, next.Reason), true
	}
	share := stages[stageOf(held.Share)+1]
	return j.transition(now, next, Running, share, j.evidenceReason()), true
}

// stageComplete reports whether the current stage has lasted long enough and has enough responses of its
// own.
func (j *Judge) stageComplete(now time.Time, held Rollout, view View, p plan) bool {
	begun := time.UnixMilli(held.ShareAtMillis).Sub(time.UnixMilli(held.AtMillis))
	since := now.Sub(time.UnixMilli(held.AtMillis))
	lasted := since - begun
	enough := j.enoughResponses(now, held, lasted)
	if now.Sub(j.startedAt) < settleTime && since > settleTime {
		return false
	}
	if since < p.closeBy() && (j.bothVersionsFailing() || j.cold()) {
		return false
	}
	if held.Share == canaryShare {
		return enough && since >= p.canaryEnd() && lasted >= minStage && len(j.connectedTargetRuns(now, view)) > 0
	}
	if held.Share == FullShare && lasted < confirmTimeout && !allConfirmed(view) {
		return false
	}
	return enough && lasted >= p.stageTime(begun, held.Share)
}

// bothVersionsFailing reports whether both versions fail so often that they can't be compared. No more
// calls are moved then unless time runs out.
func (j *Judge) bothVersionsFailing() bool {
	var newSamples, old []sample
	for _, run := range j.runs {
		if run.isNewVersion {
			newSamples = append(newSamples, run.recentSample(failingTicks))
		} else {
			old = append(old, run.recentSample(failingTicks))
		}
	}
	if calls, _ := total(old, failures); calls < preferredBaseline || robustRate(old, "", failures) <= failingRate {
		return false
	}
	calls, failed := total(newSamples, failures)
	return failed > failingRate/2*calls
}

// cold reports whether most connected back ends of the new version are cold: their times are not
// comparable and their capacity is low.
func (j *Judge) cold() bool {
	cold, all := 0, 0
	for _, run := range j.runs {
		if !run.isNewVersion || j.lastTick.Sub(run.reportedAt) > LeaseTime {
			continue
		}
		all++
		if run.report.Cold {
			cold++
		}
	}
	return 2*cold > all
}

// enoughResponses reports whether enough calls of the new version have ended in this stage. A service that
// receives no calls needs none.
func (j *Judge) enoughResponses(now time.Time, held Rollout, lasted time.Duration) bool {
	endedCalls := j.endedCalls()
	if !j.stageKnown || j.stage != held.Share {
		j.stage, j.stageBaseline, j.stageKnown = held.Share, endedCalls, true
		if held.Share == canaryShare {
			j.stageBaseline = 0
		}
	}
	expected := j.callRate(now, held) * lasted.Seconds() * float64(held.Share) / FullShare
	received := float64(endedCalls - min(endedCalls, j.stageBaseline))
	if lasted >= 2*planFor(held.Duration).stage && received >= minResponsesLate {
		return true
	}
	return received >= min(minResponses, expected/2)
}

// endedCalls returns how many calls the new version has answered or failed.
func (j *Judge) endedCalls() uint64 {
	var sum uint64
	for _, run := range j.runs {
		if run.isNewVersion {
			sum += run.answered() + run.failed()
		}
	}
	return sum
}

// close returns the step that follows a Closing state.
func (j *Judge) close(now time.Time, held Rollout, view View) (Rollout, bool) {
	if v := j.evaluate(); v.bad() {
		return revert(held, now, v.reason), true
	}
	if !allConfirmed(view) || now.Sub(j.startedAt) < settleTime {
		return held, false
	}
	lasted := now.Sub(time.UnixMilli(held.ShareAtMillis))
	for _, g := range view.Gates {
		if g.Version != held.Version && !drained(g, lasted) {
			return held, false
		}
	}
	return j.transition(now, held, Completed, FullShare, held.Reason), true
}

// drained reports whether an old gate has no calls in flight, or has been disconnected long enough for its
// calls to have ended. A connected gate is waited for without limit, because its back end may be stopped
// after completion and would lose its calls.
func drained(g GateState, lasted time.Duration) bool {
	done := g.Confirmed && g.AtWork == 0
	if g.SinceLastContact <= LeaseTime {
		return done
	}
	return lasted >= drainTimeout && (done || g.SinceLastContact >= LeaseTime+drainTimeout)
}

// allConfirmed reports whether all connected nodes have confirmed the committed step.
func allConfirmed(view View) bool {
	return !slices.ContainsFunc(view.NodeStates, func(h NodeState) bool { return !h.Confirmed && h.SinceLastContact <= LeaseTime })
}

// revertConfirmed reports whether no gate of the new version admits calls any more: each has confirmed the
// step, or all leases have expired.
func revertConfirmed(now time.Time, held Rollout, view View) bool {
	if now.Sub(time.UnixMilli(held.ShareAtMillis)) >= LeaseTime+confirmationDelay {
		return true
	}
	return !slices.ContainsFunc(view.Gates, func(g GateState) bool { return g.Version == held.Version && !g.Confirmed })
}

// transition returns a step to another phase or share.
func (j *Judge) transition(now time.Time, held Rollout, phase Phase, share int, reason string) Rollout {
	next := held
	next.Step++
	next.Phase, next.Share, next.Reason = phase, share, reason
	next.ShareAtMillis = now.UnixMilli()
	next.Reached = max(held.Reached, j.reachedCalls())
	return next
}

// numberGrantStep numbers a step that changes only grants.
func (j *Judge) numberGrantStep(next Rollout, changed bool) (Rollout, bool) {
	if changed {
		next.Step++
		next.Reached = max(next.Reached, j.reachedCalls())
	}
	return next, changed
}

func (j *Judge) evidenceReason() string {
	return fmt.Sprintf("%d calls without signs against it", j.endedCalls())
}

// timeoutReason says why a rollout did not complete within its duration.
func (j *Judge) timeoutReason(now time.Time, held Rollout, view View, v verdict) string {
	switch {
	case v.suspicious():
		return "out of time, with signs against it: " + v.reason
	case len(j.connectedTargetRuns(now, view)) == 0:
		return "out of time: no back end of the version is heard"
	}
	return fmt.Sprintf("out of time: too little evidence, %d calls", j.endedCalls())
}
