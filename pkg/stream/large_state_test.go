package stream

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"

	"github.com/matryer/is"
)

// acceptAllApprovals is an ApprovalVerifier for tests that need no signatures.
type acceptAllApprovals struct{}

func (acceptAllApprovals) Verify(bundle.Manifest, bundle.Approval) error { return nil }

// holderTarget is a target that verifies and holds the whole state.
type holderTarget struct {
	mu     sync.Mutex
	holder *distribution.Holder
}

func newHolderTarget() *holderTarget {
	return &holderTarget{holder: distribution.NewHolder("", acceptAllApprovals{}, nil)}
}

func (h *holderTarget) Position() distribution.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.State().Position()
}

func (h *holderTarget) Apply(update *distribution.Update) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Apply(update)
}

func (h *holderTarget) Current(revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.AdvanceTo(revision)
}

// versionedRoutes is a series of versions, each of which changes one of many routes.
type versionedRoutes struct {
	hasher *bundle.Hasher
	state  *distribution.State
}

func newVersionedRoutes(t *testing.T, routes int) *versionedRoutes {
	content := bundle.Content{Services: []bundle.Service{{Name: "orders"}}}
	for i := range routes {
		content.Routes = append(content.Routes, bundle.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("shop%d.example", i%97), PathPrefix: fmt.Sprintf("/ward%d/", i),
			Service: "orders", MaxAttempts: 2,
		})
	}
	v := &versionedRoutes{hasher: bundle.NewHasher(), state: &distribution.State{Endpoints: distribution.EndpointTable{}}}
	v.activate(t, content.Normalized())
	return v
}

func (v *versionedRoutes) activate(t *testing.T, content bundle.Content) *distribution.State {
	t.Helper()
	version := v.state.Position().Active + 1
	tree, err := v.hasher.Tree(content)
	is.New(t).NoErr(err)
	v.state = v.state.Activate(&bundle.Signed{Manifest: bundle.Manifest{Version: version, Digest: tree.Root()}, Content: content})
	return v.state
}

// next activates the next version.
func (v *versionedRoutes) next(t *testing.T) *distribution.State {
	content := v.state.Active.Content
	content.Routes = slices.Clone(content.Routes)
	version := int(v.state.Position().Active)
	content.Routes[version%len(content.Routes)].Timeout = bundle.Duration(time.Duration(version) * time.Millisecond)
	return v.activate(t, content)
}

func TestLargeStateArrivesOverANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		n, addresses := newNetworkOf(ctx, 1, newVersionedRoutes(t, 3000).state)
		target := newHolderTarget()
		n.addClient(t, link{delay: 100 * time.Millisecond, bytesPerSecond: 8000}, target, addresses...)
		took := awaitRevision(target, 1, time.Minute)
		cancel()
		time.Sleep(time.Minute)
		t.Log(took)
		is.True(took < 10*time.Second)
	})
}

// Changes come five times a second while the server of many nodes vanishes. A node counts as connected again 3 s later and
// must hold then what was accepted 2 s before, and so on from there.
func TestChangesInSeriesAreHeldInTimeAfterAServerVanished(t *testing.T) {
	const (
		nodes    = 24
		interval = 200 * time.Millisecond
		excused  = 3 * time.Second
		inForce  = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		versions := newVersionedRoutes(t, 3000)
		n, addresses := newNetworkOf(ctx, 4, versions.state)
		var targets []*holderTarget
		for range nodes {
			target := newHolderTarget()
			n.addClient(t, link{delay: 100 * time.Millisecond, bytesPerSecond: 20_000}, target, addresses...)
			targets = append(targets, target)
		}
		time.Sleep(20 * time.Second)
		held := 0
		for _, target := range targets {
			held += int(target.Position().Active)
		}
		n.servers[addresses[0]].silence()
		vanished := time.Now()
		acceptedAt := map[uint64]time.Time{}
		late := map[int]time.Duration{}
		for range 50 {
			state := versions.next(t)
			acceptedAt[state.Position().Active] = time.Now()
			n.acceptAt(state, nil)
			time.Sleep(interval)
			if time.Since(vanished) < excused {
				continue
			}
			for i, target := range targets {
				held := target.Position().Active
				if accepted, found := acceptedAt[held+1]; found && time.Since(accepted) > inForce {
					late[i] = max(late[i], time.Since(accepted))
				}
			}
		}
		cancel()
		time.Sleep(time.Minute)
		t.Log(late)
		is.Equal(held, nodes) // all held the first version
		is.Equal(len(late), 0)
	})
}
