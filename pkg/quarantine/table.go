package quarantine

import (
	"cmp"
	"slices"
)

const (
	// WatchEnds back ends that ended while they had a request make it watched: what one had is
	// mostly innocent, and with two there is time to look for an answer before a third.
	WatchEnds = 2
	// QuarantineEnds back ends that ended, with no answer in between, keep a request from more.
	// By chance that happens to a request that is at work nearly all the time, which then is
	// answered elsewhere within answerTime.
	QuarantineEnds = 3
	// maxSuspects bounds the table. A back end that ends makes suspects of what it had, some ten
	// requests, nearly all of which are soon forgotten.
	maxSuspects = 128
	// maxWatched bounds how many of those that are not in quarantine nodes are told of at a time,
	// whose list is sent whole when it changes. It then takes a kilobyte, or six if 128 requests are
	// in quarantine (TestWatchlistIsSmall). Others wait until some are answered.
	maxWatched = 16
	// maxEnds and maxWays bound what is remembered of one suspect.
	maxEnds = 8
	maxWays = 8
)

// Way is on whose behalf a request goes to which service. One may be harmless to the back ends of
// one service and end those of another, such as a new version's, and a caller's credentials may
// decide.
type Way struct {
	Caller  string `json:"caller,omitempty"`
	Service string `json:"service,omitempty"`
}

// End is the end of a back end that had a request.
type End struct {
	Request  Fingerprint `json:"request"`
	Instance string      `json:"instance"`
	Way      Way         `json:"way"`
	// Void ends do not count any more: an answer came on their way after them.
	Void bool `json:"void,omitempty"`
}

// Answer is a back end's answer to a suspect.
type Answer struct {
	Request Fingerprint `json:"request"`
	Way     Way         `json:"way"`
}

// Evidence is what gates have seen.
type Evidence struct {
	Ends    []End    `json:"ends,omitempty"`
	Answers []Answer `json:"answers,omitempty"`
}

// Empty reports whether there is none.
func (e Evidence) Empty() bool { return len(e.Ends) == 0 && len(e.Answers) == 0 }

// Join adds other evidence after this.
func (e Evidence) Join(other Evidence) Evidence {
	return Evidence{Ends: slices.Concat(e.Ends, other.Ends), Answers: slices.Concat(e.Answers, other.Answers)}
}

// Ruling is what the leader decides on a suspect.
type Ruling string

const (
	// Impose keeps the request from back ends.
	Impose Ruling = "impose"
	// Lift lets it through again, on trial: one more end and it is kept away for longer.
	Lift Ruling = "lift"
	// Forget drops the suspect.
	Forget Ruling = "forget"
)

// Verdict is a ruling on one suspect.
type Verdict struct {
	Request Fingerprint `json:"request"`
	Ruling  Ruling      `json:"ruling"`
}

// Change is what changes a table: evidence, then verdicts.
type Change struct {
	Evidence Evidence  `json:"evidence,omitzero"`
	Verdicts []Verdict `json:"verdicts,omitempty"`
}

// Suspect is a request that back ends had when they ended.
type Suspect struct {
	Request Fingerprint `json:"request"`
	Ends    []End       `json:"ends"`
	// Answered are the ways on which an answer came after the last end there.
	Answered    []Way `json:"answered,omitempty"`
	Quarantined bool  `json:"quarantined,omitempty"`
	// Terms is how often a quarantine was lifted because its time was up.
	Terms int `json:"terms,omitempty"`
	// Changed is the table's count of changes at the last one.
	Changed uint64 `json:"changed"`
}

// counted returns how many ends count.
func (s *Suspect) counted() int {
	count := 0
	for _, end := range s.Ends {
		if !end.Void {
			count++
		}
	}
	return count
}

// Standing is that on ways on which no answer is known.
func (s *Suspect) Standing() Standing {
	switch {
	case s.Quarantined:
		return Quarantined
	case s.suspicious():
		return Watched
	}
	return Unsuspected
}

// suspicious reports whether nodes should know of the suspect.
func (s *Suspect) suspicious() bool { return s.Quarantined || s.counted() >= WatchEnds }

// Table is what is known of all suspects. It is immutable; nil is an empty one.
type Table struct {
	// Suspects are in the order in which they came.
	Suspects []Suspect `json:"suspects"`
	// Changes counts the changes so far.
	Changes uint64 `json:"changes"`
}

// Empty reports whether there are no suspects.
func (t *Table) Empty() bool { return t == nil || len(t.Suspects) == 0 }

// All returns the suspects, which must not be changed.
func (t *Table) All() []Suspect {
	if t == nil {
		return nil
	}
	return t.Suspects
}

func (t *Table) find(request Fingerprint) *Suspect {
	if t == nil {
		return nil
	}
	i := slices.IndexFunc(t.Suspects, func(s Suspect) bool { return s.Request == request })
	if i < 0 {
		return nil
	}
	return &t.Suspects[i]
}

