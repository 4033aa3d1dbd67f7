package sim

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// Kinds of operator calls.
const (
	readOperation = iota
	createOperation
	rollOperation
)

type operationInput struct {
	kind int
	// expected is the head that a create expects, or the version that a roll names.
	expected uint64
	// valid is whether the bundle of a create is valid.
	valid bool
}

type operationOutput struct {
	// known is false if the operator got no response.
	known  bool
	ok     bool
	head   uint64
	active uint64
}

// operationRecord is one call of an operator, including its resends.
type operationRecord struct {
	client     int
	input      operationInput
	output     operationOutput
	calledAt   time.Duration
	returnedAt time.Duration
}

func (c *cluster) beginOperation(client int, input operationInput) *operationRecord {
	record := &operationRecord{client: client, input: input, calledAt: c.simulation.now}
	c.operations = append(c.operations, record)
	return record
}

func (c *cluster) endOperation(record *operationRecord, output operationOutput) {
	record.output = output
	record.returnedAt = c.simulation.now
}

// registerState is the state of the sequential model: the newest version and the one in
// force.
type registerState struct {
	head   uint64
	active uint64
}

// operatorModel defines the valid responses of sequential calls. A call without a
// response may or may not have taken effect.
var operatorModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		return stepRegister(state.(registerState), input.(operationInput), output.(operationOutput))
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepRegister(state registerState, input operationInput, output operationOutput) []any {
	var next registerState
	var succeeds bool
	switch input.kind {
	case readOperation:
		if output.known && (output.head != state.head || output.active != state.active) {
			return nil
		}
		return []any{state}
	case createOperation:
		next, succeeds = state, input.valid && input.expected == state.head
		next.head++
	case rollOperation:
		// Operators roll only versions whose creation was confirmed.
		next, succeeds = state, input.expected >= state.active
		next.active = input.expected
	}
	if !output.known {
		if succeeds {
			return []any{state, next}
		}
		return []any{state}
	}
	if output.ok != succeeds {
		return nil
	}
	if !succeeds {
		return []any{state}
	}
	if input.kind == createOperation && output.head != next.head {
		return nil
	}
	return []any{next}
}

// linearizabilityLimit bounds the real time that the linearizability check may take.
const linearizabilityLimit = 5 * time.Second

// checkLinearizability checks the history of the operators' calls.
func (c *cluster) checkLinearizability() {
	if checkHistory(c.operations, c.simulation.now) == porcupine.Illegal {
		c.simulation.violate(invariantOperators, "no sequential order of %d calls explains their responses", len(c.operations))
	}
}

func checkHistory(records []*operationRecord, end time.Duration) porcupine.CheckResult {
	var history []porcupine.Operation
	for i, record := range records {
		returnedAt := record.returnedAt
		client := record.client
		if !record.output.known {
			returnedAt = end + time.Hour
			// The client continues after a timeout, so the open call gets a client ID of its own.
			client = len(records) + i
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: record.input, Output: record.output,
			Call: int64(record.calledAt), Return: int64(returnedAt),
		})
	}
	return porcupine.CheckOperationsTimeout(operatorModel.ToModel(), history, linearizabilityLimit)
}
