package distribution

import (
	"fmt"
	"slices"
	"strings"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/quarantine"
)

// BundleUpdate transfers one bundle, as a delta to a bundle that the holder has.
type BundleUpdate struct {
	Manifest bundle.Manifest
	Approval bundle.Approval
	// Scope is the name of the scope that the content belongs to; Proof starts from its leaf in the
	// digest tree.
	Scope string
	// Base is the version that Delta applies to, zero for the empty content.
	Base  uint64
	Delta bundle.Delta
	Proof bundle.Proof
}

// Update brings a holder at revision From, or any later one, to revision To.
type Update struct {
	From uint64
	To   uint64
	// Reset replaces all endpoints of the holder.
	Reset     bool
	Endpoints []Endpoint
	Horizon   uint64
	// Bundles are the active and staged bundles that the holder does not have, the active one first.
	Bundles []BundleUpdate
	// Active and Staged are the versions after the update, zero for none.
	Active uint64
	Staged uint64
	// EndpointDigest is the digest of the holder's endpoints after the update.
	EndpointDigest uint64
	// Watchlist replaces the holder's watchlist, nil if it has not changed.
	Watchlist *quarantine.Watchlist
	// Orders replaces the holder's orders, nil if they have not changed.
	Orders *orders.Table
}

// Changes reports whether the update changes more than the revision of a holder at position p.
func (u *Update) Changes(p Position) bool {
	return u.Reset || len(u.Endpoints) > 0 || len(u.Bundles) > 0 || u.Watchlist != nil || u.Orders != nil ||
		u.Active != p.Active || u.Staged != p.Staged
}

// Planner computes updates for holders. Updates are cached, so that all holders of a group at the
// same position share one. It is not safe for concurrent use.
type Planner struct {
	state *State
	trees map[uint64]*bundle.Tree
	// scopes caches the part of each content that a group needs.
	scopes  map[scopeKey]*bundle.Content
	updates map[updateKey]*Update
	// packings caches the packed forms of updates.
	packings map[*Update]*Packing
	history  history
	hasher   *bundle.Hasher
}

