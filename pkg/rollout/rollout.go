// Package rollout decides how a service's calls move to back ends of a new version: few at first, more
// as the evidence allows, and none once the version turns out bad.
//
// It does no I/O and reads no clock. Control's leader judges and commits each step; gates of the new
// version's back ends let in no more calls than control has granted them, so that what a bad version
// got is bounded whatever fails.
package rollout

import (
	"slices"
	"time"
)

// Phase is how far a rollout has come.
type Phase uint8

const (
	// Running rollouts move calls to the new version by steps.
	Running Phase = iota + 1
	// Completed rollouts have ended well: only the new version gets calls.
	Completed
	// RolledBack rollouts have ended: the new version gets none.
	RolledBack
)

// String returns the lower-case name of the phase.
func (p Phase) String() string {
	switch p {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled-back"
	default:
		return "unknown"
	}
}

// Thousandths are the parts that a Share counts.
const Thousandths = 1000

// Grant is what the gate of one back end of the new version may let in.
type Grant struct {
	// Life identifies one run of the gate's process with one back end beside it: a gate that was
	// started again does not know what it has let in, and gets a new grant.
	Life uint64 `json:"life"`
	// From is the rollout's Quota when the gate was first granted anything.
	From uint64 `json:"from"`
}

// Rollout is one order and how far it has come.
type Rollout struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Number tells this order from earlier ones of the service.
	Number   uint64        `json:"number"`
	Duration time.Duration `json:"duration"`
	// AtMillis is the leader's wall clock at the order, in Unix milliseconds.
	AtMillis int64 `json:"at_millis"`
	Phase    Phase `json:"phase"`
	// Share is how many thousandths of the service's calls nodes should give to the new version.
	Share int `json:"share"`
	// Quota counts the calls that a gate which was there from the start may have let in so far; one
	// that came later may let in as many less as the quota was then.
	Quota  uint64  `json:"quota"`
	Grants []Grant `json:"grants,omitempty"`
	// Spent is what gates that have no grant any more were allowed to let in.
	Spent uint64 `json:"spent"`
	// Reason says why the rollout is where it is, for people.
	Reason string `json:"reason,omitempty"`
}

// Change is a step of a rollout: it replaces what is held of the service.
type Change struct {
	Rollout Rollout `json:"rollout"`
}

// Apply returns a list of rollouts, sorted by service, after a change, and whether it differs.
func Apply(list []Rollout, change Change) ([]Rollout, bool) {
	next := change.Rollout
	for i, held := range list {
		if held.Service != next.Service {
			continue
		}
		if next.Number < held.Number {
			return list, false
		}
		list = slices.Clone(list)
		list[i] = next
		return list, true
	}
	list = append(slices.Clone(list), next)
	slices.SortFunc(list, func(a, b Rollout) int { return cmpText(a.Service, b.Service) })
	return list, true
}

func cmpText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
