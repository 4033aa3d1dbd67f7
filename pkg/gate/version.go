package gate

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/rollout"
)

// neverConfirmed is the confirmation age of a state that was never confirmed.
const neverConfirmed = time.Duration(math.MaxInt64)

// rolloutState is the gate's view of a rollout of its back end's service: the new version gets only
// granted calls, and the old one none after the rollout has switched to the new one. The gate's
// mutex guards it.
type rolloutState struct {
	// rollouts are the rollouts in the node's state.
	rollouts []rollout.Rollout
	// runID is a random ID drawn for each back end. Grants apply to one ID, since the gate
	// does not know earlier admissions.
	runID uint64
	// current is the newest rollout of the back end's service; known is false if there is none.
	current rollout.Rollout
	known   bool
	// unaffected is set if the rollout had completed when the gate learned of it and brought
	// another version than that of the back end.
	unaffected bool
	tally      *rollout.Tally
}

// SetRollouts sets the rollouts in the node's state.
func (g *Gate) SetRollouts(list []rollout.Rollout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollout.rollouts = list
	g.applyRollout()
}

// resetRollout discards the rollout state of the previous back end and draws a new runID.
// g.mu must be held.
func (g *Gate) resetRollout() {
	g.rollout = rolloutState{rollouts: g.rollout.rollouts, runID: rand.Uint64()}
	g.applyRollout()
}

// applyRollout applies the newest rollout of the back end's service. g.mu must be held.
func (g *Gate) applyRollout() {
	s := &g.rollout
	i := slices.IndexFunc(s.rollouts, func(r rollout.Rollout) bool { return r.Service == g.backend.Service })
	if i < 0 || !g.present {
		s.known = false
		g.rolloutActive.Store(false)
		return
	}
	next := s.rollouts[i]
	if !s.known || next.Number != s.current.Number {
		s.tally = &rollout.Tally{}
		s.unaffected = next.Phase == rollout.Completed && g.backend.Version != next.Version
	}
	s.current, s.known = next, true
	g.rolloutActive.Store(!next.Phase.Ended())
	if reason := g.versionRejectReason(g.config.Now()); reason != "" {
		g.dropWaiting(reason)
	}
}

// versionRejectReason returns why the back end's version currently gets no calls, empty if it does.
// g.mu must be held.
func (g *Gate) versionRejectReason(now time.Duration) exchange.Reason {
	s := &g.rollout
	if !s.known || s.unaffected {
		return ""
	}
	state := rollout.Gate{Version: g.backend.Version, Life: s.runID, Admitted: s.tally.Admitted(), SinceConfirmed: g.confirmationAge(now), Cold: g.cold.remaining(now) > 0}
	if state.Admits(s.current) {
		return ""
	}
	return exchange.ReasonVersion
}

// confirmationAge returns how long ago the node's state was last confirmed.
func (g *Gate) confirmationAge(now time.Duration) time.Duration {
	if g.config.ConfirmedAt == nil {
		return neverConfirmed
	}
	at, confirmed := g.config.ConfirmedAt()
	if !confirmed {
		return neverConfirmed
	}
	return now - at
}

// tallyEntry records where a call counts in a rollout; tally is nil if it does not.
type tallyEntry struct {
	tally *rollout.Tally
	route string
	// cold is set if the back end was cold at admission.
	cold bool
}

// takeCountedSlot is takeSlot for a call that may be a retry, or count in a rollout. g.mu must be
// held.
func (g *Gate) takeCountedSlot(now, work time.Duration, hint versionHint) admission {
	adm := g.takeSlot(now, work)
	adm.tallyEntry = g.countAdmitted(now, hint)
	adm.retry = hint.retry
	if hint.retry {
		g.retries++
	}
	return adm
}

// countAdmitted counts an admitted call in the rollout. g.mu must be held.
func (g *Gate) countAdmitted(now time.Duration, hint versionHint) tallyEntry {
	s := &g.rollout
	if !s.known || s.current.Phase.Ended() {
		return tallyEntry{}
	}
	s.tally.Admit(hint.retry)
	return tallyEntry{tally: s.tally, route: hint.route, cold: g.cold.remaining(now) > 0}
}

// finish counts the outcome of a call that was admitted during a rollout. The gate's mutex must be
// held.
func (e tallyEntry) finish(result callResult, cold bool) {
	if e.tally == nil {
		return
	}
	outcome := rollout.Cancelled
	switch {
	case result.failed:
		outcome = rollout.Failed
	case result.serviceTime > 0:
		outcome = rollout.Answered
	}
	e.tally.RecordOutcome(e.route, outcome, result.serviceTime, e.cold || cold)
}

// versionHint is the rollout state that a call's headers pass on from the sending node.
type versionHint struct {
	// target is the new version of the rollout, on calls that are meant for it.
	target string
	route  string
	// retry is set if another back end received the call before.
	retry bool
}

// unknownRollout reports whether a call is meant for a rollout that the gate does not know yet, as
// after its start. It cannot count such calls and must not admit them. g.mu must be held.
func (g *Gate) unknownRollout(hint versionHint) bool {
	return hint.target != "" && hint.target == g.backend.Version && !g.rollout.known
}

// RolloutReport describes the gate during a rollout of its back end's service.
type RolloutReport struct {
	rollout.Report
	// AtWork is the number of calls in flight at the back end.
	AtWork int
	// Reopened is set while the gate admits calls to an old version that the rollout closes,
	// because the node's state was not confirmed recently.
	Reopened bool
}

// RolloutReport returns the gate's counts in the current rollout of its back end's service, false
// if none is running.
func (g *Gate) RolloutReport() (RolloutReport, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.rollout
	if !g.present || !s.known || s.current.Phase.Ended() {
		return RolloutReport{}, false
	}
	now := g.config.Now()
	report := RolloutReport{AtWork: g.running, Report: rollout.Report{
		Service: g.backend.Service, Number: s.current.Number, Version: g.backend.Version, Instance: g.backend.ID, Life: s.runID,
		Zone: g.backend.Zone,
		Cold: g.cold.remaining(now) > 0,
	}}
	closes := s.current.Phase == rollout.Closing && g.backend.Version != s.current.Version
	report.Reopened = closes && g.versionRejectReason(now) == ""
	s.tally.Fill(&report.Report)
	return report, true
}
