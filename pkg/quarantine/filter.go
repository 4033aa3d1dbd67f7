package quarantine

import (
	"net/http"
	"slices"
	"sync/atomic"
)

// Standing classifies a request.
type Standing uint8

const (
	// Unsuspected requests are not on the watchlist.
	Unsuspected Standing = iota
	// Watched requests were in flight at crashed back ends. Their responses are reported, and they are not
	// retried, since each attempt may crash another back end.
	Watched
	// Quarantined requests must not reach a back end.
	Quarantined
)

// String returns the standing in lower case, as in logs.
func (s Standing) String() string {
	switch s {
	case Watched:
		return "watched"
	case Quarantined:
		return "quarantined"
	default:
		return "unsuspected"
	}
}

// Filter looks up requests in the watchlist. It is safe for concurrent use; a nil Filter has no suspects. A
// lookup hashes the body only if method, host and path match a suspect.
type Filter struct {
	index atomic.Pointer[suspectIndex]
}

// suspectIndex indexes a watchlist by fingerprint and by the fingerprints' target hashes.
type suspectIndex struct {
	list         *Watchlist
	targetHashes map[Fingerprint]bool
	entries      map[Fingerprint]Entry
}

// Set replaces the watchlist and reports whether its entries differ from the previous ones.
func (f *Filter) Set(list *Watchlist) bool {
	before := f.index.Load()
	if before == nil && len(list.entries()) == 0 {
		return false
	}
	if before != nil && before.list.Same(list) {
		return false
	}
	if len(list.entries()) == 0 {
		f.index.Store(nil)
		return true
	}
	next := &suspectIndex{list: list, targetHashes: map[Fingerprint]bool{}, entries: map[Fingerprint]Entry{}}
	for _, entry := range list.Entries {
		next.targetHashes[entry.Request.targetHash()] = true
		next.entries[entry.Request] = entry
	}
	f.index.Store(next)
	return true
}

// Requests returns the standing of all suspects. It ignores the ways that are exempt from a quarantine because
// of a response.
func (f *Filter) Requests() map[Fingerprint]Standing {
	requests := map[Fingerprint]Standing{}
	if index := f.index.Load(); index != nil {
		for request, entry := range index.entries {
			requests[request] = entry.standing()
		}
	}
	return requests
}

// Count returns the number of suspects with a standing.
func (f *Filter) Count(standing Standing) int {
	count := 0
	for _, s := range f.Requests() {
		if s == standing {
			count++
		}
	}
	return count
}

// standing returns the standing on ways without a response since the last crash there.
func (e Entry) standing() Standing {
	if e.Quarantined {
		return Quarantined
	}
	return Watched
}

// Match is the result of a lookup.
type Match struct {
	Standing Standing
	// Request is the fingerprint, set only for suspects.
	Request Fingerprint
	// Answered is set if a response on the same way is known.
	Answered bool
}

// Empty reports whether there are no suspects.
func (f *Filter) Empty() bool { return f == nil || f.index.Load() == nil }

// Lookup returns the standing of a request on a way. body may be only the buffered beginning.
func (f *Filter) Lookup(r *http.Request, body []byte, way Way) Match {
	if f == nil {
		return Match{}
	}
	index := f.index.Load()
	if index == nil || !index.targetHashes[hashTarget(targetOf(r))] {
		return Match{}
	}
	request := FingerprintOf(r, body)
	entry, found := index.entries[request]
	if !found {
		return Match{}
	}
	match := Match{Standing: entry.standing(), Request: request, Answered: slices.Contains(entry.Answered, way)}
	if match.Answered {
		match.Standing = Watched
	}
	return match
}
