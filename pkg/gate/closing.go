package gate

import (
	"time"

	"bramblelift/pkg/eligibility"
	"bramblelift/pkg/exchange"
)

// ClosingChange tells that orders have closed the gate to new calls, or opened it again, for logs and metrics.
type ClosingChange struct {
	Backend string
	// Reason is why the gate is closed, empty once it is open again.
	Reason exchange.Reason
	// Dropped are the calls that waited and were refused, Running those that go on to their end.
	Dropped int
	Running int
	// Quiet is set once the last running call has ended. Took is the time since the gate was closed, zero
	// when it closes.
	Quiet bool
	Took  time.Duration
}

// closing is the state of a gate that orders have closed.
type closing struct {
	// reason is empty while the gate is open.
	reason exchange.Reason
	at     time.Duration
	// quiet is set once no call runs behind the closed gate any more.
	quiet bool
}

// SetRules takes in what the node's state says of who may take calls. A gate that was not told yet lets
// calls in: nodes that send them know the rules.
func (g *Gate) SetRules(rules *eligibility.Rules) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rules = rules
	if g.present {
		g.applyRules()
	}
}

// Closed returns why orders have closed the gate, empty if they have not.
func (g *Gate) Closed() exchange.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.present {
		return ""
	}
	return g.closing.reason
}

// applyRules closes the gate, or opens it again, as the rules say of the present back end. What is at
// work is finished. The back end's version is left out: refusesVersion decides on that for each call. The
// mutex is held.
func (g *Gate) applyRules() {
	reason := g.rules.Refuses(eligibility.Backend{Service: g.backend.Service, Zone: g.backend.Zone})
	before := g.closing
	if reason == before.reason {
		return
	}
	now := g.config.Now()
	if reason == "" {
		g.closing = closing{}
		g.tellClosing(ClosingChange{Took: now - before.at})
		g.assumeCold(now)
		return
	}
	g.closing = closing{reason: reason, at: now}
	dropped := len(g.queue)
	g.dropWaiting(reason)
	g.tellClosing(ClosingChange{Reason: reason, Dropped: dropped})
	g.noteQuiet()
}

// noteQuiet tells once that nothing is at work any more behind a closed gate; the mutex is held.
func (g *Gate) noteQuiet() {
	if g.closing.reason == "" || g.closing.quiet || g.running > 0 {
		return
	}
	g.closing.quiet = true
	g.tellClosing(ClosingChange{Reason: g.closing.reason, Quiet: true, Took: g.config.Now() - g.closing.at})
}

// tellClosing passes on what happened; the mutex is held.
func (g *Gate) tellClosing(c ClosingChange) {
	if g.config.OnClosing == nil {
		return
	}
	c.Backend, c.Running = g.backend.ID, g.running
	g.config.OnClosing(c)
}