// News returns what of some evidence the table does not have, each once: gates repeat theirs.
func (t *Table) News(evidence Evidence) Evidence {
	var news Evidence
	for _, end := range evidence.Ends {
		same := func(e End) bool { return e.Request == end.Request && e.Instance == end.Instance }
		held := t.find(end.Request)
		known := held != nil && slices.ContainsFunc(held.Ends, same)
		if !known && !slices.ContainsFunc(news.Ends, same) {
			news.Ends = append(news.Ends, end)
		}
	}
	for _, answer := range evidence.Answers {
		held := t.find(answer.Request)
		known := held == nil || slices.Contains(held.Answered, answer.Way)
		if !known && !slices.Contains(news.Answers, answer) {
			news.Answers = append(news.Answers, answer)
		}
	}
	return news
}

// With returns the table after a change, t itself if that brings nothing.
func (t *Table) With(change Change) *Table {
	next := &Table{}
	if t != nil {
		next.Suspects, next.Changes = slices.Clone(t.Suspects), t.Changes
	}
	next.Changes++
	news := next.News(change.Evidence)
	changed := !news.Empty()
	for _, end := range news.Ends {
		next.takeEnd(end)
	}
	for _, answer := range news.Answers {
		next.takeAnswer(answer)
	}
	for _, verdict := range change.Verdicts {
		changed = next.rule(verdict) || changed
	}
	if !changed {
		return t
	}
	next.evict()
	return next
}

// edit gives a suspect of this table lists of its own, and notes that it changes.
func (t *Table) edit(s *Suspect) {
	s.Ends, s.Answered = slices.Clone(s.Ends), slices.Clone(s.Answered)
	s.Changed = t.Changes
}

func (t *Table) takeEnd(end End) {
	s := t.find(end.Request)
	if s == nil {
		t.Suspects = append(t.Suspects, Suspect{Request: end.Request})
		s = &t.Suspects[len(t.Suspects)-1]
	}
	t.edit(s)
	end.Void = false
	s.Ends = append(s.Ends, end)
	if len(s.Ends) > maxEnds {
		s.Ends = s.Ends[len(s.Ends)-maxEnds:]
	}
	s.Answered = slices.DeleteFunc(s.Answered, func(w Way) bool { return w == end.Way })
}

// takeAnswer makes the ends on the answer's way void. A quarantine that rests on none is over.
func (t *Table) takeAnswer(answer Answer) {
	s := t.find(answer.Request)
	t.edit(s)
	for i := range s.Ends {
		s.Ends[i].Void = s.Ends[i].Void || s.Ends[i].Way == answer.Way
	}
	s.Answered = append(s.Answered, answer.Way)
	if len(s.Answered) > maxWays {
		s.Answered = s.Answered[1:]
	}
	if s.counted() == 0 {
		s.Quarantined = false
	}
}

// rule carries out a verdict if it still fits, and reports whether anything changed.
func (t *Table) rule(verdict Verdict) bool {
	s := t.find(verdict.Request)
	if s == nil {
		return false
	}
	switch {
	case verdict.Ruling == Impose && !s.Quarantined && s.counted() >= QuarantineEnds:
		t.edit(s)
		s.Quarantined = true
	case verdict.Ruling == Lift && s.Quarantined:
		t.edit(s)
		s.Quarantined = false
		s.Terms++
		s.onTrial()
	case verdict.Ruling == Forget && !s.Quarantined:
		t.Suspects = slices.DeleteFunc(t.Suspects, func(other Suspect) bool { return other.Request == verdict.Request })
	default:
		return false
	}
	return true
}

// onTrial leaves one end less to count than a quarantine takes.
func (s *Suspect) onTrial() {
	excess := s.counted() - (QuarantineEnds - 1)
	for i := range s.Ends {
		if excess > 0 && !s.Ends[i].Void {
			s.Ends[i].Void = true
			excess--
		}
	}
}

// evict drops suspects beyond the bound: those with the fewest ends, and of them the oldest.
func (t *Table) evict() {
	for len(t.Suspects) > maxSuspects {
		least := 0
		for i := range t.Suspects {
			if t.Suspects[i].compare(&t.Suspects[least]) < 0 {
				least = i
			}
		}
		t.Suspects = slices.Delete(t.Suspects, least, least+1)
	}
}

// compare orders suspects by how much they matter, the least first: those in quarantine come after
// all others, then it is more ends, then the later change.
func (s *Suspect) compare(other *Suspect) int {
	switch {
	case s.Quarantined && !other.Quarantined:
		return 1
	case !s.Quarantined && other.Quarantined:
		return -1
	}
	return cmp.Or(cmp.Compare(s.counted(), other.counted()), cmp.Compare(s.Changed, other.Changed))
}

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
