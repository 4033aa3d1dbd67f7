package rollout

// Side selects the back ends that may take a call, by version.
type Side uint8

const (
	// AnyVersion allows all back ends, for services without a rollout.
	AnyVersion Side = iota
	// OldVersions allows back ends of all versions but the target version.
	OldVersions
	// NewVersion allows back ends of the target version.
	NewVersion
)

// Choose returns the side for a call; draw is a random number in [0, FullShare). A retry goes to the old
// versions while they take calls, so that a bad version does not fail the same call twice. With avoidNew
// set, the new version gets no calls while the old ones take calls.
func Choose(r Rollout, draw int, repeat, avoidNew bool) Side {
	switch r.Phase {
	case Running:
		if avoidNew || repeat && r.Share < FullShare || draw >= r.Share {
			return OldVersions
		}
		return NewVersion
	case Closing, Completed:
		return NewVersion
	case Reverting, RolledBack:
		return OldVersions
	}
	return AnyVersion
}

// Allows reports whether a back end of the given version belongs to the side.
func (s Side) Allows(r Rollout, version string) bool {
	switch s {
	case OldVersions:
		return version != r.Version
	case NewVersion:
		return version == r.Version
	}
	return true
}

// failureGuardThreshold is the excess of failures over successes in a node's own calls at which it stops sending
// calls to the new version.
const failureGuardThreshold = 4

// FailureGuard tracks one node's own failures at the new version. The node stops sending calls to it before the
// control plane decides, until the share changes.
type FailureGuard struct {
	number  uint64
	share   int
	balance int
}

// Record counts the outcome of a call to the new version.
func (g *FailureGuard) Record(r Rollout, failed bool) {
	if g.number != r.Number || g.share != r.Share {
		*g = FailureGuard{number: r.Number, share: r.Share}
	}
	if failed {
		g.balance++
		return
	}
	if g.balance > 0 && g.balance < failureGuardThreshold {
		g.balance--
	}
}

// AvoidsNewVersion reports whether the node sends the new version no calls at this share.
func (g *FailureGuard) AvoidsNewVersion(r Rollout) bool {
	return g.number == r.Number && g.share == r.Share && g.balance >= failureGuardThreshold
}
