package gate

import (
	"time"

	"bramblelift/pkg/eligibility"
	"bramblelift/pkg/exchange"
)

// ClosingChange describes for logs and metrics how orders closed the gate, or opened it again.
type ClosingChange struct {
	Backend string
	// Reason is why the gate is closed, empty when it opens.
	Reason exchange.Reason
	// Dropped is the number of queued calls that were rejected, Running the number of calls still
	// in flight.
	Dropped int
	Running int
	// Drained is set when the last running call of a closed gate has finished. SinceClosed is the time since
	// the gate closed, zero for the closing itself.
	Drained     bool
	SinceClosed time.Duration
}

// closedState describes a gate that orders have closed.
type closedState struct {
	// reason is empty while the gate is open.
	reason exchange.Reason
	at     time.Duration
	// drained is set once no call is running.
	drained bool
}

// SetRules sets the eligibility rules and closes or opens the gate accordingly. A gate without
// rules is open, since the callers' nodes apply the rules too.
func (g *Gate) SetRules(rules *eligibility.Rules) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rules = rules
	if g.present {
		g.applyRules()
	}
}

// Closed returns why orders have closed the gate, empty if it is open or has no back end.
func (g *Gate) Closed() exchange.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.present {
		return ""
	}
	return g.closed.reason
}

// applyRules closes or opens the gate as the rules require for its back end. Running calls may
// finish. The version is left out, since versionRejectReason checks it for each call. g.mu must be
// held.
func (g *Gate) applyRules() {
	reason := g.rules.RejectReasonOf(eligibility.Backend{Service: g.backend.Service, Zone: g.backend.Zone})
	previous := g.closed
	if reason == previous.reason {
		return
	}
	now := g.config.Now()
	if reason == "" {
		g.closed = closedState{}
		g.reportClosing(ClosingChange{SinceClosed: now - previous.at})
		g.assumeCold(now)
		return
	}
	g.closed = closedState{reason: reason, at: now}
	dropped := len(g.queue)
	g.dropWaiting(reason)
	g.reportClosing(ClosingChange{Reason: reason, Dropped: dropped})
	g.reportDrained()
}

// reportDrained reports once that a closed gate has no running calls left. g.mu must be held.
func (g *Gate) reportDrained() {
	if g.closed.reason == "" || g.closed.drained || g.running > 0 {
		return
	}
	g.closed.drained = true
	g.reportClosing(ClosingChange{Reason: g.closed.reason, Drained: true, SinceClosed: g.config.Now() - g.closed.at})
}

// reportClosing passes a change to the OnClosing callback. g.mu must be held.
func (g *Gate) reportClosing(c ClosingChange) {
	if g.config.OnClosing == nil {
		return
	}
	c.Backend, c.Running = g.backend.ID, g.running
	g.config.OnClosing(c)
}
