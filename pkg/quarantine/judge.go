package quarantine

import (
	"slices"
	"time"
)

const (
	// responseWait is how long nodes must have watched a suspect without a response before its quarantine. It
	// starts with a crash of an attempt that was admitted while watched: without such an attempt, a missing
	// response may only mean that no back end could take the request. A request that is at three crashes by
	// chance comes often enough to get a response within it; 13 innocent ones that were at up to seven crashes
	// in nine seconds did.
	responseWait = time.Second
	// firstTerm is the duration of a first quarantine. It doubles after each trial that fails, up to maxTerm:
	// a request that stays fatal is tried ten times in the first day, and one that has become harmless, as its
	// service was repaired, is admitted within the term.
	firstTerm = 10 * time.Minute
	maxTerm   = 4 * time.Hour
	// forgetTime is how long a suspect outside quarantine is kept after its last change.
	forgetTime = 10 * time.Minute
	// conclusiveCrashes is the number of crashes from which a suspect is quarantined even if no back end could
	// have responded: every new back end may crash soon after it joins.
	conclusiveCrashes = 5
	// answerableRecheck is the interval of checks whether a service has a back end again.
	answerableRecheck = 100 * time.Millisecond
	// idleInterval is the interval of checks without pending decisions; it exceeds all terms.
	idleInterval = 24 * time.Hour
)

// term returns the duration of the suspect's quarantine.
func (s *Suspect) term() time.Duration {
	term := firstTerm
	for range s.Terms {
		term = min(2*term, maxTerm)
	}
	return term
}

// Judge decides when to impose or lift a quarantine and to forget suspects. It measures times from its own
// observations, so that each new leader starts over. It is not safe for concurrent use.
type Judge struct {
	// Answerable, if set, reports whether the suspect's service has a running back end that could respond. A
	// missing response is evidence only while there is one.
	Answerable func(*Suspect) bool
	observed   map[Fingerprint]observation
}

// observation is a suspect's state and when each part of it last changed.
type observation struct {
	// published is set if nodes receive the suspect, crashedWatched if it crashed back ends while watched and
	// these crashes are not attributed to a quarantined request.
	published, crashedWatched, quarantined                           bool
	changed                                                          uint64
	publishedAt, crashedWatchedAt, quarantineChangedAt, lastChangeAt time.Duration
	// tied is set while another suspect was in flight at the same crashes.
	tied bool
	// answerable is set while a back end could respond, without interruption since answerableSince.
	answerable      bool
	answerableSince time.Duration
}

// NewJudge returns a judge without observations.
func NewJudge() *Judge { return &Judge{observed: map[Fingerprint]observation{}} }

// Due returns the verdicts that are due and the time until the next check if the table doesn't change.
func (j *Judge) Due(now time.Duration, table *Table) (verdicts []Verdict, wait time.Duration) {
	j.observeAll(now, table)
	wait = idleInterval
	var imposed []*Suspect
	for i := range table.All() {
		s := &table.Suspects[i]
		ruling, due := decide(now, s, j.observed[s.Request])
		switch {
		case due > now:
			wait = min(wait, due-now)
		case ruling == Impose:
			imposed = append(imposed, s)
		default:
			verdicts = append(verdicts, Verdict{Request: s.Request, Ruling: ruling})
		}
	}
	for _, s := range withoutSubsets(imposed) {
		verdicts = append(verdicts, Verdict{Request: s.Request, Ruling: Impose})
	}
	return verdicts, wait
}

// withoutSubsets removes suspects whose crashes are a proper subset of another one's in the list, since the
// other request probably caused them.
func withoutSubsets(list []*Suspect) []*Suspect {
	return slices.DeleteFunc(slices.Clone(list), func(s *Suspect) bool {
		return slices.ContainsFunc(list, func(other *Suspect) bool { return s.crashesWithin(other) && !other.crashesWithin(s) })
	})
}

// observeAll updates the observations of all suspects and drops those of removed ones.
func (j *Judge) observeAll(now time.Duration, table *Table) {
	observed := make(map[Fingerprint]observation)
	published := map[Fingerprint]bool{}
	for _, s := range table.published() {
		published[s.Request] = true
	}
	for _, s := range table.All() {
		o := j.observe(now, &s, published[s.Request], s.crashedWhileWatched() && !table.quarantineExplains(&s))
		o.tied = o.crashedWatched && table.hasTie(&s)
		o.answerable = j.Answerable == nil || j.Answerable(&s)
		if !o.answerable || !j.observed[s.Request].answerable {
			o.answerableSince = now
		}
		observed[s.Request] = o
	}
	j.observed = observed
}

// observe updates the observation of one suspect.
func (j *Judge) observe(now time.Duration, s *Suspect, published, crashedWatched bool) observation {
	o, found := j.observed[s.Request]
	if !found {
		return observation{
			published: published, crashedWatched: crashedWatched, quarantined: s.Quarantined, changed: s.Changed,
			publishedAt: now, crashedWatchedAt: now, quarantineChangedAt: now, lastChangeAt: now,
		}
	}
	if published && !o.published {
		o.publishedAt = now
	}
	if crashedWatched && !o.crashedWatched {
		o.crashedWatchedAt = now
	}
	if s.Quarantined != o.quarantined {
		o.quarantineChangedAt = now
	}
	if s.Changed != o.changed {
		o.lastChangeAt = now
	}
	o.published, o.crashedWatched, o.quarantined, o.changed = published, crashedWatched, s.Quarantined, s.Changed
	return o
}

// decide returns the next ruling on a suspect and when it is due if nothing changes.
func decide(now time.Duration, s *Suspect, o observation) (Ruling, time.Duration) {
	switch {
	case s.Quarantined:
		return Lift, o.quarantineChangedAt + s.term()
	case s.crashCount() < quarantineCrashes || !o.published || !o.crashedWatched:
		return Forget, o.lastChangeAt + forgetTime
	case s.crashCount() < conclusiveCrashes && !o.answerable:
		return Impose, now + answerableRecheck
	}
	due := max(o.publishedAt, o.crashedWatchedAt) + responseWait
	if s.crashCount() < conclusiveCrashes {
		due = max(due, o.answerableSince+responseWait)
	}
	if o.tied {
		due += responseWait
	}
	return Impose, due
}
