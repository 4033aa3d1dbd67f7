package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// spendable is the part of the exposure that is granted: the rest is for calls that counted as having
	// reached the service twice without the gates' knowing.
	spendable = 0.9
	// slackKept is kept of the slack for calls that gates let in before they heard of the order.
	slackKept = 8
	// grantTime is for how long a grant should last: over a change of leader or some lost reports.
	grantTime = 2 * time.Second
	// minGrant is the least that a gate is granted while there is budget.
	minGrant = 2
)

// budget is how many calls the new version may have got so far.
func (j *Judge) budget(now time.Time, held Rollout) uint64 {
	calls := float64(j.reached())
	if held.Share == Thousandths {
		calls += j.expected(now, held)
	}
	slack := j.policy.ExposureSlack - min(j.policy.ExposureSlack, slackKept)
	return uint64(spendable*j.policy.ExposureShare*calls) + slack
}

// reached is how many calls are known to have reached the service since the order: what all gates have
// counted, or what was committed before this judge and what gates counted since, whichever is more. Either
// may have missed some; neither counts one twice.
func (j *Judge) reached() uint64 {
	all, since := uint64(0), j.before
	for _, l := range j.lives {
		counted := l.counted()
		all += counted
		since += counted - min(counted, l.first)
	}
	return max(all, since)
}

// expected is how many more calls will reach the service until the deadline, if they come as they did:
// the last stage needs more than a tenth of the calls so far, and counts on calls to come.
func (j *Judge) expected(now time.Time, held Rollout) float64 {
	left := held.Deadline().Sub(now)
	if left <= 0 {
		return 0
	}
	return spendable * j.rate(now, held) * left.Seconds()
}

// rate is how many calls reach the service a second: over all the time or of late, whichever is less.
func (j *Judge) rate(now time.Time, held Rollout) float64 {
	since := now.Sub(time.UnixMilli(held.AtMillis)).Seconds()
	if since <= 0 {
		return 0
	}
	rate := float64(j.reached()) / since
	if len(j.counts) == 0 {
		return rate
	}
	first := j.counts[0]
	if span := now.Sub(first.at); span >= time.Second {
		rate = min(rate, float64(j.reached()-min(j.reached(), first.reached))/span.Seconds())
	}
	return rate
}

// grant returns the rollout with the grants that the budget allows, and whether gates need them now. Cold
// back ends get none before the canary ends: their answers tell nothing of times.
func (j *Judge) grant(now time.Time, held Rollout, view View) (Rollout, bool) {
	next := held
	next.Grants = slices.Clone(held.Grants)
	if now.Sub(j.begun) >= settleTime {
		next.endLives(view)
	}
	gates := j.grantees(now, view)
	if held.Share == canaryShare && now.Sub(time.UnixMilli(held.AtMillis)) < planFor(held.Duration).rampAt() {
		gates = slices.DeleteFunc(gates, func(l *life) bool { return l.report.Cold })
	}
	if len(gates) == 0 {
		return next, next.Spent != held.Spent
	}
	share := j.rate(now, held) * float64(held.Share) / Thousandths * grantTime.Seconds() / float64(len(gates))
	short, wanted := false, make([]uint64, len(gates))
	var sum uint64
	for i, l := range gates {
		need := needFor(max(share, l.perSecond*grantTime.Seconds()))
		upto := next.upto(l.report.Life)
		if target := l.report.Admitted + need; target > upto {
			wanted[i] = target - upto
			sum += wanted[i]
		}
		short = short || upto < l.report.Admitted+max(1, need/2)
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
	for i, l := range gates {
		more := wanted[i]
		if sum > free {
			more = more * free / sum
		}
		if more > 0 {
			granted = true
			next.raise(l.report.Life, more)
		}
	}
	return next, granted || next.Spent != held.Spent
}

// needFor is how many calls a gate needs that expects some number: as many, and what chance adds.
func needFor(expected float64) uint64 {
	return max(minGrant, uint64(expected+2*math.Sqrt(expected)))
}

// grantees are the lives of the new version that control hears, in order of life.
func (j *Judge) grantees(now time.Time, view View) []*life {
	var list []*life
	for _, g := range view.Gates {
		l := j.lives[g.Life]
		if l != nil && l.target && now.Sub(l.heard) <= LeaseTime {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *life) int { return cmp.Compare(a.report.Life, b.report.Life) })
	return list
}

// endLives counts what gates that are gone were granted as spent. While a gate of the new version is there
// that has not told its life, any of the lives may be its.
func (r *Rollout) endLives(view View) {
	unknown := func(g GateState) bool { return g.Version == r.Version && g.Life == 0 }
	if slices.ContainsFunc(view.Gates, unknown) {
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

func (r *Rollout) findGrant(life uint64) (int, bool) {
	return slices.BinarySearchFunc(r.Grants, life, func(g Grant, life uint64) int { return cmp.Compare(g.Life, life) })
}

func (r *Rollout) upto(life uint64) uint64 {
	if i, found := r.findGrant(life); found {
		return r.Grants[i].Upto
	}
	return 0
}

func (r *Rollout) raise(life, more uint64) {
	i, found := r.findGrant(life)
	if !found {
		r.Grants = slices.Insert(r.Grants, i, Grant{Life: life})
	}
	r.Grants[i].Upto += more
}
