package balancer

import "slices"

// VersionChoice is which side of a rollout a call goes to. The zero value has no preference.
type VersionChoice struct {
	// Version is the one that the rollout brings, empty for no rollout.
	Version string
	// New prefers back ends of that version, otherwise those of all others.
	New bool
}

// prefer returns the candidates on the preferred side, or all of them if there is none: the gates of the
// new version still let in only what they are granted.
func (c VersionChoice) prefer(candidates []*endpoint) []*endpoint {
	if c.Version == "" {
		return candidates
	}
	preferred := slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool { return (e.target.Version == c.Version) != c.New })
	if len(preferred) == 0 {
		return candidates
	}
	return preferred
}
