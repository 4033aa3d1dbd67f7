package distribution

import (
	"slices"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/quarantine"
)

// Bounds on history.
const (
	// maxRecent is how many bundles are kept as bases of deltas.
	maxRecent = 8
	// maxTombstones is how many removed endpoints are remembered before the oldest
	// half is forgotten and the horizon moves.
	maxTombstones = 8192
)

// State is what is distributed, in one scope, at one revision. It is immutable.
type State struct {
	// Revision counts the changes so far.
	Revision uint64 `json:"revision"`
	// Active is the bundle in force, Staged an approved one that may follow it.
	Active *bundle.Signed `json:"active,omitempty"`
	Staged *bundle.Signed `json:"staged,omitempty"`
	// Recent are earlier bundles, newest last; only for ScopeAll.
	Recent    []*bundle.Signed `json:"recent,omitempty"`
	Endpoints EndpointTable    `json:"endpoints,omitempty"`
	// Horizon is the revision up to which tombstones may have been forgotten.
	Horizon uint64 `json:"horizon,omitempty"`
	// Suspects are requests under which back ends ended; only replicas have them. Watchlist is what
	// all holders know of them.
	Suspects  *quarantine.Table     `json:"suspects,omitempty"`
	Watchlist *quarantine.Watchlist `json:"watchlist,omitempty"`
	// Orders are what operators ordered besides configuration.
	Orders *orders.Table `json:"orders,omitempty"`
}

// Position says how far a holder is.
type Position struct {
	Revision uint64
	// Active and Staged are the versions held, zero for none.
	Active uint64
	Staged uint64
}

// Position returns how far the state is.
func (s *State) Position() Position {
	return Position{Revision: s.Revision, Active: versionOf(s.Active), Staged: versionOf(s.Staged)}
}

// Stage returns the state after a bundle was approved: holders may fetch it ahead.
func (s *State) Stage(signed *bundle.Signed) *State {
	next := *s
	next.Revision++
	if next.Staged != nil {
		next.Recent = remember(next.Recent, next.Staged)
	}
	next.Staged = signed
	return &next
}

// Activate returns the state after a bundle went into force.
func (s *State) Activate(signed *bundle.Signed) *State {
	next := *s
	next.Revision++
	if next.Active != nil {
		next.Recent = remember(next.Recent, next.Active)
	}
	next.Active = signed
	if versionOf(next.Staged) <= signed.Manifest.Version {
		next.Staged = nil
	}
	return &next
}

// ChangeEndpoints returns the state after the platform's list changed. Changes that
// are no news are dropped; if none is left the state itself is returned.
func (s *State) ChangeEndpoints(changes []Endpoint) *State {
	var news []Endpoint
	for _, change := range changes {
		held, found := s.Endpoints[change.Service][change.ID]
		if found && !change.Supersedes(held) {
			continue
		}
		if !found && change.State == Removed {
			continue
		}
		change.Modified = s.Revision + 1
		news = append(news, change)
	}
	if len(news) == 0 {
		return s
	}
	next := *s
	next.Revision++
	next.Endpoints = s.Endpoints.with(news, true)
	next.forgetTombstones()
	return &next
}

// ChangeSuspects returns the state after evidence of requests that end back ends, or verdicts on
// them; the state itself if they are no news.
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

// ChangeOrders returns the state after a change of the orders; the state itself if it is no news.
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

// forgetTombstones drops the older half of the tombstones once there are too many.
func (s *State) forgetTombstones() {
	var stamps []uint64
	for _, held := range s.Endpoints {
		for _, endpoint := range held {
			if endpoint.State == Removed {
				stamps = append(stamps, endpoint.Modified)
			}
		}
	}
	if len(stamps) <= maxTombstones {
		return
	}
	slices.Sort(stamps)
	s.dropTombstonesTo(stamps[len(stamps)/2])
}

func (s *State) dropTombstonesTo(horizon uint64) {
	table := make(EndpointTable, len(s.Endpoints))
	for service, held := range s.Endpoints {
		kept := make(map[string]Endpoint, len(held))
		for id, endpoint := range held {
			if endpoint.State != Removed || endpoint.Modified > horizon {
				kept[id] = endpoint
			}
		}
		table[service] = kept
	}
	s.Endpoints = table
	s.Horizon = horizon
}

// bundleOf returns the bundle of a version as far as it is still held.
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

// remember appends a bundle to the recent ones unless it is there already.
func remember(recent []*bundle.Signed, signed *bundle.Signed) []*bundle.Signed {
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

// neededServices returns the services that contents use.
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
