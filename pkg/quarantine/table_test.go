package quarantine

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	shop = Way{Caller: "shop", Service: "orders"}
	desk = Way{Caller: "desk", Service: "orders"}
)

// watchedCrash returns the crash of a back end with a request in flight that was admitted while watched.
func watchedCrash(request, instance string, way Way) Change {
	return Change{Evidence: Evidence{Ends: []End{{Request: Fingerprint(request), Instance: instance, Way: way, Watched: true}}}}
}

// unwatchedCrash returns the crash of a back end with a request in flight that was admitted before it was
// watched.
func unwatchedCrash(request, instance string, way Way) Change {
	change := watchedCrash(request, instance, way)
	change.Evidence.Ends[0].Watched = false
	return change
}

func response(request string, way Way) Change {
	return Change{Evidence: Evidence{Answers: []Answer{{Request: Fingerprint(request), Way: way}}}}
}

func verdict(request string, ruling Ruling) Change {
	return Change{Verdicts: []Verdict{{Request: Fingerprint(request), Ruling: ruling}}}
}

// apply applies changes to a table.
func apply(t *Table, changes ...Change) *Table {
	for _, change := range changes {
		t = t.With(change)
	}
	return t
}

func entries(t *Table) []Entry { return t.Watchlist(1).Entries }

func TestQuarantineNeedsThreeCrashesAndVerdict(t *testing.T) {
	is := is.New(t)
	var table *Table
	table = apply(table, watchedCrash("r", "i1", shop))
	is.Equal(len(entries(table)), 0) // one crash is no evidence
	table = apply(table, watchedCrash("r", "i1", desk))
	is.Equal(len(entries(table)), 0) // an instance crashes only once
	table = apply(table, watchedCrash("r", "i2", desk), verdict("r", Impose))
	is.Equal(entries(table), []Entry{{Request: "r"}}) // two crashes don't allow a quarantine, even with a verdict
	table = apply(table, watchedCrash("r", "i3", shop))
	is.Equal(entries(table), []Entry{{Request: "r"}}) // three crashes need a verdict
	table = apply(table, verdict("r", Impose))
	is.Equal(entries(table), []Entry{{Request: "r", Quarantined: true}})
}

// Nodes resend their evidence, and the leader may receive two copies together: they must count once.
func TestRepeatedEvidenceCountsOnce(t *testing.T) {
	is := is.New(t)
	end := watchedCrash("r", "i1", shop).Evidence
	table := apply(nil, Change{Evidence: end.Join(end).Join(end)})
	is.Equal(table.Suspects[0].crashCount(), 1)
	is.Equal(len((*Table)(nil).NewEvidence(end.Join(end)).Ends), 1)
	both := watchedCrash("r", "i2", shop).Evidence
	table = apply(table, Change{Evidence: both})
	answer := response("r", shop).Evidence
	is.Equal(len(table.NewEvidence(answer.Join(answer)).Answers), 1)
	is.Equal(len(apply(table, Change{Evidence: answer.Join(answer)}).Suspects[0].Answered), 1)
}

// Frequent harmless requests are in flight at many crashes with other causes: a response must clear them on
// its way.
func TestResponseVoidsCrashesOnItsWay(t *testing.T) {
	is := is.New(t)
	table := apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", shop), watchedCrash("r", "i3", shop), response("r", shop), verdict("r", Impose))
	is.Equal(len(entries(table)), 0)
	is.True(table.NewEvidence(watchedCrash("r", "i3", shop).Evidence).Empty()) // resent evidence doesn't count again
	// On another way there is no response: the quarantine must apply only there.
	table = apply(table, watchedCrash("r", "i4", desk), watchedCrash("r", "i5", desk), watchedCrash("r", "i6", desk), verdict("r", Impose))
	is.Equal(entries(table), []Entry{{Request: "r", Quarantined: true, Answered: []Way{shop}}})
	// A later crash must invalidate the response.
	table = apply(table, watchedCrash("r", "i7", shop))
	is.Equal(entries(table), []Entry{{Request: "r", Quarantined: true, Answered: []Way{}}})
}

// A response to a call in flight at the start of the quarantine must lift a quarantine that has no other
// grounds.
func TestResponseLiftsQuarantineBasedOnItsWay(t *testing.T) {
	is := is.New(t)
	table := apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", shop), watchedCrash("r", "i3", shop), verdict("r", Impose))
	is.True(entries(table)[0].Quarantined)
	is.Equal(len(entries(apply(table, response("r", shop)))), 0)
}

