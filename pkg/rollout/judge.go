package rollout

import (
	"time"
)

// Policy is how much of a service's calls a version that turns out bad may get.
type Policy struct {
	// ExposureShare is the part of the calls that reach the service from order to deadline, ExposureSlack
	// the number of calls beyond it.
	ExposureShare float64
	ExposureSlack uint64
}

// Holder is a node that may send calls of the service.
type Holder struct {
	Name string
	// Confirmed is set once the node has confirmed the held step's phase and share.
	Confirmed bool
	// Silent is how long control has not heard from it.
	Silent time.Duration
}

// GateState is what control knows of the gate of one back end of the service.
type GateState struct {
	Instance string
	Version  string
	Life     uint64
	// Confirmed is set once the gate's node has confirmed the held step's phase and share.
	Confirmed bool
	// AtWork is how many calls its back end works on, by what the gate told after it confirmed.
	AtWork int
	Silent time.Duration
}

// View is what the leader knows besides reports.
type View struct {
	Holders []Holder
	// Gates are those of all registered back ends of the service that do not leave; a life that is not
	// among them any more has ended.
	Gates []GateState
}

// Judge is held by control's leader while one rollout runs. A new leader starts a new one: reports count
// from the order on, so that it knows the same within a second. It is not safe for concurrent use.
type Judge struct {
	policy Policy
	number uint64
}

// NewJudge returns a judge for one rollout.
func NewJudge(policy Policy, held Rollout) *Judge {
	return &Judge{policy: policy, number: held.Number}
}

// Take keeps a gate's report if it is newer than the one held of the same life.
func (j *Judge) Take(now time.Time, report Report) {
}

// Next returns the step that follows the held state, false if it stays. It is to be called several times
// a second; the step acts once it is committed.
func (j *Judge) Next(now time.Time, held Rollout, view View) (Rollout, bool) {
	return held, false
}
