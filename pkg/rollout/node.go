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

// Choose returns the side for a call; draw is a random number in [0, Thousandths). A retry goes to the old
// versions while they take calls, so that a bad version does not fail the same call twice. A careful node
// sends nothing to the new version while the old ones take calls.
func Choose(r Rollout, draw int, repeat, careful bool) Side {
	switch r.Phase {
	case Running:
		if careful || repeat && r.Share < Thousandths || draw >= r.Share {
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

// carefulFailures is the excess of failures over successes in a node's own calls at which it stops sending
// calls to the new version.
const carefulFailures = 4

// Caution tracks one node's own failures at the new version. The node stops sending calls to it before the
// control plane decides, until the share changes.
type Caution struct {
	number  uint64
	share   int
	balance int
}

// Note counts the outcome of a call to the new version.
func (c *Caution) Note(r Rollout, failed bool) {
	if c.number != r.Number || c.share != r.Share {
		*c = Caution{number: r.Number, share: r.Share}
	}
	if failed {
		c.balance++
		return
	}
	if c.balance > 0 && c.balance < carefulFailures {
		c.balance--
	}
}

// Careful reports whether the node sends the new version no calls at this share.
func (c *Caution) Careful(r Rollout) bool {
	return c.number == r.Number && c.share == r.Share && c.balance >= carefulFailures
}
