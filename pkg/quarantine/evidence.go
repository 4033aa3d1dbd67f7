package quarantine

import "slices"

// Way identifies the caller of a request and the service that it goes to. A response counts only for its way: a
// request may crash the back ends of only one service, such as a new version's, or depend on the caller's
// credentials.
type Way struct {
	Caller  string `json:"caller,omitempty"`
	Service string `json:"service,omitempty"`
}

// End reports that a back end crashed with a request in flight.
type End struct {
	Request  Fingerprint `json:"request"`
	Instance string      `json:"instance"`
	Way      Way         `json:"way"`
	// Watched is set if the gate that admitted the request knew it as a suspect. Nodes of earlier releases
	// don't send it.
	Watched bool `json:"watched,omitempty"`
	// Void is set if the crash no longer counts: a response arrived later on the same way, or it was voided
	// for a trial.
	Void bool `json:"void,omitempty"`
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
