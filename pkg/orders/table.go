package orders

import (
	"cmp"
	"slices"

	"bramblelift/pkg/rollout"
)

// Evacuation is an operator's order that a zone's back ends get nothing new.
type Evacuation struct {
	Zone string `json:"zone"`
	// AtMillis is the leader's wall clock at the order, in Unix milliseconds. It is only shown to
	// people.
	AtMillis int64 `json:"at_millis,omitempty"`
}

// Table is all orders in force. It is immutable; nil is an empty one.
type Table struct {
	// Modified is the revision of the distributed state that changed it last.
	Modified uint64 `json:"modified"`
	// Evacuations are sorted by zone.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// Rollouts are sorted by service; a service has one at most.
	Rollouts []rollout.Rollout `json:"rollouts,omitempty"`
}

// Change is one log entry about orders; just one of the fields is set.
type Change struct {
	// Evacuate takes a zone out of service, Readmit puts it back.
	Evacuate *Evacuation `json:"evacuate,omitempty"`
	Readmit  string      `json:"readmit,omitempty"`
	// Rollout starts, moves or ends a rollout.
	Rollout *rollout.Change `json:"rollout,omitempty"`
}

// Evacuated reports whether a zone's back ends get nothing new.
func (t *Table) Evacuated(zone string) bool {
	if t == nil {
		return false
	}
	_, found := t.findZone(zone)
	return found
}

// EvacuatedZones returns the orders about zones, by zone.
func (t *Table) EvacuatedZones() []Evacuation {
	if t == nil {
		return nil
	}
	return t.Evacuations
}

func (t *Table) findZone(zone string) (int, bool) {
	return slices.BinarySearchFunc(t.Evacuations, zone, func(e Evacuation, zone string) int { return cmp.Compare(e.Zone, zone) })
}

// RolloutOf returns a service's rollout, false if it never had one.
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

// With returns the table after a change that is in force from a revision on, t itself if the change
// brings nothing.
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

// Since returns the table if it changed after a revision, or else nil.
func (t *Table) Since(revision uint64) *Table {
	if t == nil || t.Modified <= revision {
		return nil
	}
	return t
}

// Fields describes a change for logs, as keys and values.
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

// AllRollouts returns the newest rollout of each service that had one.
func (t *Table) AllRollouts() []rollout.Rollout {
	if t == nil {
		return nil
	}
	return t.Rollouts
}
