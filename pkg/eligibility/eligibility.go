// Package eligibility says which back ends may take a call at all, whatever their load.
//
// The node that has a call asks before it chooses a back end, and the gate beside the back end asks the
// same functions once more, last: a node that is late, was restarted or is cut off from the control plane
// is corrected there, by a refusal that is true, since the call has not run.
package eligibility

import (
	"slices"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/rollout"
)

// Backend is what the rules must know of a back end.
type Backend struct {
	Service string
	Zone    string
	// Version is that of the back end's software, empty if unknown: rollouts are not asked about then.
	Version string
}

// Rules say, by the held orders and the deployment's map of regions, which back ends may take calls. They
// are immutable; nil has no rule.
type Rules struct {
	orders *orders.Table
	// regions holds the region of each zone.
	regions map[string]string
}

// New returns the rules of the held orders. regions holds the region of each zone; a zone that is not in
// it is in no region.
func New(table *orders.Table, regions map[string]string) *Rules {
	return &Rules{orders: table, regions: regions}
}

// Region returns the region of a zone, empty if it is not known.
func (r *Rules) Region(zone string) string {
	if r == nil {
		return ""
	}
	return r.regions[zone]
}

// Refuses returns why a back end may get nothing new for the time being, of any route; empty if it may.
// One that leaves never comes back and is no matter of orders.
func (r *Rules) Refuses(b Backend) exchange.Reason {
	if r == nil {
		return ""
	}
	if r.orders.Evacuated(b.Zone) {
		return exchange.ReasonEvacuated
	}
	held, found := r.orders.RolloutOf(b.Service)
	if found && takenBack(held) && b.Version == held.Version {
		return exchange.ReasonVersion
	}
	return ""
}

// takenBack reports whether the version that a rollout brought gets nothing more.
func takenBack(r rollout.Rollout) bool {
	return r.Phase == rollout.Reverting || r.Phase == rollout.RolledBack
}

// Closes reports whether a rollout closes the back end's gate: the new version takes all calls by now, while
// the old one stays the way back.
func (r *Rules) Closes(b Backend) bool {
	if r == nil {
		return false
	}
	held, found := r.orders.RolloutOf(b.Service)
	return found && held.Phase == rollout.Closing && b.Version != held.Version
}

// InRegions reports whether a back end of a zone may take calls that only some regions may serve. None
// named means all.
func (r *Rules) InRegions(zone string, allowed []string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, r.Region(zone))
}
