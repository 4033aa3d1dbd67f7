// Package rollout decides how fast a service's calls move to back ends of a new version, and rolls the
// version back if it fails more often or responds more slowly than the old one.
//
// It does no I/O and reads no clock. The leader's Judge decides each step, which takes effect once it is
// committed to the log. Gates of the new version admit no more calls than the committed state grants, so
// that the exposure to a bad version is bounded under all failures.
package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Phase is the state of a rollout.
type Phase uint8

const (
	// Running rollouts move calls to the new version in stages.
	Running Phase = iota + 1
	// Closing rollouts send all calls to the new version, and gates of other versions admit none unless
	// their lease has expired. The old back ends still run, so that a rollback remains possible.
	Closing
	// Completed rollouts have succeeded: the old back ends may stop.
	Completed
	// Reverting rollouts have failed, but some gates of the new version may not have received that yet.
	Reverting
	// RolledBack rollouts have failed: the new version gets no calls.
	RolledBack
)

// String returns the phase in lower case, as operators see it.
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

// Ended reports whether the phase is final.
func (p Phase) Ended() bool {
	return p == Completed || p == RolledBack
}

// FullShare is the Share of a version that gets all calls.
const FullShare = 1000

// Grant bounds the calls that the gate of one back end of the new version may admit.
type Grant struct {
	// Life identifies one run of the gate's process with one back end. A restarted gate does not know how
	// many calls it admitted, and gets a new grant.
	Life uint64 `json:"life"`
	// Upto is the total number of calls that the gate may admit since the order. It never decreases.
	Upto uint64 `json:"upto"`
}

// Rollout is the replicated state of one order.
type Rollout struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Number is the order number: it counts the service's orders from 1.
	Number uint64 `json:"number"`
	// Step counts the changes since the order. A change is ignored unless it is the successor of the held
	// step.
	Step     uint64        `json:"step"`
	Duration time.Duration `json:"duration"`
	// AtMillis is the leader's wall clock at the order, ShareAtMillis at the last change of phase or
	// share, both in Unix milliseconds.
	AtMillis      int64 `json:"at_millis"`
	ShareAtMillis int64 `json:"share_at_millis"`
	Phase         Phase `json:"phase"`
	// Share is the exposure: the thousandths of the service's calls that nodes send to the new version.
	Share int `json:"share"`
	// Grants are sorted by Life.
	Grants []Grant `json:"grants,omitempty"`
	// Spent is the sum of the grants of gates that no longer exist.
	Spent uint64 `json:"spent"`
	// Reached is how many calls were known to have reached the service since the order at this step. It
	// preserves counts that restarted gates lose.
	Reached uint64 `json:"reached"`
	// Reason says for operators why the rollout is in its state.
	Reason string `json:"reason,omitempty"`
}

// Change is a step of a rollout that replaces the held state of its service.
type Change struct {
	Rollout Rollout `json:"rollout"`
}

// Exposed returns the sum of all grants: the largest number of calls that the new version's gates may
// have admitted while Running.
func (r Rollout) Exposed() uint64 {
	sum := r.Spent
	for _, g := range r.Grants {
		sum += g.Upto
	}
	return sum
}

// Deadline returns the time by which the rollout must end.
func (r Rollout) Deadline() time.Time {
	return time.UnixMilli(r.AtMillis).Add(r.Duration)
}

// Apply returns the list of rollouts, sorted by service, after a change, and whether it differs. A change
// based on an outdated state is ignored.
func Apply(list []Rollout, change Change) ([]Rollout, bool) {
	next := change.Rollout
	i, found := slices.BinarySearchFunc(list, next.Service, func(r Rollout, service string) int { return cmp.Compare(r.Service, service) })
	if !found {
		return slices.Insert(slices.Clone(list), i, next), true
	}
	if !mayReplace(list[i], next) {
		return list, false
	}
	list = slices.Clone(list)
	list[i] = next
	return list, true
}

// mayReplace reports whether next is a valid successor of held.
func mayReplace(held, next Rollout) bool {
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
