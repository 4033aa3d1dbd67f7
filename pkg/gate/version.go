package gate

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/rollout"
)

// grantLease is for how long after the held state was last confirmed a grant holds. A gate that is cut
// off from the control plane lets nothing more into a version that may have turned out bad meanwhile. It
// is some pings long, so that a lost one closes nothing, and short beside the seconds in which a version
// that was rolled back must get nothing.
const grantLease = 1500 * time.Millisecond

// maxTalliedRoutes bounds the routes that a report tells apart.
const maxTalliedRoutes = 64

// versions is the gate's side of a rollout of its back end's service: it lets calls into the new version
// only as they are granted, and none into the old one once the new one has taken over. The gate's mutex
// guards it.
type versions struct {
	// rollouts are all that is held.
	rollouts []rollout.Rollout
	// life is drawn anew for each back end: what was let in before is not known.
	life uint64
	// current is the rollout of the back end's service, held if there is one.
	current rollout.Rollout
	held    bool
	// admitted and routes count from the order on.
	admitted uint64
	routes   []rollout.RouteCount
	// closed is set once the new version has taken over from the back end's: it never opens again for
	// this back end, while one that registers after the rollout has ended is no matter of it.
	closed bool
}

// SetRollouts takes in the rollouts in force.
func (g *Gate) SetRollouts(list []rollout.Rollout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versions.rollouts = list
	g.followRollout()
}

// setVersion begins anew for another back end; the mutex is held.
func (g *Gate) setVersion() {
	g.versions = versions{rollouts: g.versions.rollouts, life: rand.Uint64()}
	g.followRollout()
}

// followRollout puts the rollout of the back end's service in force; the mutex is held.
func (g *Gate) followRollout() {
	v := &g.versions
	i := slices.IndexFunc(v.rollouts, func(r rollout.Rollout) bool { return r.Service == g.backend.Service })
	if i < 0 || !g.present {
		v.held = false
		g.watching.Store(false)
		return
	}
	next := v.rollouts[i]
	if v.held && next.Number != v.current.Number {
		v.admitted, v.routes = 0, nil
	}
	known := v.held && next.Number == v.current.Number
	v.current, v.held = next, true
	g.watching.Store(next.Phase == rollout.Running)
	if g.backend.Version != next.Version && (next.Closing() || (known && next.Phase == rollout.Completed)) {
		v.closed = true
	}
	if reason := g.refusesVersion(g.config.Now()); reason != "" {
		g.dropWaiting(reason)
	}
}

// refusesVersion returns why the back end's version gets no more calls at the moment; the mutex is held.
func (g *Gate) refusesVersion(now time.Duration) exchange.Reason {
	v := &g.versions
	if !v.held {
		return ""
	}
	if g.backend.Version != v.current.Version {
		if v.closed {
			return exchange.ReasonVersion
		}
		return ""
	}
	if v.current.Phase == rollout.RolledBack || (v.current.Phase == rollout.Running && !v.current.Closing() && !g.granted(now)) {
		return exchange.ReasonVersion
	}
	return ""
}

// granted reports whether the new version's back end may get one more call; the mutex is held.
func (g *Gate) granted(now time.Duration) bool {
	v := &g.versions
	if v.admitted >= v.current.Allowed(v.life) || g.config.ConfirmedAt == nil {
		return false
	}
	at, confirmed := g.config.ConfirmedAt()
	return confirmed && now-at <= grantLease
}

// noteAdmitted counts a call that is let in, and returns the number of the order that it counts for, zero
// for none; the mutex is held.
func (g *Gate) noteAdmitted() uint64 {
	v := &g.versions
	if !v.held || v.current.Phase != rollout.Running {
		return 0
	}
	v.admitted++
	return v.current.Number
}

// noteEnded counts what a call that was let in during a rollout came to; the mutex is held.
func (g *Gate) tallyEnding(a admittance, end ending) {
	v := &g.versions
	if a.order == 0 || !v.held || a.order != v.current.Number {
		return
	}
	count := v.route(a.route)
	if end.failed {
		count.Failed++
		return
	}
	if end.service > 0 {
		count.Answered++
		count.Times.Note(end.service)
	}
}

// route returns a route's counters. Routes beyond the bound are counted as one without a name.
func (v *versions) route(name string) *rollout.RouteCount {
	i := slices.IndexFunc(v.routes, func(c rollout.RouteCount) bool { return c.Route == name })
	if i < 0 && len(v.routes) >= maxTalliedRoutes && name != "" {
		return v.route("")
	}
	if i < 0 {
		v.routes = append(v.routes, rollout.RouteCount{Route: name})
		i = len(v.routes) - 1
	}
	return &v.routes[i]
}

// RolloutReport returns what the gate has seen of its back end while a rollout of its service runs, false
// if none does.
func (g *Gate) RolloutReport() (rollout.Report, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := &g.versions
	if !g.present || !v.held || v.current.Phase != rollout.Running {
		return rollout.Report{}, false
	}
	return rollout.Report{
		Service: g.backend.Service, Number: v.current.Number, Version: g.backend.Version, Instance: g.backend.ID,
		Life: v.life, Admitted: v.admitted, Routes: slices.Clone(v.routes),
		Closed: v.closed, Running: g.running,
	}, true
}
