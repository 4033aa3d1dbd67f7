package balancer

import (
	"slices"

	"bramblelift/pkg/rollout"
)

// VersionChoice is which side of a rollout a call goes to. The zero value has no preference.
type VersionChoice struct {
	Rollout *rollout.Rollout
	Side    rollout.Side
}

// prefer returns the candidates on the chosen side, or all of them if there is none: gates let in only
// what their version may get in any case.
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
