package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// grantableFraction is the part of the exposure share that is granted. The rest covers retries that
	// gates did not recognise, so that one call was counted twice.
	grantableFraction = 0.9
	// reservedSlack is how many calls of the slack are reserved for those that gates admit before they
	// receive the order.
	reservedSlack = 8
	// grantDuration is how long a grant should last, to cover a change of leader or some lost reports.
	grantDuration = 2 * time.Second
	// minGrant is the smallest grant of a gate while there is budget left.
	minGrant = 2
)

// budget returns how many calls the gates of the new version may have been granted by this time.
func (j *Judge) budget(now time.Time, held Rollout) uint64 {
	calls := float64(j.reachedCalls())
	if held.Share == FullShare {
		calls += j.expectedCalls(now, held)
	}
	slack := j.policy.ExposureSlack - min(j.policy.ExposureSlack, reservedSlack)
	return uint64(grantableFraction*j.policy.ExposureShare*calls) + slack
}

// reachedCalls returns how many distinct calls are known to have reached the service since the order. It
// is the larger of two lower bounds: the sum over all reported runs, and the committed count plus what
// gates counted after this judge began. Neither counts a call twice.
func (j *Judge) reachedCalls() uint64 {
	all, since := uint64(0), j.reachedBefore
	for _, run := range j.runs {
		counted := run.distinctCalls()
		all += counted
		since += counted - min(counted, run.firstDistinct)
	}
	return max(all, since)
}

// expectedCalls estimates how many calls will reach the service until the deadline at the current rate.
// The last stage sends all calls to the new version, so its budget also counts the calls still expected.
func (j *Judge) expectedCalls(now time.Time, held Rollout) float64 {
	left := held.Deadline().Sub(now)
	if left <= 0 {
		return 0
	}
	return grantableFraction * j.callRate(now, held) * left.Seconds()
}

// callRate returns the calls per second that reach the service: the lower of the average since the order
// and the recent rate.
func (j *Judge) callRate(now time.Time, held Rollout) float64 {
	since := now.Sub(time.UnixMilli(held.AtMillis)).Seconds()
	if since <= 0 {
		return 0
	}
	callRate := float64(j.reachedCalls()) / since
	if len(j.reachedHistory) == 0 {
		return callRate
	}
	first := j.reachedHistory[0]
	if span := now.Sub(first.at); span >= time.Second {
		callRate = min(callRate, float64(j.reachedCalls()-min(j.reachedCalls(), first.reachedCalls))/span.Seconds())
	}
	return callRate
}

// grant returns the rollout with the grants that the budget allows, and whether the step is needed. Cold
// back ends get no grant during the canary stage, since their response times say nothing about the
// version.
func (j *Judge) grant(now time.Time, held Rollout, view View) (Rollout, bool) {
	next := held
	next.Grants = slices.Clone(held.Grants)
	if now.Sub(j.startedAt) >= settleTime {
		next.retireGrants(view)
	}
	runs := j.connectedTargetRuns(now, view)
	if held.Share == canaryShare && now.Sub(time.UnixMilli(held.AtMillis)) < planFor(held.Duration).canaryEnd() {
		runs = slices.DeleteFunc(runs, func(run *processRun) bool { return run.report.Cold })
	}
	if len(runs) == 0 {
		return next, next.Spent != held.Spent
	}
	expected := j.callRate(now, held) * float64(held.Share) / FullShare * grantDuration.Seconds() / float64(len(runs))
	short, wanted := false, make([]uint64, len(runs))
	var sum uint64
	for i, run := range runs {
		need := callsNeeded(max(expected, run.admitRate*grantDuration.Seconds()))
		limit := next.grantLimit(run.report.Life)
		if target := run.report.Admitted + need; target > limit {
			wanted[i] = target - limit
			sum += wanted[i]
		}
		short = short || limit < run.report.Admitted+max(1, need/2)
	}
	if !short || sum == 0 {
		return next, next.Spent != held.Spent
	}
	budget, exposed := j.budget(now, held), next.Exposed()
	if budget <= exposed {
		return next, next.Spent != held.Spent
	}
	granted := false
	free := budget - exposed
	for i, run := range runs {
		more := wanted[i]
		if sum > free {
			more = more * free / sum
		}
		if more > 0 {
			granted = true
			next.increaseGrant(run.report.Life, more)
		}
	}
	return next, granted || next.Spent != held.Spent
}

// callsNeeded returns how many calls a gate should be granted if it expects some number of them, with two
// standard deviations of headroom.
func callsNeeded(expected float64) uint64 {
	return max(minGrant, uint64(expected+2*math.Sqrt(expected)))
}

// connectedTargetRuns returns the process runs of the new version's gates that reported within LeaseTime,
// sorted by Life.
func (j *Judge) connectedTargetRuns(now time.Time, view View) []*processRun {
	var list []*processRun
	for _, g := range view.Gates {
		run := j.runs[g.Life]
		if run != nil && run.isNewVersion && now.Sub(run.reportedAt) <= LeaseTime {
			list = append(list, run)
		}
	}
	slices.SortFunc(list, func(a, b *processRun) int { return cmp.Compare(a.report.Life, b.report.Life) })
	return list
}

// retireGrants moves the grants of gates that no longer exist to Spent. It keeps all grants while a gate
// of the new version has not reported its Life, since any of them may belong to it.
func (r *Rollout) retireGrants(view View) {
	runUnknown := func(g GateState) bool { return g.Version == r.Version && g.Life == 0 }
	if slices.ContainsFunc(view.Gates, runUnknown) {
		return
	}
	r.Grants = slices.DeleteFunc(r.Grants, func(grant Grant) bool {
		if slices.ContainsFunc(view.Gates, func(g GateState) bool { return g.Life == grant.Life }) {
			return false
		}
		r.Spent += grant.Upto
		return true
	})
}

func (r *Rollout) findGrant(runID uint64) (int, bool) {
	return slices.BinarySearchFunc(r.Grants, runID, func(g Grant, runID uint64) int { return cmp.Compare(g.Life, runID) })
}

func (r *Rollout) grantLimit(runID uint64) uint64 {
	if i, found := r.findGrant(runID); found {
		return r.Grants[i].Upto
	}
	return 0
}

func (r *Rollout) increaseGrant(runID, more uint64) {
	i, found := r.findGrant(runID)
	if !found {
		r.Grants = slices.Insert(r.Grants, i, Grant{Life: runID})
	}
	r.Grants[i].Upto += more
}