func TestOneCrashAfterLiftRestoresQuarantine(t *testing.T) {
	is := is.New(t)
	table := apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", shop), watchedCrash("r", "i3", shop), watchedCrash("r", "i4", shop), verdict("r", Impose), verdict("r", Lift))
	is.Equal(entries(table), []Entry{{Request: "r"}})
	is.Equal(table.Suspects[0].Terms, 1)
	is.Equal(table.Suspects[0].crashCount(), quarantineCrashes-1) // one more crash suffices
	table = apply(table, watchedCrash("r", "i5", shop), verdict("r", Impose))
	is.True(entries(table)[0].Quarantined)
}

func TestTableEvictsLeastSuspectRequests(t *testing.T) {
	is := is.New(t)
	table := apply(nil, watchedCrash("fatal", "i1", shop), watchedCrash("fatal", "i2", shop), watchedCrash("fatal", "i3", shop), verdict("fatal", Impose),
		watchedCrash("twice", "i1", shop), watchedCrash("twice", "i2", shop))
	for i := range 3 * maxSuspects {
		table = apply(table, watchedCrash(fmt.Sprintf("innocent-%d", i), "i9", shop))
	}
	is.Equal(len(table.Suspects), maxSuspects)
	is.Equal(entries(table), []Entry{{Request: "fatal", Quarantined: true}, {Request: "twice"}})
	for i := range 3 * maxCrashes {
		table = apply(table, watchedCrash("fatal", fmt.Sprintf("j%d", i), shop), response("fatal", Way{Caller: fmt.Sprint(i)}))
	}
	is.Equal(len(table.find("fatal").Ends), maxCrashes)
	is.Equal(len(table.find("fatal").Answered), maxWays)
}

// Many crashes make many harmless requests suspects. The watchlist must stay short, and only requests on it
// may be quarantined.
func TestWatchlistLengthIsBounded(t *testing.T) {
	is := is.New(t)
	table := apply(nil, watchedCrash("fatal", "i1", shop), watchedCrash("fatal", "i2", shop), watchedCrash("fatal", "i3", shop), verdict("fatal", Impose))
	const popular = 3 * maxWatched
	for i := range popular {
		for _, instance := range []string{"i1", "i2", "i3"} {
			table = apply(table, watchedCrash(fmt.Sprintf("popular-%d", i), instance, shop))
		}
	}
	judge, now := NewJudge(), time.Duration(0)
	for cleared := 0; cleared < popular; {
		is.True(entries(table)[0].Quarantined) // quarantined requests come first
		watched := entries(table)[1:]
		is.Equal(len(watched), min(maxWatched, popular-cleared))
		verdicts, _ := judge.Due(now, table)
		is.Equal(len(verdicts), 0) // no response is possible before nodes watch the request
		for _, entry := range watched {
			table = apply(table, response(string(entry.Request), shop))
			cleared++
		}
		now += responseWait
	}
	is.Equal(len(entries(table)), 1)
}

// Bounds the encoded size of the list, including the gob type description, that each node receives after a
// change.
func TestWatchlistSizeIsBounded(t *testing.T) {
	is := is.New(t)
	size := func(quarantined int) int {
		var table *Table
		for i := range maxSuspects {
			request := fmt.Sprintf("%040d", i)
			table = apply(table, watchedCrash(request, "i1", shop), watchedCrash(request, "i2", shop), watchedCrash(request, "i3", shop))
			if i < quarantined {
				table = apply(table, verdict(request, Impose))
			}
		}
		var encoded bytes.Buffer
		is.NoErr(gob.NewEncoder(&encoded).Encode(table.Watchlist(1)))
		return encoded.Len()
	}
	t.Logf("%d bytes with none in quarantine, %d with all", size(0), size(maxSuspects))
	is.True(size(0) <= 1024)
	is.True(size(maxSuspects) <= 6*1024+256)
}

