package sim

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// Kinds of operators' calls.
const (
	readOperation = iota
	createOperation
	rollOperation
)

type operationInput struct {
	kind int
	// expected is the head a create expects, or the version a roll names.
	expected uint64
	valid    bool
}

type operationOutput struct {
	// known is false for calls that never got an answer.
	known  bool
	ok     bool
	head   uint64
	active uint64
}

// operationRecord is one call of an operator, resends included.
type operationRecord struct {
	client int
	input  operationInput
	output operationOutput
	call   time.Duration
	ended  time.Duration
}

func (c *cluster) beginOperation(client int, input operationInput) *operationRecord {
	record := &operationRecord{client: client, input: input, call: c.world.now}
	c.operations = append(c.operations, record)
	return record
}

func (c *cluster) endOperation(record *operationRecord, output operationOutput) {
	record.output = output
	record.ended = c.world.now
}

// register is the state of the sequential model: the newest version and the one in
// force.
type register struct {
	head   uint64
	active uint64
}

// operatorModel says what each call may answer when calls come one after another. An
// unanswered call may or may not have happened.
var operatorModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		return stepRegister(state.(register), input.(operationInput), output.(operationOutput))
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepRegister(state register, input operationInput, output operationOutput) []any {
	var next register
	var happens bool
	switch input.kind {
	case readOperation:
		if output.known && (output.head != state.head || output.active != state.active) {
			return nil
		}
		return []any{state}
	case createOperation:
		next, happens = state, input.valid && input.expected == state.head
		next.head++
	case rollOperation:
		// A roll is only sent for a version whose create was answered.
		next, happens = state, input.expected >= state.active
		next.active = input.expected
	}
	if !output.known {
		if happens {
			return []any{state, next}
		}
		return []any{state}
	}
	if output.ok != happens {
		return nil
	}
	if !happens {
		return []any{state}
	}
	if input.kind == createOperation && output.head != next.head {
		return nil
	}
	return []any{next}
}

// linearizabilityLimit bounds the search.
const linearizabilityLimit = 5 * time.Second

// judgeOperators checks the operators' history.
func (c *cluster) judgeOperators() {
	if checkHistory(c.operations, c.world.now) == porcupine.Illegal {
		c.world.violate(invariantOperators, "%d calls have no order that explains their answers", len(c.operations))
	}
}

func checkHistory(records []*operationRecord, end time.Duration) porcupine.CheckResult {
	var history []porcupine.Operation
	for i, record := range records {
		ended := record.ended
		client := record.client
		if !record.output.known {
			ended = end + time.Hour
			// The client goes on after it gave up, so the open call is another's.
			client = len(records) + i
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: record.input, Output: record.output,
			Call: int64(record.call), Return: int64(ended),
		})
	}
	return porcupine.CheckOperationsTimeout(operatorModel.ToModel(), history, linearizabilityLimit)
}
