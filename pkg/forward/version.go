package forward

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bramblelift/pkg/balancer"
	"bramblelift/pkg/clock"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/rollout"
	"bramblelift/pkg/routing"
)

// Bounds of what a node decides of a version by itself. Control decides for all nodes, on far more calls;
// the node only spares its own callers until then.
const (
	// signMemory is after how long what calls came to counts half.
	signMemory = 5 * time.Second
	// minSigns is how many failures of the new version, or slow answers, say anything, and
	// signFactor how many times as often as on the old one they must come.
	minSigns   = 3
	signFactor = 3
	// slowFactor times the mean of the old version's time is a slow answer.
	slowFactor = 3
	// signPause is for how long the node then gives the version nothing.
	signPause = 2 * time.Second
)

// side is what a node's own calls to one side of a rollout came to.
type side struct {
	calls, failed, slow, work float64
}

func (s *side) fade(kept float64) {
	s.calls, s.failed, s.slow, s.work = s.calls*kept, s.failed*kept, s.slow*kept, s.work*kept
}

// versionWatch is a node's own view of a rollout. It is safe for concurrent use.
type versionWatch struct {
	mu       sync.Mutex
	number   uint64
	at       time.Duration
	old, new side
	pausedTo time.Duration
}

// mayGive reports whether the node gives calls to the new version of a rollout.
func (w *versionWatch) mayGive(now time.Duration, number uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.number != number || now >= w.pausedTo
}

// note takes in what a call came to.
func (w *versionWatch) note(now time.Duration, number uint64, onNew, failed bool, work time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.number != number {
		w.number, w.at, w.old, w.new, w.pausedTo = number, now, side{}, side{}, 0
	}
	kept := clock.Kept(now-w.at, signMemory)
	w.at = now
	w.old.fade(kept)
	w.new.fade(kept)
	s := &w.old
	if onNew {
		s = &w.new
	}
	s.calls++
	switch {
	case failed:
		s.failed++
	case onNew && w.old.calls >= minSigns && float64(work) > slowFactor*w.old.work/w.old.calls:
		s.slow++
	}
	s.work += float64(work)
	if onNew && w.bad() {
		w.pausedTo = now + signPause
	}
}

// bad reports whether the new version shows signs that the old one does not; the mutex is held.
func (w *versionWatch) bad() bool {
	worse := func(signs, before float64) bool {
		return signs >= minSigns-0.5 && signs*max(1, w.old.calls) > signFactor*before*w.new.calls
	}
	return worse(w.new.failed, w.old.failed) || worse(w.new.slow, w.old.slow)
}

// drawVersion chooses the side of a rollout for a call, once: repeats of the call stay with it as far as
// there are back ends. A node that is not sure of what it holds gives the new version nothing.
func (g *gatedCall) drawVersion(now time.Duration) {
	held := g.service.rollout.Load()
	if held == nil {
		return
	}
	g.rollout = held
	g.version = balancer.VersionChoice{Version: held.Version}
	if !held.Closing() && (!g.handler.sure(now) || !g.service.versions.mayGive(now, held.Number)) {
		return
	}
	g.version.New = rand.IntN(rollout.Thousandths) < held.Share
}

// preferOld lets what the new version did not take, or failed, go to the old one at once.
func (g *gatedCall) preferOld() {
	if g.rollout != nil && !g.rollout.Closing() {
		g.version.New = false
	}
}

// headVersion tells the gate what it must know of the rollout.
func (g *gatedCall) headVersion(header http.Header, ticket *balancer.Ticket) {
	if g.rollout == nil {
		return
	}
	header.Set(exchange.HeaderRoute, g.route.Name)
	if ticket.Version == g.rollout.Version {
		header.Set(exchange.HeaderRollout, g.rollout.Version)
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

// noteVersion keeps what a call came to for the node's own view of a rollout.
func (g *gatedCall) noteVersion(ticket *balancer.Ticket, failed bool, work time.Duration) {
	if g.rollout == nil {
		return
	}
	g.service.versions.note(g.now(), g.rollout.Number, ticket.Version == g.rollout.Version, failed, work)
}

// setRollout takes in the rollout of a service, nil while none runs.
func (s *service) setRollout(definition routing.Service) { s.rollout.Store(definition.Rollout) }