type scopeKey struct {
	version uint64
	// scope is the name of the scope.
	scope string
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

// State returns the state that updates lead to.
func (p *Planner) State() *State { return p.state }

// SetState replaces the state by a newer one and drops the cached updates.
func (p *Planner) SetState(state *State) {
	p.recordStep(state)
	p.state = state
	p.updates = map[updateKey]*Update{}
	p.packings = map[*Update]*Packing{}
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

// recordStep adds the change of the active bundle, if there is one, to the history.
func (p *Planner) recordStep(next *State) {
	if p.state == nil || p.state.Active == nil || next.Active == nil {
		return
	}
	step := versionStep{from: versionOf(p.state.Active), to: versionOf(next.Active), groups: map[string]bool{}, scopes: map[string]scopeStep{}}
	if step.from == step.to {
		return
	}
	for _, group := range p.state.Active.Content.Groups() {
		step.groups[group] = true
	}
	for _, scope := range p.plannedScopes() {
		if p.state.Active.Content.ScopeName(scope) == scope && next.Active.Content.ScopeName(scope) == scope {
			before := p.scopedContent(step.from, scope)
			changed := bundle.Diff(*before, next.Active.Content.Scope(scope))
			step.scopes[scope] = scopeStep{delta: changed, services: neededServices(before)}
		}
	}
	p.history.add(step)
}

// plannedScopes returns the names of the scopes whose holders have been planned for lately.
func (p *Planner) plannedScopes() []string {
	var scopes []string
	for key := range p.scopes {
		if !slices.Contains(scopes, key.scope) {
			scopes = append(scopes, key.scope)
		}
	}
	return scopes
}

// stepsFrom returns the changes of a group's scope from a version to the active bundle, nil if they are not known.
func (p *Planner) stepsFrom(version uint64, group string) []scopeStep {
	if p.state.Active == nil || version == 0 {
		return nil
	}
	return p.history.since(version, group, p.state.Active.Content.ScopeName(group))
}

// Plan returns the update for a holder of a group at a position, or nil if the holder is up to date.
// The update is shared and must not be modified.
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
		Reset: p.needsReset(group, position),
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

// needsReset reports whether the changes since a position can no longer be determined, because
// tombstones were dropped or the services that the holder has are unknown.
func (p *Planner) needsReset(group string, position Position) bool {
	if position.Revision < p.state.Horizon || position.Revision == 0 {
		return true
	}
	if group == bundle.ScopeAll {
		return false
	}
	for _, version := range []uint64{position.Active, position.Staged} {
		if version != 0 && p.heldServices(version, group) == nil {
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
		// The staged bundle may be a delta to the active one, which precedes it in the update.
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
	if steps := p.stepsFrom(held.Active, group); signed == p.state.Active && steps != nil {
		planned.Base, planned.Delta = held.Active, deltaOf(steps)
		return planned, nil
	}
	baseContent := &bundle.Content{}
	for _, candidate := range []uint64{held.Active, held.Staged} {
		if content := p.scopedContent(candidate, group); content != nil {
			planned.Base = candidate
			baseContent = content
		}
	}
	planned.Delta = bundle.Diff(*baseContent, *p.scopedContent(version, group))
	return planned, nil
}

// planAllEndpoints adds all changed endpoints to an update for ScopeAll, including tombstones and the
// revisions of the changes.
func (p *Planner) planAllEndpoints(update *Update) {
	update.Horizon = p.state.Horizon
	update.EndpointDigest = p.state.Endpoints.digest(nil)
	for _, byID := range p.state.Endpoints {
		for _, endpoint := range byID {
			if update.Reset || endpoint.Modified > update.From {
				update.Endpoints = append(update.Endpoints, endpoint)
			}
		}
	}
}

// planGroupEndpoints adds the changed endpoints of the services that a node uses, and all endpoints
// of services that it did not use at its position.
func (p *Planner) planGroupEndpoints(update *Update, group string, position Position) {
	needed := neededServices(p.scopedContent(update.Active, group), p.scopedContent(update.Staged, group))
	known := p.heldServices(position.Active, group)
	staged := p.heldServices(position.Staged, group)
	update.EndpointDigest = p.state.Endpoints.digest(needed)
	for service := range needed {
		sendAll := update.Reset || (!known[service] && !staged[service])
		for _, endpoint := range p.state.Endpoints[service] {
			if sendAll && endpoint.State == Removed {
				continue
			}
			if sendAll || endpoint.Modified > update.From {
				endpoint.Modified = 0
				update.Endpoints = append(update.Endpoints, endpoint)
			}
		}
	}
}

// heldServices returns the services that a holder of a group's part of a version has, nil if they are not known.
func (p *Planner) heldServices(version uint64, group string) map[string]bool {
	if content := p.scopedContent(version, group); content != nil {
		return neededServices(content)
	}
	if steps := p.stepsFrom(version, group); steps != nil {
		return steps[0].services
	}
	return nil
}

// scopedContent returns the part of a version's content that a group needs, or nil if the state no longer
// has the version.
func (p *Planner) scopedContent(version uint64, group string) *bundle.Content {
	signed := p.state.bundleOf(version)
	if version == 0 || signed == nil {
		return nil
	}
	key := scopeKey{version: version, scope: signed.Content.ScopeName(group)}
	if content, found := p.scopes[key]; found {
		return content
	}
	content := signed.Content.Scope(key.scope)
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

// sortEndpoints sorts by service and ID, so that equal updates have equal encodings.
func sortEndpoints(endpoints []Endpoint) {
	slices.SortFunc(endpoints, func(a, b Endpoint) int {
		if byService := strings.Compare(a.Service, b.Service); byService != 0 {
			return byService
		}
		return strings.Compare(a.ID, b.ID)
	})
}
