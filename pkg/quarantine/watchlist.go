package quarantine

import (
	"cmp"
	"slices"
)

// Entry is what nodes know of a suspect.
type Entry struct {
	Request     Fingerprint `json:"request"`
	Quarantined bool        `json:"quarantined,omitempty"`
	// Answered ways are not in quarantine.
	Answered []Way `json:"answered,omitempty"`
}

// Watchlist is what nodes know of all suspects that are watched or quarantined. It is immutable;
// nil is an empty one.
type Watchlist struct {
	// Modified is the revision of the distributed state that changed it last.
	Modified uint64  `json:"modified"`
	Entries  []Entry `json:"entries,omitempty"`
}

// Watchlist returns what nodes are to know.
func (t *Table) Watchlist(revision uint64) *Watchlist {
	list := &Watchlist{Modified: revision}
	for _, s := range t.told() {
		list.Entries = append(list.Entries, Entry{Request: s.Request, Quarantined: s.Quarantined, Answered: s.Answered})
	}
	// The same suspects are the same list, whichever changed last.
	slices.SortFunc(list.Entries, func(a, b Entry) int { return cmp.Compare(a.Request, b.Request) })
	return list
}

// told returns the suspects that nodes know: all that are in quarantine, then those with the most
// ends up to maxWatched.
func (t *Table) told() []Suspect {
	var told []Suspect
	for _, s := range t.All() {
		if s.suspicious() {
			told = append(told, s)
		}
	}
	slices.SortStableFunc(told, func(a, b Suspect) int { return -a.compare(&b) })
	watched := 0
	return slices.DeleteFunc(told, func(s Suspect) bool {
		if !s.Quarantined {
			watched++
		}
		return watched > maxWatched
	})
}

// Same reports whether two lists say the same.
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

// Since returns the list if it changed after a revision, or else nil.
func (l *Watchlist) Since(revision uint64) *Watchlist {
	if l == nil || l.Modified <= revision {
		return nil
	}
	return l
}
