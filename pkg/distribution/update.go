package distribution

import (
	"fmt"
	"slices"
	"strings"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/quarantine"
)

// BundleUpdate brings one bundle, as a delta to one that the holder has.
type BundleUpdate struct {
	Manifest bundle.Manifest
	Approval bundle.Approval
	// Scope names the leaf of the digest tree that the content belongs to.
	Scope string
	// Base is the version that Delta starts from; zero means from nothing.
	Base  uint64
	Delta bundle.Delta
	Proof bundle.Proof
}

// Update brings a holder from revision From, or any later one, to revision To.
type Update struct {
	From uint64
	To   uint64
	// Reset drops all endpoints held before.
	Reset     bool
	Endpoints []Endpoint
	Horizon   uint64
	// Bundles are new active and staged bundles, the active one first.
	Bundles []BundleUpdate
	// Active and Staged are the versions that the holder has afterwards.
	Active uint64
	Staged uint64
	// EndpointDigest sums the endpoints that the holder has afterwards.
	EndpointDigest uint64
	// Watchlist replaces the holder's, nil if that is the newest.
	Watchlist *quarantine.Watchlist
	// Orders replace the holder's, nil if those are the newest.
	Orders *orders.Table
}

// Changes reports whether the update brings anything besides a higher revision.
func (u *Update) Changes(p Position) bool {
	return u.Reset || len(u.Endpoints) > 0 || len(u.Bundles) > 0 || u.Watchlist != nil || u.Orders != nil ||
		u.Active != p.Active || u.Staged != p.Staged
}

// Planner computes updates for holders. Holders at the same position in the same
// group get the same update, which is computed once. It is not safe for concurrent
// use.
type Planner struct {
	state *State
	trees map[uint64]*bundle.Tree
	// scopes caches the content of a version for a group.
	scopes  map[scopeKey]*bundle.Content
	updates map[updateKey]*Update
	// packed holds the packed forms of updates.
	packed map[*Update]*PackedUpdate
	hasher *bundle.Hasher
}

type scopeKey struct {
	version uint64
	group   string
}

type updateKey struct {
	group    string
	position Position
}

// NewPlanner returns a planner for a state.
func NewPlanner(state *State) *Planner {
	p := &Planner{trees: map[uint64]*bundle.Tree{}, scopes: map[scopeKey]*bundle.Content{}, hasher: bundle.NewHasher()}
	p.SetState(state)
	return p
}

// State returns the newest state.
func (p *Planner) State() *State { return p.state }

// SetState moves to a newer state.
func (p *Planner) SetState(state *State) {
	p.state = state
	p.updates = map[updateKey]*Update{}
	p.packed = map[*Update]*PackedUpdate{}
	for version := range p.trees {
		if state.bundleOf(version) == nil {
			delete(p.trees, version)
		}
	}
	for key := range p.scopes {
		if state.bundleOf(key.version) == nil {
			delete(p.scopes, key)
		}
	}
}

// Plan returns the update for a holder of a group at a position, or nil if there is
// nothing newer. The update is shared and must not be changed.
func (p *Planner) Plan(group string, position Position) (*Update, error) {
	if position.Revision >= p.state.Revision {
		return nil, nil
	}
	key := updateKey{group: group, position: position}
	if update, found := p.updates[key]; found {
		return update, nil
	}
	update, err := p.plan(group, position)
	if err != nil {
		return nil, fmt.Errorf("plan update from revision %d: %w", position.Revision, err)
	}
	p.updates[key] = update
	return update, nil
}

func (p *Planner) plan(group string, position Position) (*Update, error) {
	update := &Update{
		From: position.Revision, To: p.state.Revision,
		Active: versionOf(p.state.Active), Staged: versionOf(p.state.Staged),
		Reset: p.mustReset(group, position),
	}
	update.Watchlist = p.state.Watchlist.Since(position.Revision)
	update.Orders = p.state.Orders.Since(position.Revision)
	if err := p.planBundles(update, group, position); err != nil {
		return nil, err
	}
	if group == bundle.ScopeAll {
		p.planAllEndpoints(update)
	} else {
		p.planGroupEndpoints(update, group, position)
	}
	sortEndpoints(update.Endpoints)
	return update, nil
}

