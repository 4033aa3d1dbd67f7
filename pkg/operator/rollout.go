package operator

import (
	"time"

	"bramblelift/pkg/rollout"
)

// PathRollouts lists rollouts and takes orders; a service's name follows it for one of them, and then
// RolloutStop or RolloutHistory.
const (
	PathRollouts   = "/v1/rollouts"
	RolloutStop    = "/stop"
	RolloutHistory = "/history"
)

// RolloutRequest orders a rollout. Sent again unchanged it changes nothing.
type RolloutRequest struct {
	Service  string        `json:"service"`
	Version  string        `json:"version"`
	Duration time.Duration `json:"duration"`
}

// Rollout is a service's newest rollout.
type Rollout struct {
	rollout.Rollout
	// State is the phase's name, Granted the calls that the new version's gates were allowed to let in so
	// far.
	State   string `json:"state"`
	Granted uint64 `json:"granted"`
	// Seen is what the leader goes by, or went by last, nil if it does not know.
	Seen *RolloutSeen `json:"seen,omitempty"`
}

// RolloutList answers a call for all rollouts.
type RolloutList struct {
	Rollouts []Rollout `json:"rollouts"`
}

// RolloutSide is what the gates of one side of a rollout have told since the order.
type RolloutSide struct {
	Admitted uint64 `json:"admitted,omitempty"`
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	// Median is that of how long answers took, up to the width of the buckets that gates count in.
	Median time.Duration `json:"median"`
}

// RolloutRoute is one route's part in it.
type RolloutRoute struct {
	Route string      `json:"route"`
	New   RolloutSide `json:"new"`
	Old   RolloutSide `json:"old"`
}

// RolloutSeen is what the leader goes by.
type RolloutSeen struct {
	New    RolloutSide    `json:"new"`
	Old    RolloutSide    `json:"old"`
	Routes []RolloutRoute `json:"routes"`
	// Nodes are those that were heard of, confirmed if they go by the held step; Gates are those of all
	// registered back ends of the service.
	Nodes          int `json:"nodes"`
	NodesConfirmed int `json:"nodes_confirmed"`
	Gates          int `json:"gates"`
	GatesConfirmed int `json:"gates_confirmed"`
	// Open are the old back ends that are waited for before the rollout is complete, with the calls that
	// they still work on.
	Open map[string]int `json:"open,omitempty"`
}

// RolloutSteps answers a call for the steps of a service's rollouts, the newest last, as far as the replica
// has seen them since its start.
type RolloutSteps struct {
	Steps []Rollout `json:"steps"`
}

// DescribeRollout returns a rollout for people. seen is nil if nothing is known of it.
func DescribeRollout(r rollout.Rollout, seen *RolloutSeen) Rollout {
	return Rollout{Rollout: r, State: r.Phase.String(), Granted: r.Exposed(), Seen: seen}
}
