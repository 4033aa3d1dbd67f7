package operator

import (
	"time"

	"bramblelift/pkg/rollout"
)

// PathRollouts lists rollouts and accepts orders. For one rollout it is followed by the name of the service
// and then RolloutStop or RolloutHistory.
const (
	PathRollouts   = "/v1/rollouts"
	RolloutStop    = "/stop"
	RolloutHistory = "/history"
)

// RolloutRequest orders a rollout. It is idempotent.
type RolloutRequest struct {
	Service  string        `json:"service"`
	Version  string        `json:"version"`
	Duration time.Duration `json:"duration"`
}

// Rollout describes a rollout of a service at one step.
type Rollout struct {
	rollout.Rollout
	// State is the name of the phase, Granted the number of calls that gates of the new version were
	// allowed to admit so far.
	State   string `json:"state"`
	Granted uint64 `json:"granted"`
	// Seen is the leader's latest observation, nil if there is none.
	Seen *RolloutSeen `json:"seen,omitempty"`
}

// RolloutList is the response to a request for all rollouts.
type RolloutList struct {
	Rollouts []Rollout `json:"rollouts"`
}

// RolloutSide sums the reports of the gates of the old or the new version since the order.
type RolloutSide struct {
	Admitted uint64 `json:"admitted,omitempty"`
	// Answered counts successful responses. Failed counts error responses of the back ends and calls without a
	// response within their timeout. Calls that the caller abandoned count as neither.
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	// Median is the median response time, rounded up to a bucket boundary of the gates' histograms.
	Median time.Duration `json:"median"`
}

// RolloutRoute describes one route's calls during a rollout.
type RolloutRoute struct {
	Route string      `json:"route"`
	New   RolloutSide `json:"new"`
	Old   RolloutSide `json:"old"`
}

// RolloutSeen is the leader's observation of a rollout.
type RolloutSeen struct {
	New    RolloutSide    `json:"new"`
	Old    RolloutSide    `json:"old"`
	Routes []RolloutRoute `json:"routes"`
	// Nodes counts the nodes that reported, Gates the gates of the live back ends, NodesConfirmed and
	// GatesConfirmed those that have applied the current step.
	Nodes          int `json:"nodes"`
	NodesConfirmed int `json:"nodes_confirmed"`
	Gates          int `json:"gates"`
	GatesConfirmed int `json:"gates_confirmed"`
	// Open holds the calls in flight of each old back end that the rollout waits for before it completes.
	Open map[string]int `json:"open,omitempty"`
}

// RolloutSteps is the response to a request for the steps of a service's rollouts, the newest last, since
// the start of the replica.
type RolloutSteps struct {
	Steps []Rollout `json:"steps"`
}

// DescribeRollout returns the response for a rollout. seen is nil if there is no observation.
func DescribeRollout(r rollout.Rollout, seen *RolloutSeen) Rollout {
	return Rollout{Rollout: r, State: r.Phase.String(), Granted: r.Exposed(), Seen: seen}
}
