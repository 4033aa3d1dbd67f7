// Package check judges histories. Each checker holds one promise of the system and
// returns what breaks it; none uses the product's code.
package check

import (
	"fmt"
	"slices"
	"time"

	"bramblelift/pkg/bench/history"
)

// Violation is one broken promise.
type Violation struct {
	Invariant string
	Detail    string
}

// String returns the violation in one line.
func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// Names of the invariants.
const (
	WholeAnswer     = "every caller gets the whole answer to its own request"
	NotRunIsTrue    = "a refusal that says not-run did not run"
	AtMostOnce      = "a request that must not be repeated runs at most once"
	LeavingIsLeft   = "a leaving back end receives no new work after a few seconds"
	VersionsGrow    = "no node goes back to an older version"
	StopCutsNothing = "a planned stop cuts off no request in flight"
)

// All runs every checker that needs no further input.
func All(records history.Records, leaveBound time.Duration) []Violation {
	return slices.Concat(
		Answers(records), Refusals(records), Once(records),
		Leaving(records, leaveBound), Versions(records),
	)
}

// Answers checks that an answered call carries its own whole answer.
func Answers(records history.Records) []Violation {
	var found []Violation
	for _, call := range records.Calls {
		if call.Foreign {
			found = append(found, Violation{WholeAnswer, "call " + call.ID + " got another call's answer"})
			continue
		}
		if call.Answered() && !call.Whole && call.Error == "" {
			found = append(found, Violation{WholeAnswer, "call " + call.ID + " got a cut answer as if it were whole"})
		}
	}
	return found
}

// Refusals checks that calls refused as not run were begun nowhere.
func Refusals(records history.Records) []Violation {
	begun := map[string]history.Execution{}
	for _, execution := range records.Executions {
		begun[execution.CallID] = execution
	}
	var found []Violation
	for _, call := range records.Calls {
		execution, ran := begun[call.ID]
		if call.Outcome == "not-run" && ran {
			found = append(found, Violation{NotRunIsTrue, fmt.Sprintf("call %s ran at %s", call.ID, execution.Backend)})
		}
	}
	return found
}

// Once checks that calls that must not be repeated began at most once.
func Once(records history.Records) []Violation {
	begun := map[string]int{}
	for _, execution := range records.Executions {
		begun[execution.CallID]++
	}
	var found []Violation
	for _, call := range records.Calls {
		if call.Once && begun[call.ID] > 1 {
			found = append(found, Violation{AtMostOnce, fmt.Sprintf("call %s ran %d times", call.ID, begun[call.ID])})
		}
	}
	return found
}

// Leaving checks that no call began at a back end later than bound after it began to
// leave.
func Leaving(records history.Records, bound time.Duration) []Violation {
	left := map[string]time.Time{}
	for _, departure := range records.Departures {
		left[departure.Backend] = departure.At
	}
	var found []Violation
	for _, execution := range records.Executions {
		at, leaving := left[execution.Backend]
		if leaving && execution.Begun.After(at.Add(bound)) {
			late := execution.Begun.Sub(at).Round(time.Millisecond)
			found = append(found, Violation{LeavingIsLeft, fmt.Sprintf("call %s began at %s %s after it began to leave", execution.CallID, execution.Backend, late)})
		}
	}
	return found
}

// Versions checks that the versions seen at each node never fall.
func Versions(records history.Records) []Violation {
	sightings := slices.Clone(records.Sightings)
	slices.SortStableFunc(sightings, func(a, b history.Sighting) int { return a.At.Compare(b.At) })
	highest := map[string]uint64{}
	var found []Violation
	for _, sighting := range sightings {
		if sighting.Version < highest[sighting.Node] {
			found = append(found, Violation{VersionsGrow, fmt.Sprintf("%s went from %d to %d", sighting.Node, highest[sighting.Node], sighting.Version)})
		}
		highest[sighting.Node] = max(highest[sighting.Node], sighting.Version)
	}
	return found
}

// PlannedStop checks that no call that was under way at a stop ended without an
// answer. from and to enclose the stop.
func PlannedStop(records history.Records, from, to time.Time) []Violation {
	var found []Violation
	for _, call := range records.Calls {
		overlaps := call.Start.Before(to) && call.End.After(from)
		cut := call.Status == 0 || (call.Answered() && !call.Whole)
		if overlaps && cut {
			found = append(found, Violation{StopCutsNothing, fmt.Sprintf("call %s by %s: %s", call.ID, call.Node, call.Error)})
		}
	}
	return found
}
