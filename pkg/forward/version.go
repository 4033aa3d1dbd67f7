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
	// completedMemory is for how long after a rollout has completed calls still prefer the new version:
	// the old back ends are stopped then, which takes some seconds to be known. Later back ends of other
	// versions are ordinary ones.
	completedMemory = 15 * time.Second
	// versionPause is for how long a back end is left out whose version gets no more calls: about half
	// the time between two steps of a rollout.
	versionPause = 250 * time.Millisecond
)

// versions is a node's view of the rollout of one service.
type versions struct {
	// held is nil while there is no rollout to go by.
	held    atomic.Pointer[heldRollout]
	mu      sync.Mutex
	caution rollout.Caution
}

type heldRollout struct {
	rollout.Rollout
	// until is when the rollout is no matter of calls any more, zero for no bound.
	until time.Duration
}

// set takes in the newest rollout of the service, nil if it never had one. Calls of one service are
// answered by one table at a time, so that only one goroutine is here.
func (v *versions) set(now time.Duration, newest *rollout.Rollout) {
	before := v.held.Load()
	if newest == nil {
		v.held.Store(nil)
		return
	}
	next := &heldRollout{Rollout: *newest}
	switch newest.Phase {
	case rollout.RolledBack:
		// The table refuses the version's back ends.
		next = nil
	case rollout.Completed:
		if before == nil || before.Number != newest.Number {
			next = nil
			break
		}
		next.until = before.until
		if next.until == 0 {
			next.until = now + completedMemory
		}
	}
	v.held.Store(next)
}

// inForce returns the rollout that calls go by, nil for none.
func (v *versions) inForce(now time.Duration) *rollout.Rollout {
	held := v.held.Load()
	if held == nil || (held.until != 0 && now > held.until) {
		return nil
	}
	return &held.Rollout
}

// careful reports whether the node's own calls give it cause to spare the new version.
func (v *versions) careful(r rollout.Rollout) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.caution.Careful(r)
}

func (v *versions) note(r rollout.Rollout, failed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.caution.Note(r, failed)
}

// versionDraw is a call's part in a rollout: the draw is made once, so that repeats do not draw again.
type versionDraw struct {
	// rollout is nil for none.
	rollout *rollout.Rollout
	draw    int
	// elsewhere is set once the call came back from a back end without an answer.
	elsewhere bool
}

// drawVersion takes a call's draw.
func (g *gatedCall) drawVersion(now time.Duration) {
	g.version.rollout = g.service.versions.inForce(now)
	if g.version.rollout != nil {
		g.version.draw = rand.IntN(rollout.Thousandths)
	}
}

// versionChoice returns which back ends the call prefers now. A node that has not heard lately what is in
// force gives the new version nothing.
func (g *gatedCall) versionChoice(now time.Duration) balancer.VersionChoice {
	r := g.version.rollout
	if r == nil {
		return balancer.VersionChoice{}
	}
	careful := !g.handler.sure(now) || g.service.versions.careful(*r)
	return balancer.VersionChoice{Rollout: r, Side: rollout.Choose(*r, g.version.draw, g.version.elsewhere, careful)}
}

// headVersion tells the gate what it must know of the rollout.
func (g *gatedCall) headVersion(header http.Header, ticket *balancer.Ticket) {
	r := g.version.rollout
	if r == nil {
		return
	}
	header.Set(exchange.HeaderRoute, g.route.Name)
	if ticket.Version == r.Version {
		header.Set(exchange.HeaderRollout, r.Version)
	}
}

// noteVersion keeps what a call to the new version came to.
func (g *gatedCall) noteVersion(ticket *balancer.Ticket, failed bool) {
	if r := g.version.rollout; r != nil && ticket.Version == r.Version {
		g.service.versions.note(*r, failed)
	}
}

// sure reports whether the node has heard lately that what it holds is the newest.
func (h *Handler) sure(now time.Duration) bool {
	if h.config.ConfirmedAt == nil {
		return true
	}
	at, confirmed := h.config.ConfirmedAt()
	return confirmed && now-at <= h.config.StaleLimit
}
