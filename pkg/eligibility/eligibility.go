// Package eligibility decides which back ends may take calls, regardless of their load.
//
// A node applies these rules when it chooses a back end, and the gate in front of the back end applies them
// again on admission. A node with old information, for instance after a restart or in a network partition,
// thus gets a rejection from the gate before the call is executed.
package eligibility

import (
	"slices"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/rollout"
)

// Backend holds the attributes of a back end that the rules depend on.
type Backend struct {
	Service string
	Zone    string
	// Version is the software version. If it is empty, RejectReasonOf ignores rollouts.
	Version string
}

// Rules combines the operators' orders with the zones' regions. It is immutable; a nil *Rules has no orders
// and no regions.
type Rules struct {
	orders *orders.Table
	// regions maps zones to regions.
	regions map[string]string
}

// New returns the rules for a table of orders. regions maps zones to regions; other zones belong to no region.
func New(table *orders.Table, regions map[string]string) *Rules {
	return &Rules{orders: table, regions: regions}
}

// Region returns the region of a zone, empty if unknown.
func (r *Rules) Region(zone string) string {
	if r == nil {
		return ""
	}
	return r.regions[zone]
}

// RejectReasonOf returns why a back end must not take new calls of any route, or an empty reason if it may. It
// doesn't cover back ends that are shutting down.
func (r *Rules) RejectReasonOf(b Backend) exchange.Reason {
	if r == nil {
		return ""
	}
	if r.orders.Evacuated(b.Zone) {
		return exchange.ReasonEvacuated
	}
	current, found := r.orders.RolloutOf(b.Service)
	if found && reverted(current) && b.Version == current.Version {
		return exchange.ReasonVersion
	}
	return ""
}

// reverted reports whether the new version of a rollout must not take calls any more.
func reverted(r rollout.Rollout) bool {
	return r.Phase == rollout.Reverting || r.Phase == rollout.RolledBack
}

// Closes reports whether a rollout closes the gate of a back end of the old version. All calls then go to the
// new version, but a rollback is still possible.
func (r *Rules) Closes(b Backend) bool {
	if r == nil {
		return false
	}
	current, found := r.orders.RolloutOf(b.Service)
	return found && current.Phase == rollout.Closing && b.Version != current.Version
}

// InRegions reports whether a zone is in one of the allowed regions of a route or tenant. An empty list allows
// all zones.
func (r *Rules) InRegions(zone string, allowed []string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, r.Region(zone))
}
