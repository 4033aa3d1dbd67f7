package distribution

import (
	"fmt"
	"testing"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/quarantine"

	"github.com/matryer/is"
)

// stateAfterCrash returns the state after a crash of an instance while it processed the request.
func stateAfterCrash(s *State, request, instance string) *State {
	way := quarantine.Way{Caller: "c", Service: "s"}
	return s.ChangeSuspects(quarantine.Change{Evidence: quarantine.Evidence{Ends: []quarantine.End{{Request: quarantine.Fingerprint(request), Instance: instance, Way: way}}}})
}

// Holders must get the complete watchlist when it changes, and no update for a first crash, which makes
// suspects of all requests that were in flight.
func TestHoldersGetChangedWatchlist(t *testing.T) {
	for _, group := range []string{"", bundle.ScopeAll} {
		t.Run(fmt.Sprintf("group %q", group), func(t *testing.T) {
			is := is.New(t)
			state := &State{Revision: 7}
			holder := NewHolder(group, nil, nil)
			apply := func() *Update {
				position := holder.State().Position()
				update, err := NewPlanner(state).Plan(group, position)
				is.NoErr(err)
				if update == nil || !update.Changes(position) {
					holder.AdvanceTo(state.Revision)
					return nil
				}
				is.NoErr(holder.Apply(update))
				return update
			}
			apply()
			state = stateAfterCrash(state, "r", "i1")
			is.Equal(apply(), nil) // a single crash does not change the watchlist
			state = stateAfterCrash(state, "r", "i2")
			is.True(apply().Watchlist != nil)
			is.Equal(holder.State().Watchlist.Entries, []quarantine.Entry{{Request: "r"}})
			is.Equal(holder.State().Suspects, nil)
			state = stateAfterCrash(state, "other", "i2")
			is.Equal(apply(), nil)
			state = state.ChangeEndpoints([]Endpoint{{Service: "s", ID: "e", Incarnation: 1}})
			if update := apply(); update != nil {
				is.Equal(update.Watchlist, nil) // it is not sent again
			}
			is.Equal(len(holder.State().Watchlist.Entries), 1)
			// A new holder gets the watchlist.
			update, err := NewPlanner(state).Plan(group, Position{})
			is.NoErr(err)
			is.Equal(update.Watchlist.Entries, []quarantine.Entry{{Request: "r"}})
		})
	}
}

func TestRepeatedEvidenceAddsNoRevision(t *testing.T) {
	is := is.New(t)
	state := stateAfterCrash(&State{Revision: 7}, "r", "i1")
	is.Equal(state.Revision, uint64(8))
	is.Equal(stateAfterCrash(state, "r", "i1"), state)
}
