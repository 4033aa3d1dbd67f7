package settings

import (
	"time"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/quota"
)

// Quotas sets by how much the calls admitted by all nodes together may exceed tenants' limits. Zero values
// select defaults.
type Quotas struct {
	// Window is the sliding window over which calls are counted: in any window all nodes together admit at most
	// (rate x window + burst) x (1 + overage) + slack calls of a tenant. It must be the same for all processes.
	Window bundle.Duration `toml:"window,omitempty"`
	// Overage is the fraction by which a limit may be exceeded; Slack is a number of calls in addition, for tenants
	// with small limits.
	Overage float64 `toml:"overage,omitempty"`
	Slack   float64 `toml:"slack,omitempty"`
}

const (
	// defaultQuotaWindow is much longer than the half second in which nodes learn of a surge of calls.
	defaultQuotaWindow = 5 * time.Second
	// minQuotaWindow is the shortest window in which nodes can enforce limits together.
	minQuotaWindow = 2 * time.Second
	// defaultQuotaOverage and defaultQuotaSlack cover the calls that nodes admit before they learn of a surge.
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 20
)

// Policy returns the bounds for package quota, with defaults for zero values.
func (q Quotas) Policy() quota.Policy {
	policy := quota.Policy{Window: time.Duration(q.Window), Overage: q.Overage, Slack: q.Slack}
	if policy.Window == 0 {
		policy.Window = defaultQuotaWindow
	}
	if policy.Overage == 0 {
		policy.Overage = defaultQuotaOverage
	}
	if policy.Slack == 0 {
		policy.Slack = defaultQuotaSlack
	}
	return policy
}

// checkQuotas checks the window, the overage and the slack.
func (p *problems) checkQuotas(q Quotas) {
	if q.Window != 0 && time.Duration(q.Window) < minQuotaWindow {
		p.add("quotas.window", "must be at least %s", minQuotaWindow)
	}
	if q.Overage < 0 || q.Slack < 0 {
		p.add("quotas", "overage and slack must not be negative")
	}
}
