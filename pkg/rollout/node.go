package rollout

// Side is which back ends a call may go to.
type Side uint8

const (
	// AnyVersion is said of services without a rollout: all back ends are ordinary ones.
	AnyVersion Side = iota
	// OldVersions are back ends of any but the target version.
	OldVersions
	// NewVersion are back ends of the target version.
	NewVersion
)

// Choose returns which back ends a call goes to. Draw is a random number below Thousandths. A call that
// repeats an earlier one goes to the old version while it can: a bad version is given no call twice. A
// careful node gives nothing to the new version while the old one takes calls.
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

// Allows reports whether a back end of a version is on a side.
func (s Side) Allows(r Rollout, version string) bool {
	switch s {
	case OldVersions:
		return version != r.Version
	case NewVersion:
		return version == r.Version
	}
	return true
}

// carefulFailures is how many failures more than good answers, by its own last calls, make a node stop
// giving calls to the new version until control says more.
const carefulFailures = 4

// Caution is what one node has seen of the new version itself. It acts on first signs, before control
// does: the node gives the version nothing until a later step is held.
type Caution struct {
	number  uint64
	share   int
	balance int
}

// Note counts how a call to the new version ended.
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

// Careful reports whether the node gives the new version nothing for now.
func (c *Caution) Careful(r Rollout) bool {
	return c.number == r.Number && c.share == r.Share && c.balance >= carefulFailures
}
