// Package rollout decides how a service's calls move to back ends of a new version: few at first, more
// as the evidence allows, and none once the version turns out bad.
//
// It does no I/O and reads no clock. Control's leader judges (Judge) and commits each step to the log
// before it acts; gates of the new version's back ends let in no more calls than the committed state
// grants them, so that what a bad version got is bounded whatever fails.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Phase is how far a rollout has come.
type Phase uint8

const (
	// Running rollouts move calls to the new version by steps.
	Running Phase = iota + 1
	// Closing rollouts have shown the new version good: it takes all calls, and gates of all other
	// versions let in nothing more. Their back ends still run, so that the way back stays open.
	Closing
	// Completed rollouts have ended well: the old back ends may stop.
	Completed
	// Reverting rollouts have ended badly, but not every gate of the new version is known to have heard.
	Reverting
	// RolledBack rollouts have ended: the new version gets nothing.
	RolledBack
)

// String returns the lower-case name of the phase.
func (p Phase) String() string {
	switch p {
	case Running:
		return "running"
	case Closing:
		return "closing"
	case Completed:
		return "completed"
	case Reverting:
		return "reverting"
	case RolledBack:
		return "rolled-back"
	default:
		return "unknown"
	}
}

// Ended reports whether nothing will change any more.
func (p Phase) Ended() bool {
	return p == Completed || p == RolledBack
}

// Thousandths are the parts that a Share counts.
const Thousandths = 1000

// Grant is what the gate of one back end of the new version may let in.
type Grant struct {
	// Life identifies one run of the gate's process with one back end beside it: a gate that was
	// started again does not know what it has let in, and gets a new grant.
	Life uint64 `json:"life"`
	// Upto is how many calls the gate may have let in since the order. It never shrinks.
	Upto uint64 `json:"upto"`
}

// Rollout is one order and how far it has come.
type Rollout struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Number tells this order from earlier ones of the service.
	Number uint64 `json:"number"`
	// Step counts the changes since the order: a change that does not follow the held step is void.
	Step     uint64        `json:"step"`
	Duration time.Duration `json:"duration"`
	// AtMillis is the leader's wall clock at the order, ShareAtMillis when phase or share changed
	// last, both in Unix milliseconds.
	AtMillis      int64 `json:"at_millis"`
	ShareAtMillis int64 `json:"share_at_millis"`
	Phase         Phase `json:"phase"`
	// Share is how many thousandths of the service's calls nodes should give to the new version.
	Share int `json:"share"`
	// Grants are sorted by life.
	Grants []Grant `json:"grants,omitempty"`
	// Spent is what gates that have no grant any more were allowed to let in.
	Spent uint64 `json:"spent"`
	// Reached is how many calls were known to have reached the service since the order, at this step: gates
	// that start anew forget theirs.
	Reached uint64 `json:"reached"`
	// Reason says why the rollout is where it is, for people.
	Reason string `json:"reason,omitempty"`
}

// Change is a step of a rollout: it replaces what is held of the service.
type Change struct {
	Rollout Rollout `json:"rollout"`
}

// Exposed is how many calls the new version's gates were allowed to let in at most.
func (r Rollout) Exposed() uint64 {
	sum := r.Spent
	for _, g := range r.Grants {
		sum += g.Upto
	}
	return sum
}

// Deadline is when the rollout should have ended.
func (r Rollout) Deadline() time.Time {
	return time.UnixMilli(r.AtMillis).Add(r.Duration)
}

// Apply returns a list of rollouts, sorted by service, after a change, and whether it differs. A change
// by a leader that did not know the newest state is void.
func Apply(list []Rollout, change Change) ([]Rollout, bool) {
	next := change.Rollout
	i, found := slices.BinarySearchFunc(list, next.Service, func(r Rollout, service string) int { return cmp.Compare(r.Service, service) })
	if !found {
		return slices.Insert(slices.Clone(list), i, next), true
	}
	if !follows(list[i], next) {
		return list, false
	}
	list = slices.Clone(list)
	list[i] = next
	return list, true
}

// follows reports whether next may replace held.
func follows(held, next Rollout) bool {
	if next.Number != held.Number {
		return next.Number == held.Number+1 && next.Step == 0 && held.Phase.Ended()
	}
	if next.Step != held.Step+1 || held.Phase.Ended() {
		return false
	}
	if held.Phase == Reverting && next.Phase != RolledBack {
		return false
	}
	return next.Exposed() >= held.Exposed()
}
