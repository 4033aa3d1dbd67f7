package quarantine

import (
	"cmp"
	"slices"
)

// Entry is the watchlist's information on one suspect.
type Entry struct {
	Request     Fingerprint `json:"request"`
	Quarantined bool        `json:"quarantined,omitempty"`
	// Answered lists the ways that are exempt from the quarantine.
	Answered []Way `json:"answered,omitempty"`
}

// Watchlist holds all quarantined requests and up to maxWatched watched ones, as sent to nodes. It is
// immutable; nil is an empty list.
type Watchlist struct {
	// Modified is the revision of the distributed state at its last change.
	Modified uint64  `json:"modified"`
	Entries  []Entry `json:"entries,omitempty"`
}

// Watchlist returns the list to send to nodes.
func (t *Table) Watchlist(revision uint64) *Watchlist {
	list := &Watchlist{Modified: revision}
	for _, s := range t.published() {
		list.Entries = append(list.Entries, Entry{Request: s.Request, Quarantined: s.Quarantined, Answered: s.Answered})
	}
	// Sorting makes the order independent of the order of changes.
	slices.SortFunc(list.Entries, func(a, b Entry) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

// published returns the suspects on the watchlist: all quarantined ones, then up to maxWatched others with the
// most crashes.
func (t *Table) published() []Suspect {
	var published []Suspect
	for _, s := range t.All() {
		if s.watchedOrQuarantined() {
			published = append(published, s)
		}
	}
	slices.SortStableFunc(published, func(a, b Suspect) int { return -a.comparePriority(&b) })
	watched := 0
	return slices.DeleteFunc(published, func(s Suspect) bool {
		if !s.Quarantined {
			watched++
		}
		return watched > maxWatched
	})
}

// Same reports whether two lists have the same entries.
func (l *Watchlist) Same(other *Watchlist) bool {
	return slices.EqualFunc(l.entries(), other.entries(), func(a, b Entry) bool {
		return a.Request == b.Request && a.Quarantined == b.Quarantined && slices.Equal(a.Answered, b.Answered)
	})
}

func (l *Watchlist) entries() []Entry {
	if l == nil {
		return nil
	}
	return l.Entries
}

// Since returns the list if it changed after a revision, otherwise nil.
func (l *Watchlist) Since(revision uint64) *Watchlist {
	if l == nil || l.Modified <= revision {
		return nil
	}
	return l
}
