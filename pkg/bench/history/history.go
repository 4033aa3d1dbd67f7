// Package history records what callers, back ends and nodes saw, for the checkers. It
// knows nothing of the product's code.
package history

import (
	"sync"
	"time"
)

// Call is one call as its caller saw it.
type Call struct {
	ID string
	// Once calls must not run twice.
	Once  bool
	Start time.Time
	End   time.Time
	// Status is zero when the connection failed.
	Status int
	// Outcome is what a refusal said: "not-run", "unknown" or empty.
	Outcome string
	// Whole reports that the answer was whole and the call's own.
	Whole bool
	// Foreign reports that the answer was another call's.
	Foreign bool
	Error   string
	Node    string
}

// Answered reports whether the caller got an answer from a back end.
func (c Call) Answered() bool { return c.Status == 200 }

// Execution is one start of a call at a back end.
type Execution struct {
	CallID  string
	Backend string
	Begun   time.Time
}

// Departure is when a back end began to leave.
type Departure struct {
	Backend string
	At      time.Time
}

// Sighting is a version seen in force at a node.
type Sighting struct {
	Node    string
	Version uint64
	At      time.Time
}

// History is everything that was recorded. It is safe for concurrent use; a nil one
// records nothing.
type History struct {
	mu         sync.Mutex
	calls      []Call
	executions []Execution
	departures []Departure
	sightings  []Sighting
}

// AddCall records a finished call.
func (h *History) AddCall(c Call) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// AddExecution records that a back end began a call.
func (h *History) AddExecution(e Execution) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, e)
}

// AddDeparture records that a back end began to leave.
func (h *History) AddDeparture(d Departure) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.departures = append(h.departures, d)
}

// AddSighting records a version in force at a node.
func (h *History) AddSighting(s Sighting) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sightings = append(h.sightings, s)
}

// Records is a copy of a history.
type Records struct {
	Calls      []Call
	Executions []Execution
	Departures []Departure
	Sightings  []Sighting
}

// Records copies what was recorded so far.
func (h *History) Records() Records {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Records{
		Calls:      append([]Call(nil), h.calls...),
		Executions: append([]Execution(nil), h.executions...),
		Departures: append([]Departure(nil), h.departures...),
		Sightings:  append([]Sighting(nil), h.sightings...),
	}
}
