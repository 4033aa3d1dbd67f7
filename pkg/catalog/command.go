package catalog

import (
	"encoding/json"
	"fmt"

	"bramblelift/pkg/bundle"
	"bramblelift/pkg/deflate"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/quarantine"
)

// maxRecord bounds a command or a snapshot in bytes once it is expanded; it is as large as the
// largest frame between replicas.
const maxRecord = 64 << 20

// Command is one entry of the replicated log; just one of the pointers is set.
//
// Commands are written as JSON: they stand alone on disk for as long as the log does,
// where a gob stream would repeat its type description in every entry. Large ones are
// compressed once, when they are proposed: every replica gets, holds and keeps them so.
type Command struct {
	// OperationID is drawn by the operator's client and makes a resend harmless.
	OperationID string `json:"operation_id,omitempty"`
	// AtMillis is the leader's wall clock when it proposed, in Unix milliseconds.
	// It is only shown to people.
	AtMillis int64 `json:"at_millis,omitempty"`

	Create    *Create    `json:"create,omitempty"`
	Approve   *Approve   `json:"approve,omitempty"`
	Roll      *Roll      `json:"roll,omitempty"`
	Publish   *Publish   `json:"publish,omitempty"`
	Endpoints *Endpoints `json:"endpoints,omitempty"`
	// Suspects takes in evidence of requests that end back ends, and verdicts on them.
	Suspects *quarantine.Change `json:"suspects,omitempty"`
	// Orders changes what operators ordered besides configuration.
	Orders *orders.Change `json:"orders,omitempty"`
}

// Create makes a version, if the head still is what the operator saw.
type Create struct {
	ExpectedHead uint64 `json:"expected_head"`
	// Base is the version that Delta starts from, zero for the empty bundle.
	Base   uint64        `json:"base,omitempty"`
	Delta  bundle.Delta  `json:"delta"`
	Digest bundle.Digest `json:"digest"`
	// level is that of the content; it is no part of the entry.
	level Level
}

// Approve signs a version off.
type Approve struct {
	Version  uint64          `json:"version"`
	Approval bundle.Approval `json:"approval"`
}

// Roll puts an approved version into force everywhere.
type Roll struct {
	Version uint64 `json:"version"`
}

// Publish makes, approves and rolls a version under a number of the operator's choice, in
// one step.
type Publish struct {
	Create
	// Version is the number; it must be above the head.
	Version  uint64          `json:"version"`
	Approval bundle.Approval `json:"approval"`
	// Source turns the source document of the head into that of the new version;
	// SourceDigest is the new document's. The catalog does not look into it.
	Source       bundle.SourcePatch `json:"source"`
	SourceDigest bundle.Digest      `json:"source_digest"`
}

// Endpoints takes in changes of the platform's list.
type Endpoints struct {
	Changes []distribution.Endpoint `json:"changes"`
}

// Encode returns the command as log data.
func (c Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return deflate.PackRecord(data)
}

// DecodeCommand reads log data.
func DecodeCommand(record []byte) (Command, error) {
	data, err := deflate.UnpackRecord(record, maxRecord)
	if err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	return command, nil
}

// Code classifies a refusal, for programs.
type Code string

const (
	// CodeConflict: the head is not what the operator expected; somebody else won.
	CodeConflict Code = "conflict"
	// CodeOperationReused: the operation ID was used for another request.
	CodeOperationReused Code = "operation-id-reused"
	// CodeUnknownVersion: there is no such version, or not any more.
	CodeUnknownVersion Code = "unknown-version"
	// CodeUnknownSuspect: no request of that fingerprint is in quarantine.
	CodeUnknownSuspect Code = "unknown-suspect"
	// CodeUnknownZone: the deployment has no such zone.
	CodeUnknownZone Code = "unknown-zone"
	// CodeUnknownService: the service is neither configured nor has it back ends.
	CodeUnknownService Code = "unknown-service"
	// CodeNothingToDo: the version runs already as the only one.
	CodeNothingToDo Code = "nothing-to-do"
	// CodeRolloutConflict: another rollout of the service is under way.
	CodeRolloutConflict Code = "rollout-under-way"
	// CodeNoRollout: no rollout of the service is under way.
	CodeNoRollout Code = "no-rollout"
	// CodeNotApproved: the version has no approval yet.
	CodeNotApproved Code = "not-approved"
	// CodeSuperseded: a later version is in force already.
	CodeSuperseded Code = "superseded"
	// CodeInvalidBundle: the content does not pass validation.
	CodeInvalidBundle Code = "invalid-bundle"
	// CodeInvalidApproval: the approval does not check out.
	CodeInvalidApproval Code = "invalid-approval"
	// CodeInvalidRequest: the request itself cannot be understood.
	CodeInvalidRequest Code = "invalid-request"
	// CodeSource: the configuration source could not be read.
	CodeSource Code = "source-unavailable"
	// CodeUnavailable: there is no leader that could answer; try again.
	CodeUnavailable Code = "unavailable"
	// CodeUnknownOutcome: the leader was lost in between; resend under the same
	// operation ID to learn the outcome.
	CodeUnknownOutcome Code = "unknown-outcome"
)

// OperationError is a refusal. The state is as before.
type OperationError struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Winner is the version that stands where the operator wanted to put another.
	Winner *bundle.Manifest `json:"winner,omitempty"`
	// Problems are the faults of an invalid bundle.
	Problems []bundle.Problem `json:"problems,omitempty"`
}

// Error returns code and message.
func (e *OperationError) Error() string { return string(e.Code) + ": " + e.Message }

// Result answers a command.
type Result struct {
	Version  bundle.Manifest `json:"version"`
	Status   Status          `json:"status,omitempty"`
	Revision uint64          `json:"revision"`
	Error    *OperationError `json:"error,omitempty"`
}
