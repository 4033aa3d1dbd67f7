package forward

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/rollout"
)

const (
	// completedRetention is how long calls still prefer the new version after a rollout has completed,
	// until the removal of the old back ends has been distributed.
	completedRetention = 15 * time.Second
	// versionPause is how long a back end is not chosen after its gate rejected a call because of its
	// version.
	versionPause = 250 * time.Millisecond
)

// rolloutTracker holds a node's view of the rollout of one service.
type rolloutTracker struct {
	// current is nil if no rollout applies to calls.
	current atomic.Pointer[activeRollout]
	mu      sync.Mutex
	guard   rollout.FailureGuard
}

type activeRollout struct {
	rollout.Rollout
	// expiresAt is when the rollout stops applying to calls, zero for never.
	expiresAt time.Duration
}

// update sets the newest rollout of the service, nil if it has none. It must not run concurrently with
// itself.
func (t *rolloutTracker) update(now time.Duration, newest *rollout.Rollout) {
	before := t.current.Load()
	if newest == nil {
		t.current.Store(nil)
		return
	}
	next := &activeRollout{Rollout: *newest}
	switch newest.Phase {
	case rollout.RolledBack:
		// The table excludes the version's back ends.
		next = nil
	case rollout.Completed:
		if before == nil || before.Number != newest.Number {
			next = nil
			break
		}
		next.expiresAt = before.expiresAt
		if next.expiresAt == 0 {
			next.expiresAt = now + completedRetention
		}
	}
	t.current.Store(next)
}

// active returns the rollout that applies to calls, nil for none.
func (t *rolloutTracker) active(now time.Duration) *rollout.Rollout {
	current := t.current.Load()
	if current == nil || (current.expiresAt != 0 && now > current.expiresAt) {
		return nil
	}
	return &current.Rollout
}

// avoidsNewVersion reports whether this node's calls failed often enough to avoid the new version.
func (t *rolloutTracker) avoidsNewVersion(r rollout.Rollout) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.guard.AvoidsNewVersion(r)
}

func (t *rolloutTracker) record(r rollout.Rollout, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.guard.Record(r, failed)
}

// rolloutDraw is a call's random draw in a rollout. Retries use the same draw.
type rolloutDraw struct {
	// rollout is nil for none.
	rollout *rollout.Rollout
	value   int
	// retrying is set once an attempt of the call has failed.
	retrying bool
}

// drawRollout sets the rollout that applies to the call and draws the random number that
// decides whether the call goes to the old or the new version.
func (g *gatedCall) drawRollout(now time.Duration) {
	g.draw.rollout = g.service.tracker.active(now)
	if g.draw.rollout != nil {
		g.draw.value = rand.IntN(rollout.FullShare)
	}
}

// versionChoice returns which back ends the call prefers. A node without recent confirmation sends no
// calls to the new version.
func (g *gatedCall) versionChoice(now time.Duration) balancer.VersionChoice {
	r := g.draw.rollout
	if r == nil {
		return balancer.VersionChoice{}
	}
	avoidNew := !g.handler.confirmedRecently(now) || g.service.tracker.avoidsNewVersion(*r)
	return balancer.VersionChoice{Rollout: r, Side: rollout.Choose(*r, g.draw.value, g.draw.retrying, avoidNew)}
}

// setRolloutHeaders sets the headers by which a gate counts the call in a rollout.
func (g *gatedCall) setRolloutHeaders(header http.Header, ticket *balancer.Ticket) {
	r := g.draw.rollout
	if r == nil {
		return
	}
	header.Set(exchange.HeaderRoute, g.route.Name)
	if ticket.Version == r.Version {
		header.Set(exchange.HeaderRollout, r.Version)
	}
}

// recordVersionResult records the result of a call to the new version.
func (g *gatedCall) recordVersionResult(ticket *balancer.Ticket, failed bool) {
	if r := g.draw.rollout; r != nil && ticket.Version == r.Version {
		g.service.tracker.record(*r, failed)
	}
}

// confirmedRecently reports whether the configuration was confirmed to be the newest within StaleLimit.
func (h *Handler) confirmedRecently(now time.Duration) bool {
	if h.config.ConfirmedAt == nil {
		return true
	}
	at, confirmed := h.config.ConfirmedAt()
	return confirmed && now-at <= h.config.StaleLimit
}
