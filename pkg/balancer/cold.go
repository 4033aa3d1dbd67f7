package balancer

import (
	"slices"
	"time"
)

// coldSlowness is how much longer a cold back end is expected to take than its gate has seen so far.
const coldSlowness = 1.5

// ColdError says that all back ends that might take a call are cold, and have no room for it in the
// time that it may wait. No gate was asked.
type ColdError struct {
	// WarmIn is after how long the first of them is warm, and has room again.
	WarmIn time.Duration
}

// Error implements error.
func (e *ColdError) Error() string {
	return "all back ends are cold and get no more calls at the moment"
}

// coldLeft is for how much longer the back end is cold, zero if it is warm or not known.
func (e *endpoint) coldLeft(now time.Duration) time.Duration {
	if e.gate.report.Cold.Remaining == 0 {
		return 0
	}
	return max(0, e.gate.at+e.gate.report.Cold.Remaining-now)
}

// coldWait estimates how long a call waits for the rate that the gate of a cold back end keeps, by the
// gate's word and what this node sent there since.
func (e *endpoint) coldWait(now time.Duration) time.Duration {
	left := e.coldLeft(now)
	if left == 0 {
		return 0
	}
	cold := e.gate.report.Cold
	room := e.gate.at + cold.Room + time.Duration(e.gate.sent)*cold.Interval - now
	return max(0, min(room, left))
}

// slowness is how much longer the back end takes for being cold.
func (e *endpoint) slowness(now time.Duration) float64 {
	if e.coldLeft(now) > 0 {
		return coldSlowness
	}
	return 1
}

// withColdRoom leaves out the cold back ends that have no room for a call within its patience, in place.
// If none remains it returns when the first is warm.
func withColdRoom(candidates []*endpoint, now, patience time.Duration) ([]*endpoint, error) {
	var warm time.Duration
	for _, e := range candidates {
		if left := e.coldLeft(now); warm == 0 || left < warm {
			warm = left
		}
	}
	room := slices.DeleteFunc(candidates, func(e *endpoint) bool { return e.coldWait(now) > patience })
	if len(room) == 0 {
		return nil, &ColdError{WarmIn: warm}
	}
	return room, nil
}
