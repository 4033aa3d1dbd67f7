package gate

import (
	"net/http"
	"time"

	"bramblelift/pkg/exchange"
)

// LimitChange describes that a back end names another limit than before, none any more, or one that cannot
// be read.
type LimitChange struct {
	Backend string
	// Rate is in calls per second, if Limited.
	Rate    float64
	Limited bool
	// Heard is false if only other nodes have heard of the limit since this gate started.
	Heard bool
	// Invalid is a value that cannot be read, empty for none. It changes nothing.
	Invalid string
}

// recordStatement applies what the back end states about itself in a response. A misdirected call was answered by
// another back end at the same address.
func (g *Gate) recordStatement(adm admission, response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	said := exchange.ReadStatement(response.Header, g.config.Headers.Limit, g.config.Headers.Leaving)
	g.applyStatement(adm, said, !g.declined(response))
}

// recordHealthStatement applies a limit that the back end names in a response of its health path. Nothing else is concluded
// there: health paths may be served apart from calls, and may be wrong.
func (g *Gate) recordHealthStatement(adm admission, said exchange.Statement) {
	said.Leaving = false
	g.applyStatement(adm, said, false)
}

// applyStatement applies a statement; mayEndLimit says whether one without a limit ends it.
func (g *Gate) applyStatement(adm admission, said exchange.Statement, mayEndLimit bool) {
	left := g.applyStatementLocked(adm, said, mayEndLimit)
	if left && g.config.OnLeaving != nil {
		g.config.OnLeaving(adm.backend.ID, adm.backend.Incarnation)
	}
}

// applyStatementLocked implements applyStatement and reports whether the back end leaves from now on.
func (g *Gate) applyStatementLocked(adm admission, said exchange.Statement, mayEndLimit bool) (left bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if adm.generation != g.generation {
		return false
	}
	now := g.config.Now()
	switch {
	case said.Limited:
		g.nameLimit(now, said)
	case said.InvalidLimit == "" && mayEndLimit:
		g.limit.Omit(adm.admittedAt)
		g.reportLimit("")
		g.dispatch()
	default:
		g.reportLimit(said.InvalidLimit)
	}
	if !said.Leaving || !g.present {
		return false
	}
	g.saidLeaving = true
	g.remove(exchange.ReasonRemoved)
	return true
}

// nameLimit applies a limit that the back end names. g.mu must be held.
func (g *Gate) nameLimit(now time.Duration, said exchange.Statement) {
	g.limit.Name(now, said.Limit)
	g.reportLimit(said.InvalidLimit)
	g.dropDisplaced(now)
	g.dispatch()
}

// reportLimit calls OnLimit if the limit has changed, or if a response named one that cannot be read. g.mu
// must be held.
func (g *Gate) reportLimit(invalid string) {
	newInvalid := invalid != "" && invalid != g.invalidLimit
	g.invalidLimit = invalid
	if changed := g.limit.Changed(); g.config.OnLimit != nil && (changed || newInvalid) {
		g.config.OnLimit(LimitChange{Backend: g.backend.ID, Rate: g.limit.Rate(), Limited: g.limit.Limited(), Heard: g.limit.Heard(), Invalid: invalid})
	}
}
