package balancer

import (
	"slices"

	"bramblelift/pkg/rollout"
)

// VersionChoice selects the side of a rollout that a call goes to. The zero value has no preference.
type VersionChoice struct {
	Rollout *rollout.Rollout
	Side    rollout.Side
}

// prefer returns the candidates on the chosen side, or all if there is none: each gate enforces its version's
// grant in any case.
func (c VersionChoice) prefer(candidates []*endpoint) []*endpoint {
	if c.Rollout == nil {
		return candidates
	}
	preferred := slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool { return !c.Side.Allows(*c.Rollout, e.target.Version) })
	if len(preferred) == 0 {
		return candidates
	}
	return preferred
}