// mustReset reports whether the changes since a position cannot be told apart any
// more: tombstones were forgotten, or it is not known which services the holder had.
func (p *Planner) mustReset(group string, position Position) bool {
	if position.Revision < p.state.Horizon || position.Revision == 0 {
		return true
	}
	if group == bundle.ScopeAll {
		return false
	}
	for _, version := range []uint64{position.Active, position.Staged} {
		if version != 0 && p.scope(version, group) == nil {
			return true
		}
	}
	return false
}

func (p *Planner) planBundles(update *Update, group string, position Position) error {
	base := position
	for _, signed := range []*bundle.Signed{p.state.Active, p.state.Staged} {
		version := versionOf(signed)
		if version == 0 || version == position.Active || version == position.Staged {
			continue
		}
		planned, err := p.planBundle(signed, group, base)
		if err != nil {
			return err
		}
		update.Bundles = append(update.Bundles, planned)
		// The staged bundle may build on the active one sent just before.
		base.Active = version
	}
	return nil
}

func (p *Planner) planBundle(signed *bundle.Signed, group string, held Position) (BundleUpdate, error) {
	version := signed.Manifest.Version
	tree, err := p.tree(signed)
	if err != nil {
		return BundleUpdate{}, err
	}
	scope := signed.Content.ScopeName(group)
	proof, found := tree.Proof(scope)
	if !found {
		return BundleUpdate{}, fmt.Errorf("version %d has no scope %q", version, scope)
	}
	planned := BundleUpdate{Manifest: signed.Manifest, Approval: signed.Approval, Scope: scope, Proof: proof}
	baseContent := &bundle.Content{}
	for _, candidate := range []uint64{held.Active, held.Staged} {
		if content := p.scope(candidate, group); content != nil {
			planned.Base = candidate
			baseContent = content
		}
	}
	planned.Delta = bundle.Diff(*baseContent, *p.scope(version, group))
	return planned, nil
}

// planAllEndpoints gives relays every change with its stamp, tombstones included.
func (p *Planner) planAllEndpoints(update *Update) {
	update.Horizon = p.state.Horizon
	update.EndpointDigest = p.state.Endpoints.digest(nil)
	for _, held := range p.state.Endpoints {
		for _, endpoint := range held {
			if update.Reset || endpoint.Modified > update.From {
				update.Endpoints = append(update.Endpoints, endpoint)
			}
		}
	}
}

// planGroupEndpoints gives a node the changes in the services that it needs, and the
// whole of a service that is new to it.
func (p *Planner) planGroupEndpoints(update *Update, group string, position Position) {
	needed := neededServices(p.scope(update.Active, group), p.scope(update.Staged, group))
	known := neededServices(p.scope(position.Active, group), p.scope(position.Staged, group))
	update.EndpointDigest = p.state.Endpoints.digest(needed)
	for service := range needed {
		whole := update.Reset || !known[service]
		for _, endpoint := range p.state.Endpoints[service] {
			if whole && endpoint.State == Removed {
				continue
			}
			if whole || endpoint.Modified > update.From {
				endpoint.Modified = 0
				update.Endpoints = append(update.Endpoints, endpoint)
			}
		}
	}
}

// scope returns the content of a version for a group, or nil if the version is not
// held any more.
func (p *Planner) scope(version uint64, group string) *bundle.Content {
	signed := p.state.bundleOf(version)
	if version == 0 || signed == nil {
		return nil
	}
	key := scopeKey{version: version, group: signed.Content.ScopeName(group)}
	if content, found := p.scopes[key]; found {
		return content
	}
	content := signed.Content.Scope(key.group)
	p.scopes[key] = &content
	return &content
}

func (p *Planner) tree(signed *bundle.Signed) (*bundle.Tree, error) {
	version := signed.Manifest.Version
	if tree, found := p.trees[version]; found {
		return tree, nil
	}
	tree, err := p.hasher.TreeFor(signed.Content, signed.Manifest.Digest)
	if err != nil {
		return nil, fmt.Errorf("digest tree of version %d: %w", version, err)
	}
	p.trees[version] = tree
	return tree, nil
}

// sortEndpoints puts the endpoints into a fixed order, so that equal updates are
// equal bytes.
func sortEndpoints(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int {
		if byService := strings.Compare(a.Service, b.Service); byService != 0 {
			return byService
		}
		return strings.Compare(a.ID, b.ID)
	})
}