// A replica that restores a snapshot must compute the same table as one that has applied all changes.
func TestTableDependsOnlyOnItsChanges(t *testing.T) {
	is := is.New(t)
	first := apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", desk), response("r", shop))
	saved, err := json.Marshal(first)
	is.NoErr(err)
	var restored *Table
	is.NoErr(json.Unmarshal(saved, &restored))
	changes := []Change{watchedCrash("r", "i3", desk), watchedCrash("s", "i3", desk), watchedCrash("r", "i4", desk), verdict("r", Impose), verdict("s", Forget)}
	is.Equal(apply(restored, changes...), apply(first, changes...))
	is.Equal(first, apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", desk), response("r", shop)))      // earlier tables stay unchanged
	is.Equal(apply(first, watchedCrash("r", "i1", shop), response("unknown", shop), verdict("unknown", Impose)), first) // no effect
}

func TestJudgeWaitsForResponse(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	table := apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", shop), watchedCrash("r", "i3", shop))
	verdicts, wait := judge.Due(0, table)
	is.Equal(len(verdicts), 0)
	is.Equal(wait, responseWait)
	verdicts, _ = judge.Due(responseWait, apply(table, response("r", shop)))
	is.Equal(len(verdicts), 0)
	judge = NewJudge()
	judge.Due(0, table)
	verdicts, _ = judge.Due(responseWait, table)
	is.Equal(verdicts, []Verdict{{Request: "r", Ruling: Impose}})
}

// The time that nodes have watched a suspect before its third crash must count.
func TestJudgeCountsTimeFromPublication(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	table := apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", shop))
	judge.Due(0, table)
	table = apply(table, watchedCrash("r", "i3", shop))
	verdicts, _ := judge.Due(responseWait, table)
	is.Equal(verdicts, []Verdict{{Request: "r", Ruling: Impose}})
}

func TestQuarantineTermsGrow(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	table := apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", shop), watchedCrash("r", "i3", shop), verdict("r", Impose))
	now, instance := time.Duration(0), 3
	var terms []time.Duration
	for range 7 {
		_, wait := judge.Due(now, table)
		terms = append(terms, wait)
		now += wait
		verdicts, _ := judge.Due(now, table)
		is.Equal(verdicts, []Verdict{{Request: "r", Ruling: Lift}})
		table = apply(table, Change{Verdicts: verdicts})
		judge.Due(now, table)
		instance++
		table = apply(table, watchedCrash("r", fmt.Sprintf("i%d", instance), shop))
		now += responseWait
		verdicts, _ = judge.Due(now, table)
		is.Equal(verdicts, []Verdict{{Request: "r", Ruling: Impose}}) // one crash suffices on trial
		table = apply(table, Change{Verdicts: verdicts})
	}
	is.Equal(terms[0], firstTerm)
	is.Equal(terms[1], 2*firstTerm)
	is.Equal(terms[6], maxTerm)
	is.True(slices.IsSorted(terms))
}

func TestUnchangedSuspectsAreForgotten(t *testing.T) {
	is := is.New(t)
	judge := NewJudge()
	table := apply(nil, watchedCrash("r", "i1", shop))
	_, wait := judge.Due(0, table)
	is.Equal(wait, forgetTime)
	verdicts, _ := judge.Due(forgetTime, table)
	is.Equal(verdicts, []Verdict{{Request: "r", Ruling: Forget}})
	is.True(apply(table, Change{Verdicts: verdicts}).Empty())
	verdicts, wait = judge.Due(forgetTime, nil)
	is.Equal(len(verdicts), 0)
	is.Equal(wait, idleInterval)
}

// Guards against quarantining the most frequent requests when all back ends of a small service crash together
// and none can respond.
func TestNoQuarantineWithoutAnswerableBackend(t *testing.T) {
	is := is.New(t)
	table := apply(nil, watchedCrash("r", "i1", shop), watchedCrash("r", "i2", shop), watchedCrash("r", "i3", shop))
	judge := NewJudge()
	answerable := false
	judge.Answerable = func(*Suspect) bool { return answerable }
	_, wait := judge.Due(0, table)
	is.Equal(wait, answerableRecheck)
	verdicts, _ := judge.Due(10*responseWait, table)
	is.Equal(len(verdicts), 0)
	answerable = true
	_, wait = judge.Due(20*responseWait, table)
	is.Equal(wait, responseWait)
	verdicts, _ = judge.Due(21*responseWait, table)
	is.Equal(verdicts, []Verdict{{Request: "r", Ruling: Impose}})

	// A fatal request crashes each back end that joins: enough crashes must suffice.
	judge = NewJudge()
	judge.Answerable = func(*Suspect) bool { return false }
	table = apply(table, watchedCrash("r", "i4", shop), watchedCrash("r", "i5", shop))
	judge.Due(0, table)
	verdicts, _ = judge.Due(responseWait, table)
	is.Equal(verdicts, []Verdict{{Request: "r", Ruling: Impose}})
}

// A harmless request must not be quarantined because no back end admitted it: a missing response is
// evidence only after an attempt that was admitted while watched.
func TestNoQuarantineWithoutWatchedAttempt(t *testing.T) {
	is := is.New(t)
	table := apply(nil, unwatchedCrash("r", "i1", shop), unwatchedCrash("r", "i2", shop), unwatchedCrash("r", "i3", shop))
	judge := NewJudge()
	judge.Due(0, table)
	verdicts, _ := judge.Due(10*responseWait, table)
	is.Equal(len(verdicts), 0)

	// The same holds for many simultaneous crashes, as in a power failure.
	many := table
	for i := range maxCrashes {
		many = apply(many, unwatchedCrash("r", fmt.Sprintf("m%d", i), shop))
	}
	judge.Due(10*responseWait, many)
	verdicts, _ = judge.Due(20*responseWait, many)
	is.Equal(len(verdicts), 0)

	// After one such attempt crashes a fourth back end, a response must still arrive within responseWait.
	now := 30 * responseWait
	table = apply(table, watchedCrash("r", "i4", shop))
	_, wait := judge.Due(now, table)
	is.Equal(wait, responseWait)
	verdicts, _ = judge.Due(now+responseWait, table)
	is.Equal(verdicts, []Verdict{{Request: "r", Ruling: Impose}})
	verdicts, _ = judge.Due(now+responseWait, apply(table, response("r", shop)))
	is.Equal(len(verdicts), 0)
}

// Crashes at which a quarantined request was also in flight must not count against another request. After
// a crash that no quarantined request explains, there must be time for a response.
func TestCrashesExplainedByQuarantineAreNoEvidence(t *testing.T) {
	is := is.New(t)
	table := apply(nil, watchedCrash("fatal", "i1", shop), watchedCrash("fatal", "i2", shop), watchedCrash("fatal", "i3", shop), watchedCrash("fatal", "i4", shop))
	for _, instance := range []string{"i2", "i3", "i4"} {
		table = apply(table, watchedCrash("popular", instance, shop))
	}
	judge := NewJudge()
	judge.Due(0, table)
	verdicts, _ := judge.Due(responseWait, table)
	is.Equal(verdicts, []Verdict{{Request: "fatal", Ruling: Impose}}) // both are due, but only "fatal" was at all crashes
	table = apply(table, Change{Verdicts: verdicts}, watchedCrash("popular", "i1", shop))
	verdicts, _ = judge.Due(5*responseWait, table)
	is.Equal(len(verdicts), 0)

	table = apply(table, watchedCrash("popular", "i5", shop))
	verdicts, wait := judge.Due(9*responseWait, table)
	is.Equal(len(verdicts), 0)
	is.Equal(wait, responseWait)
	verdicts, _ = judge.Due(10*responseWait, table)
	is.Equal(verdicts, []Verdict{{Request: "popular", Ruling: Impose}})
}

// Of two requests with the same crashes one may be harmless: there must be extra time for a response, or for a
// crash of only one of them.
func TestTiedSuspectsWaitLonger(t *testing.T) {
	tiedSuspects := func() *Table {
		var table *Table
		for _, request := range []string{"popular", "fatal"} {
			table = apply(table, watchedCrash(request, "i1", shop), watchedCrash(request, "i2", shop), watchedCrash(request, "i3", shop))
		}
		return table
	}
	for name, c := range map[string]struct {
		change  Change
		imposed []Fingerprint
	}{
		"nothing comes":            {Change{}, []Fingerprint{"popular", "fatal"}},
		"one is answered":          {response("popular", shop), []Fingerprint{"fatal"}},
		"one ends a back end more": {watchedCrash("fatal", "i4", shop), []Fingerprint{"fatal"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, judge := tiedSuspects(), NewJudge()
			judge.Due(0, table)
			verdicts, wait := judge.Due(responseWait, table)
			is.Equal(len(verdicts), 0)
			is.Equal(wait, responseWait)
			verdicts, _ = judge.Due(2*responseWait, apply(table, c.change))
			var imposed []Fingerprint
			for _, v := range verdicts {
				is.Equal(v.Ruling, Impose)
				imposed = append(imposed, v.Request)
			}
			is.Equal(imposed, c.imposed)
		})
	}
}
