package distribution

import (
	"errors"
	"fmt"

	"bramblelift/pkg/bundle"
)

// Errors of Holder.Apply. Each leaves the held state whole.
var (
	// ErrGap: the update starts after what is held; subscribe again.
	ErrGap = errors.New("update does not connect to the held revision")
	// ErrOlder: the update would bring the holder back.
	ErrOlder = errors.New("update is older than what is held")
	// ErrIncomplete: the update names a bundle that it neither brings nor is held.
	ErrIncomplete = errors.New("update names a bundle that is not held")
	// ErrEndpointDigest: the endpoints do not add up.
	ErrEndpointDigest = errors.New("endpoints do not match their digest")
	// ErrScope: the content is for another node group.
	ErrScope = errors.New("content is for another node group")
)

// ApprovalVerifier checks that a manifest was approved.
type ApprovalVerifier interface {
	Verify(bundle.Manifest, bundle.Approval) error
}

// Holder takes updates for one scope and keeps the newest whole state. It is not safe
// for concurrent use.
type Holder struct {
	group    string
	verifier ApprovalVerifier
	state    *State
	hasher   *bundle.Hasher
}

// NewHolder returns a holder that starts from a state, empty for a first start.
func NewHolder(group string, verifier ApprovalVerifier, state *State) *Holder {
	if state == nil {
		state = &State{}
	}
	return &Holder{group: group, verifier: verifier, state: state, hasher: bundle.NewHasher()}
}

// State returns the held state.
func (h *Holder) State() *State { return h.state }

// Current takes in that nothing in the holder's scope changed up to a revision.
func (h *Holder) Current(revision uint64) {
	if revision <= h.state.Revision {
		return
	}
	next := *h.state
	next.Revision = revision
	h.state = &next
}

// Apply checks an update whole and puts it in force. On an error nothing changed. An
// update that brings nothing new is no error.
func (h *Holder) Apply(u *Update) error {
	if u.To <= h.state.Revision {
		return nil
	}
	if u.From > h.state.Revision {
		return fmt.Errorf("update from %d to %d, held %d: %w", u.From, u.To, h.state.Revision, ErrGap)
	}
	if u.Active < versionOf(h.state.Active) {
		return fmt.Errorf("update to version %d, held %d: %w", u.Active, versionOf(h.state.Active), ErrOlder)
	}
	next, err := h.build(u)
	if err != nil {
		return fmt.Errorf("update to revision %d: %w", u.To, err)
	}
	h.state = next
	return nil
}

// build makes the state after the update and checks it.
func (h *Holder) build(u *Update) (*State, error) {
	bundles, err := h.takeBundles(u)
	if err != nil {
		return nil, err
	}
	next := &State{Revision: u.To, Recent: h.state.Recent, Horizon: u.Horizon}
	if next.Active, err = pick(bundles, u.Active); err != nil {
		return nil, err
	}
	if next.Staged, err = pick(bundles, u.Staged); err != nil {
		return nil, err
	}
	if next.Active != nil {
		if err := next.Active.Content.Consistent(); err != nil {
			return nil, err
		}
	}
	next.Watchlist = h.state.Watchlist
	if u.Watchlist != nil {
		next.Watchlist = u.Watchlist
	}
	next.Orders = h.state.Orders
	if u.Orders != nil {
		next.Orders = u.Orders
	}
	h.takeEndpoints(next, u)
	if digest := next.Endpoints.digest(nil); digest != u.EndpointDigest {
		return nil, fmt.Errorf("digest %x, expected %x: %w", digest, u.EndpointDigest, ErrEndpointDigest)
	}
	if h.group == bundle.ScopeAll {
		h.rememberBundles(next)
	}
	return next, nil
}

// takeBundles returns the bundles held and brought, by version.
func (h *Holder) takeBundles(u *Update) (map[uint64]*bundle.Signed, error) {
	bundles := map[uint64]*bundle.Signed{}
	for _, signed := range []*bundle.Signed{h.state.Active, h.state.Staged} {
		if signed != nil {
			bundles[signed.Manifest.Version] = signed
		}
	}
	for _, brought := range u.Bundles {
		signed, err := h.takeBundle(bundles, brought)
		if err != nil {
			return nil, fmt.Errorf("version %d: %w", brought.Manifest.Version, err)
		}
		bundles[brought.Manifest.Version] = signed
	}
	return bundles, nil
}

// takeBundle checks that a bundle is just what was approved.
func (h *Holder) takeBundle(held map[uint64]*bundle.Signed, brought BundleUpdate) (*bundle.Signed, error) {
	if brought.Scope != h.group && (brought.Scope != "" || h.group == bundle.ScopeAll) {
		return nil, fmt.Errorf("scope %q: %w", brought.Scope, ErrScope)
	}
	base := bundle.Content{}
	if brought.Base != 0 {
		signed, found := held[brought.Base]
		if !found {
			return nil, fmt.Errorf("base %d: %w", brought.Base, ErrIncomplete)
		}
		base = signed.Content
	}
	content := base.Apply(brought.Delta)
	if err := h.hasher.Check(brought.Proof, brought.Scope, content, brought.Manifest.Digest); err != nil {
		return nil, err
	}
	if err := h.verifier.Verify(brought.Manifest, brought.Approval); err != nil {
		return nil, err
	}
	return &bundle.Signed{Manifest: brought.Manifest, Approval: brought.Approval, Content: content}, nil
}

// takeEndpoints puts the endpoints into next and drops those of services that are
// not needed any more.
func (h *Holder) takeEndpoints(next *State, u *Update) {
	held := h.state.Endpoints
	if u.Reset {
		held = nil
	}
	if h.group == bundle.ScopeAll {
		next.Endpoints = held.with(u.Endpoints, true)
		if next.Horizon > h.state.Horizon {
			next.dropTombstonesTo(next.Horizon)
		}
		return
	}
	needed := neededServices(contentOf(next.Active), contentOf(next.Staged))
	next.Endpoints = held.with(u.Endpoints, false).only(needed)
}

// rememberBundles keeps replaced bundles as bases of later deltas.
func (h *Holder) rememberBundles(next *State) {
	for _, old := range []*bundle.Signed{h.state.Active, h.state.Staged} {
		version := versionOf(old)
		if version != 0 && version != versionOf(next.Active) && version != versionOf(next.Staged) {
			next.Recent = remember(next.Recent, old)
		}
	}
}

func pick(bundles map[uint64]*bundle.Signed, version uint64) (*bundle.Signed, error) {
	if version == 0 {
		return nil, nil
	}
	signed, found := bundles[version]
	if !found {
		return nil, fmt.Errorf("version %d: %w", version, ErrIncomplete)
	}
	return signed, nil
}

func contentOf(signed *bundle.Signed) *bundle.Content {
	if signed == nil {
		return nil
	}
	return &signed.Content
}
