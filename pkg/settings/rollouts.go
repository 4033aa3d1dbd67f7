package settings

import "bramblelift/pkg/rollout"

// Rollouts bounds how many of a service's calls a new version may get until it is proven.
type Rollouts struct {
	// ExposureShare is the share, from 0 to 1, of the service's calls between the start of the
	// rollout and its deadline. ExposureSlack is a number of calls in addition. Zero selects the default.
	ExposureShare float64 `toml:"exposure_share,omitempty"`
	ExposureSlack uint64  `toml:"exposure_slack,omitempty"`
}

const (
	defaultExposureShare = 0.1
	// defaultExposureSlack, in calls, allows a rollout of a service that gets few calls.
	defaultExposureSlack = 50
)

// Policy returns the bounds for package rollout, with defaults for zero values.
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

// checkRollouts checks the exposure share. Any slack is valid.
func (p *problems) checkRollouts(r Rollouts) {
	if r.ExposureShare < 0 || r.ExposureShare > 1 {
		p.add("rollouts.exposure_share", "must be from 0 to 1")
	}
}
