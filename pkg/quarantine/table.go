package quarantine

import (
	"cmp"
	"slices"
)

const (
	// watchCrashes is the number of crashes that make a request watched. Most requests in flight at one crash
	// are harmless; from the second on there is time to see a response before a third.
	watchCrashes = 2
	// quarantineCrashes is the number of crashes without a response in between that allow a quarantine. A
	// harmless request is in flight at that many only if it is frequent, and then it gets a response elsewhere
	// within responseWait.
	quarantineCrashes = 3
	// maxSuspects bounds the table. Each crash adds the requests in flight, and nearly all of them are soon
	// forgotten.
	maxSuspects = 128
	// maxWatched bounds the watched requests on the watchlist, which is sent in full after each change.
	// Further ones wait until some get a response. The list then takes a kilobyte, or six if maxSuspects
	// requests are in quarantine.
	maxWatched = 16
	// maxCrashes and maxWays bound the history of one suspect.
	maxCrashes = 8
	maxWays    = 8
)

// Suspect is a request that was in flight at crashed back ends.
type Suspect struct {
	Request Fingerprint `json:"request"`
	Ends    []End       `json:"ends"`
	// Answered lists the ways on which a response arrived after the last crash there.
	Answered    []Way `json:"answered,omitempty"`
	Quarantined bool  `json:"quarantined,omitempty"`
	// Terms counts quarantines that were lifted at the end of their term.
	Terms int `json:"terms,omitempty"`
	// Changed is the table's change count when the suspect last changed.
	Changed uint64 `json:"changed"`
}

// crashCount returns the number of crashes that are not void.
func (s *Suspect) crashCount() int {
	count := 0
	for _, end := range s.Ends {
		if !end.Void {
			count++
		}
	}
	return count
}

// crashedWhileWatched reports whether a crash that is not void came from an attempt admitted while the request
// was watched.
func (s *Suspect) crashedWhileWatched() bool {
	return slices.ContainsFunc(s.Ends, func(e End) bool { return e.Watched && !e.Void })
}

// crashesWithin reports whether other was in flight at all crashes of s that are not void.
func (s *Suspect) crashesWithin(other *Suspect) bool {
	return !slices.ContainsFunc(s.Ends, func(e End) bool { return !e.Void && !other.inFlightAtCrashOf(e.Instance) })
}

// inFlightAtCrashOf reports whether the request was in flight at a crash of the instance that is not void.
func (s *Suspect) inFlightAtCrashOf(instance string) bool {
	return slices.ContainsFunc(s.Ends, func(e End) bool { return !e.Void && e.Instance == instance })
}

// sameCrashes reports whether two suspects were in flight at the same crashes, apart from void ones.
func (s *Suspect) sameCrashes(other *Suspect) bool {
	return s.Request != other.Request && s.crashesWithin(other) && other.crashesWithin(s)
}

// Standing returns the standing for callers and services that have had no response to the request since its
// last crash.
func (s *Suspect) Standing() Standing {
	switch {
	case s.Quarantined:
		return Quarantined
	case s.watchedOrQuarantined():
		return Watched
	}
	return Unsuspected
}

// watchedOrQuarantined reports whether the suspect may be on the watchlist.
func (s *Suspect) watchedOrQuarantined() bool { return s.Quarantined || s.crashCount() >= watchCrashes }

// Table holds all suspects. It is immutable; nil is an empty table.
type Table struct {
	// Suspects are in order of their first crash.
	Suspects []Suspect `json:"suspects"`
	// Changes counts the changes of the table.
	Changes uint64 `json:"changes"`
}

// Empty reports whether there are no suspects.
func (t *Table) Empty() bool { return t == nil || len(t.Suspects) == 0 }

// All returns the suspects, which must not be modified.
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

// quarantineExplains reports whether one quarantined request was in flight at all crashes of s and thus
// probably caused them.
func (t *Table) quarantineExplains(s *Suspect) bool {
	return slices.ContainsFunc(t.All(), func(other Suspect) bool {
		return other.Quarantined && other.Request != s.Request && s.crashesWithin(&other)
	})
}

// hasTie reports whether another suspect outside quarantine was in flight at the same crashes, so that one of
// them may be harmless.
func (t *Table) hasTie(s *Suspect) bool {
	return slices.ContainsFunc(t.All(), func(other Suspect) bool { return !other.Quarantined && s.sameCrashes(&other) })
}

