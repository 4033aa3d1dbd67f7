package settings

import "bramblelift/pkg/rollout"

// Rollouts bound what a version that turns out bad may get of a service's calls.
type Rollouts struct {
	// ExposureShare is the part of the calls that reach the service from order to deadline, from 0 to
	// 1; ExposureSlack is the number of calls beyond it.
	ExposureShare float64 `toml:"exposure_share,omitempty"`
	ExposureSlack uint64  `toml:"exposure_slack,omitempty"`
}

const (
	// defaultExposureShare bounds what a version that turns out bad gets to a tenth of the calls.
	defaultExposureShare = 0.1
	// defaultExposureSlack, in calls, lets a service with few calls be judged at all.
	defaultExposureSlack = 50
)

// Policy returns the bounds as the decisions take them, with the defaults for what is not set.
func (r Rollouts) Policy() rollout.Policy {
	policy := rollout.Policy{ExposureShare: r.ExposureShare, ExposureSlack: r.ExposureSlack}
	if policy.ExposureShare == 0 {
		policy.ExposureShare = defaultExposureShare
	}
	if policy.ExposureSlack == 0 {
		policy.ExposureSlack = defaultExposureSlack
	}
	return policy
}

// checkRollouts checks the bounds of rollouts. Any slack will do.
func (p *problems) checkRollouts(r Rollouts) {
	if r.ExposureShare < 0 || r.ExposureShare > 1 {
		p.add("rollouts.exposure_share", "must be from 0 to 1")
	}
}
