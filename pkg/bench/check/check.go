// Package check verifies recorded histories. Each checker tests one invariant of the
// system and returns its violations; none uses the product's code.
package check

import (
	"fmt"
	"slices"
	"time"

	"bramblelift/pkg/bench/history"
)

// Violation is one breach of an invariant.
type Violation struct {
	Invariant string
	Detail    string
}

// String formats the violation as one line.
func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// Invariants, as named in Violation.Invariant.
const (
	InvariantWholeResponse = "every caller gets the whole answer to its own request"
	InvariantNotRun        = "a refusal that says not-run did not run"
	InvariantAtMostOnce    = "a request that must not be repeated runs at most once"
	InvariantDeparture     = "a leaving back end receives no new work after a few seconds"
	InvariantVersionOrder  = "no node goes back to an older version"
	InvariantPlannedStop   = "a planned stop cuts off no request in flight"
)

// All runs every checker except PlannedStop. A back end may start calls up to leaveBound
// after its departure began.
func All(records history.Records, leaveBound time.Duration) []Violation {
	return slices.Concat(
		Responses(records), NotRun(records), AtMostOnce(records),
		Departures(records, leaveBound), Versions(records),
	)
}

// Responses checks that each successful call received the complete response to its own
// request.
func Responses(records history.Records) []Violation {
	var found []Violation
	for _, call := range records.Calls {
		if call.Foreign {
			found = append(found, Violation{InvariantWholeResponse, "call " + call.ID + " got another call's answer"})
			continue
		}
		if call.Answered() && !call.Complete && call.Error == "" {
			found = append(found, Violation{InvariantWholeResponse, "call " + call.ID + " got a cut answer as if it were whole"})
		}
	}
	return found
}

// NotRun checks that calls rejected as not run were started at no back end.
func NotRun(records history.Records) []Violation {
	started := map[string]history.Execution{}
	for _, execution := range records.Executions {
		started[execution.CallID] = execution
	}
	var found []Violation
	for _, call := range records.Calls {
		execution, ran := started[call.ID]
		if call.Outcome == "not-run" && ran {
			found = append(found, Violation{InvariantNotRun, fmt.Sprintf("call %s ran at %s", call.ID, execution.Backend)})
		}
	}
	return found
}

// AtMostOnce checks that calls that must not be repeated were started at most once.
func AtMostOnce(records history.Records) []Violation {
	started := map[string]int{}
	for _, execution := range records.Executions {
		started[execution.CallID]++
	}
	var found []Violation
	for _, call := range records.Calls {
		if call.Once && started[call.ID] > 1 {
			found = append(found, Violation{InvariantAtMostOnce, fmt.Sprintf("call %s ran %d times", call.ID, started[call.ID])})
		}
	}
	return found
}

// Departures checks that a back end started no call later than bound after its departure
// began.
func Departures(records history.Records, bound time.Duration) []Violation {
	departed := map[string]time.Time{}
	for _, departure := range records.Departures {
		departed[departure.Backend] = departure.At
	}
	var found []Violation
	for _, execution := range records.Executions {
		at, leaving := departed[execution.Backend]
		if leaving && execution.Begun.After(at.Add(bound)) {
			late := execution.Begun.Sub(at).Round(time.Millisecond)
			found = append(found, Violation{InvariantDeparture, fmt.Sprintf("call %s began at %s %s after it began to leave", execution.CallID, execution.Backend, late)})
		}
	}
	return found
}

// Versions checks that the versions seen at each node never decrease.
func Versions(records history.Records) []Violation {
	observations := slices.Clone(records.VersionObservations)
	slices.SortStableFunc(observations, func(a, b history.VersionObservation) int { return a.At.Compare(b.At) })
	highest := map[string]uint64{}
	var found []Violation
	for _, observation := range observations {
		if observation.Version < highest[observation.Node] {
			found = append(found, Violation{InvariantVersionOrder, fmt.Sprintf("%s went from %d to %d", observation.Node, highest[observation.Node], observation.Version)})
		}
		highest[observation.Node] = max(highest[observation.Node], observation.Version)
	}
	return found
}

// PlannedStop checks that each call in flight during a planned stop, between from and to,
// received a complete response.
func PlannedStop(records history.Records, from, to time.Time) []Violation {
	var found []Violation
	for _, call := range records.Calls {
		overlaps := call.Start.Before(to) && call.End.After(from)
		incomplete := call.Status == 0 || (call.Answered() && !call.Complete)
		if overlaps && incomplete {
			found = append(found, Violation{InvariantPlannedStop, fmt.Sprintf("call %s by %s: %s", call.ID, call.Node, call.Error)})
		}
	}
	return found
}
