package distribution

import (
	"slices"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/quarantine"
)

const (
	// maxRecent is the maximum number of replaced bundles kept as bases of deltas.
	maxRecent = 8
	// maxTombstones is the maximum number of removed endpoints kept. When it is exceeded, the
	// older half is dropped and the horizon advances.
	maxTombstones = 8192
)

// State is the distributed state of one scope at one revision. It is immutable.
type State struct {
	// Revision is the number of changes that led to this state.
	Revision uint64 `json:"revision"`
	// Active is the active bundle. Staged is an approved bundle that may be activated next.
	Active *bundle.Signed `json:"active,omitempty"`
	Staged *bundle.Signed `json:"staged,omitempty"`
	// Recent are replaced bundles, newest last. Only states of bundle.ScopeAll have them.
	Recent    []*bundle.Signed `json:"recent,omitempty"`
	Endpoints EndpointTable    `json:"endpoints,omitempty"`
	// Horizon is the revision up to which tombstones may have been dropped.
	Horizon uint64 `json:"horizon,omitempty"`
	// Suspects are requests that may have crashed back ends; only replicas have them. Watchlist is
	// the part of them that holders need.
	Suspects  *quarantine.Table     `json:"suspects,omitempty"`
	Watchlist *quarantine.Watchlist `json:"watchlist,omitempty"`
	// Orders are the operators' orders: evacuations and rollouts.
	Orders *orders.Table `json:"orders,omitempty"`
}

// Position identifies the state that a holder has.
type Position struct {
	Revision uint64
	// Active and Staged are the numbers of the held versions, zero for none.
	Active uint64
	Staged uint64
}

// Position returns the revision and the versions of the state.
func (s *State) Position() Position {
	return Position{Revision: s.Revision, Active: versionOf(s.Active), Staged: versionOf(s.Staged)}
}

// Stage returns the state after a bundle was approved. It is distributed ahead of its activation.
func (s *State) Stage(signed *bundle.Signed) *State {
	next := *s
	next.Revision++
	if next.Staged != nil {
		next.Recent = appendRecent(next.Recent, next.Staged)
	}
	next.Staged = signed
	return &next
}

// Activate returns the state with a bundle as the active one. A staged bundle of the same or an earlier
// version is dropped.
func (s *State) Activate(signed *bundle.Signed) *State {
	next := *s
	next.Revision++
	if next.Active != nil {
		next.Recent = appendRecent(next.Recent, next.Active)
	}
	next.Active = signed
	if versionOf(next.Staged) <= signed.Manifest.Version {
		next.Staged = nil
	}
	return &next
}

// ChangeEndpoints returns the state after changes of endpoints. It ignores changes that do not
// supersede the current endpoint, and returns the state itself if none is left.
func (s *State) ChangeEndpoints(changes []Endpoint) *State {
	var effective []Endpoint
	for _, change := range changes {
		current, found := s.Endpoints[change.Service][change.ID]
		if found && !change.Supersedes(current) {
			continue
		}
		if !found && change.State == Removed {
			continue
		}
		change.Modified = s.Revision + 1
		effective = append(effective, change)
	}
	if len(effective) == 0 {
		return s
	}
	next := *s
	next.Revision++
	next.Endpoints = s.Endpoints.withChanges(effective, true)
	next.pruneTombstones()
	return &next
}

// ChangeSuspects returns the state after evidence about requests that crash back ends, or verdicts
// on them. It returns the state itself if the change has no effect.
func (s *State) ChangeSuspects(change quarantine.Change) *State {
	suspects := s.Suspects.With(change)
	if suspects == s.Suspects {
		return s
	}
	next := *s
	next.Revision++
	next.Suspects = suspects
	if list := suspects.Watchlist(next.Revision); !list.Same(s.Watchlist) {
		next.Watchlist = list
	}
	return &next
}

// ChangeOrders returns the state after a change of the orders. It returns the state itself if the change
// has no effect.
func (s *State) ChangeOrders(change orders.Change) *State {
	changed := s.Orders.With(change, s.Revision+1)
	if changed == s.Orders {
		return s
	}
	next := *s
	next.Revision++
	next.Orders = changed
	return &next
}

// pruneTombstones drops the older half of the tombstones if there are more than maxTombstones.
func (s *State) pruneTombstones() {
	var revisions []uint64
	for _, byID := range s.Endpoints {
		for _, endpoint := range byID {
			if endpoint.State == Removed {
				revisions = append(revisions, endpoint.Modified)
			}
		}
	}
	if len(revisions) <= maxTombstones {
		return
	}
	slices.Sort(revisions)
	s.dropTombstonesTo(revisions[len(revisions)/2])
}

// dropTombstonesTo drops the tombstones last modified at or before the horizon, in place.
func (s *State) dropTombstonesTo(horizon uint64) {
	table := make(EndpointTable, len(s.Endpoints))
	for service, byID := range s.Endpoints {
		kept := make(map[string]Endpoint, len(byID))
		for id, endpoint := range byID {
			if endpoint.State != Removed || endpoint.Modified > horizon {
				kept[id] = endpoint
			}
		}
		table[service] = kept
	}
	s.Endpoints = table
	s.Horizon = horizon
}

// bundleOf returns the bundle of a version, nil if the state does not have it.
func (s *State) bundleOf(version uint64) *bundle.Signed {
	for _, signed := range []*bundle.Signed{s.Active, s.Staged} {
		if signed != nil && signed.Manifest.Version == version {
			return signed
		}
	}
	for _, signed := range s.Recent {
		if signed.Manifest.Version == version {
			return signed
		}
	}
	return nil
}

// appendRecent returns the recent bundles with the given one appended, unless they contain it. It drops
// the oldest ones above maxRecent.
func appendRecent(recent []*bundle.Signed, signed *bundle.Signed) []*bundle.Signed {
	for _, held := range recent {
		if held.Manifest.Version == signed.Manifest.Version {
			return recent
		}
	}
	if len(recent) >= maxRecent {
		recent = recent[len(recent)-maxRecent+1:]
	}
	return append(slices.Clone(recent), signed)
}

func versionOf(signed *bundle.Signed) uint64 {
	if signed == nil {
		return 0
	}
	return signed.Manifest.Version
}

// neededServices returns the names of the services in the contents. Contents may be nil.
func neededServices(contents ...*bundle.Content) map[string]bool {
	needed := map[string]bool{}
	for _, content := range contents {
		if content == nil {
			continue
		}
		for _, service := range content.Services {
			needed[service.Name] = true
		}
	}
	return needed
}