// NewEvidence returns the evidence that the table doesn't contain, without duplicates. Gates resend their evidence.
func (t *Table) NewEvidence(evidence Evidence) Evidence {
	var added Evidence
	for _, end := range evidence.Ends {
		same := func(e End) bool { return e.Request == end.Request && e.Instance == end.Instance }
		suspect := t.find(end.Request)
		known := suspect != nil && slices.ContainsFunc(suspect.Ends, same)
		if !known && !slices.ContainsFunc(added.Ends, same) {
			added.Ends = append(added.Ends, end)
		}
	}
	for _, answer := range evidence.Answers {
		suspect := t.find(answer.Request)
		known := suspect == nil || slices.Contains(suspect.Answered, answer.Way)
		if !known && !slices.Contains(added.Answers, answer) {
			added.Answers = append(added.Answers, answer)
		}
	}
	return added
}

// With returns a new table with the change applied, or t if the change has no effect.
func (t *Table) With(change Change) *Table {
	next := &Table{}
	if t != nil {
		next.Suspects, next.Changes = slices.Clone(t.Suspects), t.Changes
	}
	next.Changes++
	added := next.NewEvidence(change.Evidence)
	changed := !added.Empty()
	for _, end := range added.Ends {
		next.addCrash(end)
	}
	for _, answer := range added.Answers {
		next.addResponse(answer)
	}
	for _, verdict := range change.Verdicts {
		changed = next.apply(verdict) || changed
	}
	if !changed {
		return t
	}
	next.evict()
	return next
}

// edit copies the suspect's slices before they are modified and records the change.
func (t *Table) edit(s *Suspect) {
	s.Ends, s.Answered = slices.Clone(s.Ends), slices.Clone(s.Answered)
	s.Changed = t.Changes
}

func (t *Table) addCrash(end End) {
	s := t.find(end.Request)
	if s == nil {
		t.Suspects = append(t.Suspects, Suspect{Request: end.Request})
		s = &t.Suspects[len(t.Suspects)-1]
	}
	t.edit(s)
	end.Void = false
	s.Ends = append(s.Ends, end)
	if len(s.Ends) > maxCrashes {
		s.Ends = s.Ends[len(s.Ends)-maxCrashes:]
	}
	s.Answered = slices.DeleteFunc(s.Answered, func(w Way) bool { return w == end.Way })
}

// addResponse voids the crashes on the response's way. It ends a quarantine without any other crashes.
func (t *Table) addResponse(answer Answer) {
	s := t.find(answer.Request)
	t.edit(s)
	for i := range s.Ends {
		s.Ends[i].Void = s.Ends[i].Void || s.Ends[i].Way == answer.Way
	}
	s.Answered = append(s.Answered, answer.Way)
	if len(s.Answered) > maxWays {
		s.Answered = s.Answered[1:]
	}
	if s.crashCount() == 0 {
		s.Quarantined = false
	}
}

// apply executes a verdict if the suspect's state still allows it, and reports whether anything changed.
func (t *Table) apply(verdict Verdict) bool {
	s := t.find(verdict.Request)
	if s == nil {
		return false
	}
	switch {
	case verdict.Ruling == Impose && !s.Quarantined && s.crashCount() >= quarantineCrashes:
		t.edit(s)
		s.Quarantined = true
	case verdict.Ruling == Lift && s.Quarantined:
		t.edit(s)
		s.Quarantined = false
		s.Terms++
		s.startTrial()
	case verdict.Ruling == Forget && !s.Quarantined:
		t.Suspects = slices.DeleteFunc(t.Suspects, func(other Suspect) bool { return other.Request == verdict.Request })
	default:
		return false
	}
	return true
}

// startTrial voids crashes until one more is needed for a quarantine.
func (s *Suspect) startTrial() {
	excess := s.crashCount() - (quarantineCrashes - 1)
	for i := range s.Ends {
		if excess > 0 && !s.Ends[i].Void {
			s.Ends[i].Void = true
			excess--
		}
	}
}

// evict drops the suspects with the lowest priority beyond maxSuspects.
func (t *Table) evict() {
	for len(t.Suspects) > maxSuspects {
		least := 0
		for i := range t.Suspects {
			if t.Suspects[i].comparePriority(&t.Suspects[least]) < 0 {
				least = i
			}
		}
		t.Suspects = slices.Delete(t.Suspects, least, least+1)
	}
}

// comparePriority orders suspects by quarantine, number of crashes and last change, lowest priority first.
func (s *Suspect) comparePriority(other *Suspect) int {
	switch {
	case s.Quarantined && !other.Quarantined:
		return 1
	case !s.Quarantined && other.Quarantined:
		return -1
	}
	return cmp.Or(cmp.Compare(s.crashCount(), other.crashCount()), cmp.Compare(s.Changed, other.Changed))
}
