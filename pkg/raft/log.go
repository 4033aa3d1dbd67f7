package raft

import "fmt"

// entryLog is one replica's copy of the replicated log: a snapshot and the entries after it.
type entryLog struct {
	// snapshot is the newest snapshot. Entries that it covers may remain in entries for
	// followers that lag slightly.
	snapshot Snapshot
	// prevIndex and prevTerm identify the entry before entries[0].
	prevIndex uint64
	prevTerm  uint64
	entries   []Entry

	// persisted is the highest index known to be durable on this replica.
	persisted uint64
	commit    uint64
	applied   uint64
	// delivered is the highest committed index returned in Effects.
	delivered uint64
}

func (l *entryLog) lastIndex() uint64 {
	return l.prevIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false if the log does not contain it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.prevIndex {
		return l.prevTerm, true
	}
	if index < l.prevIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

// slice returns the entries starting at from, with up to maxBytes of data but at least one
// entry.
func (l *entryLog) slice(from uint64, maxBytes int) []Entry {
	if from <= l.prevIndex || from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.prevIndex-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// between returns the entries in (after, upTo], or nil if some of them have been compacted.
func (l *entryLog) between(after, upTo uint64) []Entry {
	if upTo <= after || after < l.prevIndex {
		return nil
	}
	return l.entries[after-l.prevIndex : upTo-l.prevIndex : upTo-l.prevIndex]
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops the entries from index on. It panics if one of them is committed.
func (l *entryLog) truncateFrom(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("raft: truncation at index %d would drop committed entries up to index %d", index, l.commit))
	}
	kept := index - l.prevIndex - 1
	l.entries = l.entries[:kept:kept]
	l.persisted = min(l.persisted, index-1)
}

// isOtherUpToDate reports whether a log with the given last entry is at least as up to date as this
// one (section 5.4.1 of the paper).
func (l *entryLog) isOtherUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// restore replaces the whole log with a snapshot.
func (l *entryLog) restore(s Snapshot) {
	l.snapshot = s
	l.prevIndex = s.Index
	l.prevTerm = s.Term
	l.entries = nil
	l.persisted = s.Index
	l.commit = s.Index
	l.delivered = s.Index
	l.applied = s.Index
}

// compact sets s as the newest snapshot and drops the entries more than keep positions before
// it.
func (l *entryLog) compact(s Snapshot, keep uint64) {
	l.snapshot = s
	if s.Index < l.prevIndex+keep+1 {
		return
	}
	newPrev := s.Index - keep
	term, found := l.term(newPrev)
	if !found {
		return
	}
	rest := l.entries[newPrev-l.prevIndex:]
	l.entries = append([]Entry(nil), rest...)
	l.prevIndex = newPrev
	l.prevTerm = term
}
