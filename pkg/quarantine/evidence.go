package quarantine

import (
	"slices"
	"strconv"
)

// Way identifies the caller of a request and the service that it goes to. A response counts only for its way: a
// request may crash the back ends of only one service, such as a new version's, or depend on the caller's
// credentials.
type Way struct {
	Caller  string `json:"caller,omitempty"`
	Service string `json:"service,omitempty"`
}

// End reports that a back end crashed with a request in flight.
type End struct {
	Request Fingerprint `json:"request"`
	// Instance is the key of the back end's run, see InstanceKey. Gates of earlier releases send the ID alone.
	Instance string `json:"instance"`
	Way      Way    `json:"way"`
	// Watched is set if the gate that admitted the request knew it as a suspect. Nodes of earlier releases
	// don't send it.
	Watched bool `json:"watched,omitempty"`
	// Void is set if the crash no longer counts: a response arrived later on the same way, or it was voided
	// for a trial.
	Void bool `json:"void,omitempty"`
}

// InstanceKey returns the key under which a crash of a back end counts once: its ID and, if it is known, its incarnation, so
// that a restart under the same ID may crash again.
func InstanceKey(id string, incarnation uint64) string {
	if incarnation == 0 {
		return id
	}
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

// Names reports whether the crash is one of a back end's run.
func (e End) Names(id string, incarnation uint64) bool {
	return e.Instance == id || e.Instance == InstanceKey(id, incarnation)
}

// Answer reports that a back end responded to a suspect.
type Answer struct {
	Request Fingerprint `json:"request"`
	Way     Way         `json:"way"`
}

// Evidence holds the crashes and responses observed by gates.
type Evidence struct {
	Ends    []End    `json:"ends,omitempty"`
	Answers []Answer `json:"answers,omitempty"`
}

// Empty reports whether there is no evidence.
func (e Evidence) Empty() bool { return len(e.Ends) == 0 && len(e.Answers) == 0 }

// Join appends other evidence.
func (e Evidence) Join(other Evidence) Evidence {
	return Evidence{Ends: slices.Concat(e.Ends, other.Ends), Answers: slices.Concat(e.Answers, other.Answers)}
}

// Ruling is a decision of the leader on a suspect.
type Ruling string

const (
	// Impose starts a quarantine: gates reject the request, except on ways with a response since the last
	// crash there.
	Impose Ruling = "impose"
	// Lift admits the request on trial: one more crash restores the quarantine for a longer term.
	Lift Ruling = "lift"
	// Forget removes the suspect from the table.
	Forget Ruling = "forget"
)

// Verdict applies a ruling to one suspect.
type Verdict struct {
	Request Fingerprint `json:"request"`
	Ruling  Ruling      `json:"ruling"`
}

// Change modifies a table: the evidence is applied first, then the verdicts.
type Change struct {
	Evidence Evidence  `json:"evidence,omitzero"`
	Verdicts []Verdict `json:"verdicts,omitempty"`
}
