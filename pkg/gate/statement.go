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
	g.mu.Lock()
	defer g.mu.Unlock()
	if adm.generation != g.generation {
		return
	}
	switch {
	case said.Limited:
		g.limit.name(g.config.Now(), said.Limit)
	case said.InvalidLimit == "" && !g.declined(response):
		g.limit.omit(adm.admittedAt)
	}
	g.reportLimit(said.InvalidLimit)
}

// reportLimit calls OnLimit if the limit has changed, or if a response named one that cannot be read. g.mu
// must be held.
func (g *Gate) reportLimit(invalid string) {
	newInvalid := invalid != "" && invalid != g.limit.invalid
	g.limit.invalid = invalid
	if changed := g.limit.changed(); g.config.OnLimit != nil && (changed || newInvalid) {
		g.config.OnLimit(LimitChange{Backend: g.backend.ID, Rate: g.limit.rate, Limited: g.limit.limited, Invalid: invalid})
	}
}

// limitReport returns the named limit for the load report. g.mu must be held.
func (g *Gate) limitReport(time.Duration) exchange.Limit {
	return exchange.Limit{Named: g.limit.limited, Rate: g.limit.rate}
}
