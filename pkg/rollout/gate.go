package rollout

import (
	"math"
	"slices"
	"time"
)

// LeaseTime is the length of a gate's lease: how long it acts on its copy of the rollout after the control
// plane last confirmed it. It covers several lost confirmations and is short enough for a rollback within
// seconds.
const LeaseTime = 2 * time.Second

// Unlimited is the Allowance of a gate whose calls are not bounded.
const Unlimited = math.MaxUint64

// Allowance returns how many calls the gate of a back end of the new version may have admitted in total
// since the order.
func Allowance(r Rollout, life uint64) uint64 {
	switch r.Phase {
	case Closing, Completed:
		return Unlimited
	case Running:
		if i := slices.IndexFunc(r.Grants, func(g Grant) bool { return g.Life == life }); i >= 0 {
			return r.Grants[i].Upto
		}
	}
	return 0
}

// Gate is the state that decides whether a back end's gate admits one more call.
type Gate struct {
	// Version is the version of the back end, Life the gate's process run.
	Version string
	Life    uint64
	// Admitted is how many calls the gate has admitted since it received the order.
	Admitted uint64
	// SinceConfirmed is the time since the control plane last confirmed the node's copy of the rollout.
	SinceConfirmed time.Duration
	Cold           bool
}

// Admits reports whether the gate admits one more call during a rollout. A gate of the new version needs a
// grant while Running and a valid lease, confirmed within LeaseTime, until Completed; it rejects canary
// calls while its back end is cold. While Closing, a gate of another version admits calls only if its
// lease has expired, because gates of the new version without a lease reject everything.
func (g Gate) Admits(r Rollout) bool {
	valid := g.SinceConfirmed <= LeaseTime
	if g.Version == r.Version {
		canary := r.Phase == Running && r.Share == canaryShare
		ended := r.Phase == Completed
		return ended || valid && !(canary && g.Cold) && g.Admitted < Allowance(r, g.Life)
	}
	switch r.Phase {
	case Closing:
		return !valid
	case Completed:
		return false
	}
	return true
}
