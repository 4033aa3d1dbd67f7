package orders

import (
	"cmp"
	"slices"

	"bramblelift/pkg/rollout"
)

// Evacuation is an order that back ends in a zone take no new calls.
type Evacuation struct {
	Zone string `json:"zone"`
	// AtMillis is the leader's wall-clock time of the order in Unix milliseconds, for display only.
	AtMillis int64 `json:"at_millis,omitempty"`
}

// Table holds the evacuations in force and the latest rollout of each service. It is immutable; nil is an empty
// table.
type Table struct {
	// Modified is the revision of the distributed state at the table's last change.
	Modified uint64 `json:"modified"`
	// Evacuations are sorted by zone.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Rollouts are sorted by service, with at most one per service.
	Rollouts []rollout.Rollout `json:"rollouts,omitempty"`
}

// Change is a log entry that modifies the table. Exactly one field is set.
type Change struct {
	// Evacuate starts the evacuation of a zone; Readmit names a zone whose evacuation ends.
	Evacuate *Evacuation `json:"evacuate,omitempty"`
	Readmit  string      `json:"readmit,omitempty"`
	// Rollout starts, advances or ends a rollout.
	Rollout *rollout.Change `json:"rollout,omitempty"`
}

// Evacuated reports whether a zone is evacuated.
func (t *Table) Evacuated(zone string) bool {
	if t == nil {
		return false
	}
	_, found := t.findZone(zone)
	return found
}

// EvacuatedZones returns all evacuations, sorted by zone.
func (t *Table) EvacuatedZones() []Evacuation {
	if t == nil {
		return nil
	}
	return t.Evacuations
}

func (t *Table) findZone(zone string) (int, bool) {
	return slices.BinarySearchFunc(t.Evacuations, zone, func(e Evacuation, zone string) int { return cmp.Compare(e.Zone, zone) })
}

// RolloutOf returns the latest rollout of a service, false if there was none.
func (t *Table) RolloutOf(service string) (rollout.Rollout, bool) {
	if t == nil {
		return rollout.Rollout{}, false
	}
	i := slices.IndexFunc(t.Rollouts, func(r rollout.Rollout) bool { return r.Service == service })
	if i < 0 {
		return rollout.Rollout{}, false
	}
	return t.Rollouts[i], true
}

// With returns a new table with the change applied at a revision, or t if the change has no effect.
func (t *Table) With(change Change, revision uint64) *Table {
	next := t.clone()
	switch {
	case change.Evacuate != nil && !t.Evacuated(change.Evacuate.Zone):
		i, _ := next.findZone(change.Evacuate.Zone)
		next.Evacuations = slices.Insert(next.Evacuations, i, *change.Evacuate)
	case change.Readmit != "" && t.Evacuated(change.Readmit):
		i, _ := next.findZone(change.Readmit)
		next.Evacuations = slices.Delete(next.Evacuations, i, i+1)
	case change.Rollout != nil:
		changed := false
		if next.Rollouts, changed = rollout.Apply(next.Rollouts, *change.Rollout); !changed {
			return t
		}
	default:
		return t
	}
	next.Modified = revision
	return next
}

func (t *Table) clone() *Table {
	if t == nil {
		return &Table{}
	}
	return &Table{Modified: t.Modified, Evacuations: slices.Clone(t.Evacuations), Rollouts: slices.Clone(t.Rollouts)}
}

// Since returns the table if it changed after a revision, otherwise nil.
func (t *Table) Since(revision uint64) *Table {
	if t == nil || t.Modified <= revision {
		return nil
	}
	return t
}

// Fields returns the change as alternating keys and values for a log message.
func (c Change) Fields() []any {
	switch {
	case c.Evacuate != nil:
		return []any{"order", "evacuate", "zone", c.Evacuate.Zone}
	case c.Readmit != "":
		return []any{"order", "readmit", "zone", c.Readmit}
	case c.Rollout != nil:
		r := c.Rollout.Rollout
		return []any{"order", "rollout", "service", r.Service, "version", r.Version, "number", r.Number, "phase", r.Phase}
	}
	return []any{"order", "none"}
}

// AllRollouts returns the latest rollout of each service, sorted by service.
func (t *Table) AllRollouts() []rollout.Rollout {
	if t == nil {
		return nil
	}
	return t.Rollouts
}
