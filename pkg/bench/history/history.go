// Package history records calls, executions, departures and configuration versions for the
// checkers. It is independent of the product's code.
package history

import (
	"sync"
	"time"
)

// Call is one call as observed by its caller.
type Call struct {
	ID string
	// Once marks a call that must not run more than once.
	Once  bool
	Start time.Time
	End   time.Time
	// Status is the HTTP status of the response, or zero if the call got none.
	Status int
	// Outcome is the Request-Outcome header of the response: "not-run", "unknown" or empty.
	Outcome string
	// Complete reports that the response is complete and belongs to this call.
	Complete bool
	// Foreign reports that the response belongs to another call.
	Foreign bool
	// Error is the text of the client's error, if any.
	Error string
	// Node is the address of the node that was called.
	Node string
}

// Answered reports whether a back end responded with status 200.
func (c Call) Answered() bool { return c.Status == 200 }

// Execution records that a back end started to process a call.
type Execution struct {
	CallID  string
	Backend string
	Begun   time.Time
}

// Departure records the time at which a back end began to leave.
type Departure struct {
	Backend string
	At      time.Time
}

// VersionObservation is an observation of the version in force at a node.
type VersionObservation struct {
	Node    string
	Version uint64
	At      time.Time
}

// History collects records. It is safe for concurrent use. The Add methods of a nil
// History do nothing.
type History struct {
	mu                  sync.Mutex
	calls               []Call
	executions          []Execution
	departures          []Departure
	versionObservations []VersionObservation
}

// AddCall records a completed call.
func (h *History) AddCall(c Call) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// AddExecution records that a back end started to process a call.
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

// AddVersionObservation records an observed version of a node.
func (h *History) AddVersionObservation(s VersionObservation) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versionObservations = append(h.versionObservations, s)
}

// Records is a snapshot of a history, in the order of recording.
type Records struct {
	Calls               []Call
	Executions          []Execution
	Departures          []Departure
	VersionObservations []VersionObservation
}

// Records returns a snapshot of the history.
func (h *History) Records() Records {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Records{
		Calls:               append([]Call(nil), h.calls...),
		Executions:          append([]Execution(nil), h.executions...),
		Departures:          append([]Departure(nil), h.departures...),
		VersionObservations: append([]VersionObservation(nil), h.versionObservations...),
	}
}
