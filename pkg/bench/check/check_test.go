package check

import (
	"testing"
	"time"

	"bramblelift/pkg/bench/history"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// at returns the given number of seconds after the start of the history.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// validRecords returns a history without violations.
func validRecords() history.Records {
	return history.Records{
		Calls: []history.Call{
			{ID: "a", Status: 200, Complete: true, Start: at(1), End: at(2)},
			{ID: "b", Once: true, Status: 200, Complete: true, Start: at(1), End: at(2)},
			{ID: "c", Status: 503, Outcome: "not-run", Start: at(1), End: at(2)},
			{ID: "d", Once: true, Status: 502, Outcome: "unknown", Start: at(1), End: at(2)},
			{ID: "e", Status: 200, Error: "unexpected EOF", Start: at(8), End: at(9)},
		},
		Executions: []history.Execution{
			{CallID: "a", Backend: "one", Begun: at(1)}, {CallID: "a", Backend: "two", Begun: at(1.1)},
			{CallID: "b", Backend: "one", Begun: at(1)}, {CallID: "d", Backend: "one", Begun: at(6)},
		},
		Departures:          []history.Departure{{Backend: "one", At: at(4)}},
		VersionObservations: []history.VersionObservation{{Node: "n", Version: 1, At: at(1)}, {Node: "n", Version: 2, At: at(2)}, {Node: "m", Version: 1, At: at(3)}},
	}
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(len(All(validRecords(), 3*time.Second)), 0)
	is.Equal(len(PlannedStop(validRecords(), at(1), at(5))), 0)
}

// TestEachCheckerDetectsItsViolation guards against a checker that misses the fault it
// looks for: each case adds one fault to a valid history.
func TestEachCheckerDetectsItsViolation(t *testing.T) {
	for name, test := range map[string]struct {
		corrupt func(*history.Records)
		want    string
	}{
		"another call's answer":   {func(r *history.Records) { r.Calls[0].Foreign = true }, InvariantWholeResponse},
		"cut answer as if whole":  {func(r *history.Records) { r.Calls[0].Complete = false }, InvariantWholeResponse},
		"refused but ran":         {func(r *history.Records) { r.Executions[0].CallID = "c" }, InvariantNotRun},
		"ran twice":               {func(r *history.Records) { r.Executions = append(r.Executions, r.Executions[2]) }, InvariantAtMostOnce},
		"unknown call ran twice":  {func(r *history.Records) { r.Executions = append(r.Executions, r.Executions[3]) }, InvariantAtMostOnce},
		"work after leaving":      {func(r *history.Records) { r.Executions[3].Begun = at(7.5) }, InvariantDeparture},
		"version falls":           {func(r *history.Records) { r.VersionObservations[1].At = at(0.5) }, InvariantVersionOrder},
		"version falls to none":   {func(r *history.Records) { r.VersionObservations[2] = history.VersionObservation{Node: "n", At: at(9)} }, InvariantVersionOrder},
		"stop cuts a connection":  {func(r *history.Records) { r.Calls[1].Status = 0 }, InvariantPlannedStop},
		"stop cuts off an answer": {func(r *history.Records) { r.Calls[1].Complete = false }, InvariantPlannedStop},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			records := validRecords()
			test.corrupt(&records)
			found := append(All(records, 3*time.Second), PlannedStop(records, at(1), at(5))...)
			is.True(len(found) > 0)
			detected := false
			for _, violation := range found {
				detected = detected || violation.Invariant == test.want
			}
			is.True(detected) // the violation of the expected invariant is reported
		})
	}
}
