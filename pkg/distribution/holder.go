package distribution

import (
	"errors"
	"fmt"

	"bramblelift/pkg/bundle"
)

// Holder.Apply returns these errors and then leaves the held state unchanged.
var (
	// ErrRevisionGap: the update starts after the held revision. The holder must subscribe again.
	ErrRevisionGap = errors.New("update starts after the held revision")
	// ErrOlderVersion: the active version of the update is older than the held one.
	ErrOlderVersion = errors.New("active version of the update is older than the held one")
	// ErrMissingBundle: the update refers to a bundle that is neither in the update nor held.
	ErrMissingBundle = errors.New("update refers to a missing bundle")
	// ErrEndpointDigest: the endpoints after the update do not have the expected digest.
	ErrEndpointDigest = errors.New("endpoints do not match their digest")
	// ErrScope: the content belongs to the scope of another node group.
	ErrScope = errors.New("content is for another node group")
)

// ApprovalVerifier checks the approval of a manifest. bundle.Verifier implements it.
type ApprovalVerifier interface {
	Verify(bundle.Manifest, bundle.Approval) error
}

// Holder applies updates to the state of one scope. It is not safe for concurrent use.
type Holder struct {
	group    string
	verifier ApprovalVerifier
	state    *State
	hasher   *bundle.Hasher
}

// NewHolder returns a holder for a node group, or for bundle.ScopeAll. It starts with the given state,
// or with an empty one if state is nil.
func NewHolder(group string, verifier ApprovalVerifier, state *State) *Holder {
	if state == nil {
		state = &State{}
	}
	return &Holder{group: group, verifier: verifier, state: state, hasher: bundle.NewHasher()}
}

// State returns the held state, which is never nil.
func (h *Holder) State() *State { return h.state }

// AdvanceTo advances the held revision; nothing in the holder's scope changed up to it. A lower revision
// is ignored.
func (h *Holder) AdvanceTo(revision uint64) {
	if revision <= h.state.Revision {
		return
	}
	next := *h.state
	next.Revision = revision
	h.state = &next
}

// Apply verifies an update and installs the resulting state. On an error the held state stays
// unchanged. An update that is not newer than the held revision is ignored.
func (h *Holder) Apply(u *Update) error {
	if u.To <= h.state.Revision {
		return nil
	}
	if u.From > h.state.Revision {
		return fmt.Errorf("update from %d to %d, held %d: %w", u.From, u.To, h.state.Revision, ErrRevisionGap)
	}
	if u.Active < versionOf(h.state.Active) {
		return fmt.Errorf("update to version %d, held %d: %w", u.Active, versionOf(h.state.Active), ErrOlderVersion)
	}
	next, err := h.buildState(u)
	if err != nil {
		return fmt.Errorf("update to revision %d: %w", u.To, err)
	}
	h.state = next
	return nil
}

// buildState returns the verified state after the update.
func (h *Holder) buildState(u *Update) (*State, error) {
	bundles, err := h.collectBundles(u)
	if err != nil {
		return nil, err
	}
	next := &State{Revision: u.To, Recent: h.state.Recent, Horizon: u.Horizon}
	if next.Active, err = findBundle(bundles, u.Active); err != nil {
		return nil, err
	}
	if next.Staged, err = findBundle(bundles, u.Staged); err != nil {
		return nil, err
	}
	if next.Active != nil {
		if err := next.Active.Content.CheckReferences(); err != nil {
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
	h.applyEndpoints(next, u)
	if digest := next.Endpoints.digest(nil); digest != u.EndpointDigest {
		return nil, fmt.Errorf("digest %x, expected %x: %w", digest, u.EndpointDigest, ErrEndpointDigest)
	}
	if h.group == bundle.ScopeAll {
		h.keepReplacedBundles(next)
	}
	return next, nil
}

// collectBundles returns the held bundles and the verified bundles of the update, by version.
func (h *Holder) collectBundles(u *Update) (map[uint64]*bundle.Signed, error) {
	bundles := map[uint64]*bundle.Signed{}
	for _, signed := range []*bundle.Signed{h.state.Active, h.state.Staged} {
		if signed != nil {
			bundles[signed.Manifest.Version] = signed
		}
	}
	for _, received := range u.Bundles {
		signed, err := h.verifyBundle(bundles, received)
		if err != nil {
			return nil, fmt.Errorf("version %d: %w", received.Manifest.Version, err)
		}
		bundles[received.Manifest.Version] = signed
	}
	return bundles, nil
}

// verifyBundle builds a received bundle from its delta, and verifies its digest and approval.
func (h *Holder) verifyBundle(held map[uint64]*bundle.Signed, received BundleUpdate) (*bundle.Signed, error) {
	if received.Scope != h.group && (received.Scope != "" || h.group == bundle.ScopeAll) {
		return nil, fmt.Errorf("scope %q: %w", received.Scope, ErrScope)
	}
	base := bundle.Content{}
	if received.Base != 0 {
		signed, found := held[received.Base]
		if !found {
			return nil, fmt.Errorf("base %d: %w", received.Base, ErrMissingBundle)
		}
		base = signed.Content
	}
	content := base.Apply(received.Delta)
	if err := h.hasher.Check(received.Proof, received.Scope, content, received.Manifest.Digest); err != nil {
		return nil, err
	}
	if err := h.verifier.Verify(received.Manifest, received.Approval); err != nil {
		return nil, err
	}
	return &bundle.Signed{Manifest: received.Manifest, Approval: received.Approval, Content: content}, nil
}

// applyEndpoints sets the endpoints of next. On a node it drops the services that its bundles no longer
// use.
func (h *Holder) applyEndpoints(next *State, u *Update) {
	held := h.state.Endpoints
	if u.Reset {
		held = nil
	}
	if h.group == bundle.ScopeAll {
		next.Endpoints = held.withChanges(u.Endpoints, true)
		if next.Horizon > h.state.Horizon {
			next.dropTombstonesTo(next.Horizon)
		}
		return
	}
	needed := neededServices(contentOf(next.Active), contentOf(next.Staged))
	next.Endpoints = held.withChanges(u.Endpoints, false).restrictedTo(needed)
}

// keepReplacedBundles keeps the replaced bundles as possible bases of later deltas.
func (h *Holder) keepReplacedBundles(next *State) {
	for _, old := range []*bundle.Signed{h.state.Active, h.state.Staged} {
		version := versionOf(old)
		if version != 0 && version != versionOf(next.Active) && version != versionOf(next.Staged) {
			next.Recent = appendRecent(next.Recent, old)
		}
	}
}

func findBundle(bundles map[uint64]*bundle.Signed, version uint64) (*bundle.Signed, error) {
	if version == 0 {
		return nil, nil
	}
	signed, found := bundles[version]
	if !found {
		return nil, fmt.Errorf("version %d: %w", version, ErrMissingBundle)
	}
	return signed, nil
}

func contentOf(signed *bundle.Signed) *bundle.Content {
	if signed == nil {
		return nil
	}
	return &signed.Content
}
