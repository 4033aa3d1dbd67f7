package forward

// RetryState is the state of a call after a failed attempt.
type RetryState struct {
	// Outcome states whether the attempt may have run.
	Outcome Outcome
	// Repeatable is set if the call is repeatable, that is, may run more than once.
	Repeatable bool
	// BodyReplayable is set if the body can be sent again.
	BodyReplayable bool
	// RetriedBefore is set if an earlier hop retries the call.
	RetriedBefore bool
	Attempts      int
	// Expired is set if the deadline passed or the caller disconnected.
	Expired bool
}

// MayRetry reports whether another attempt is permitted, subject to the retry budget. A call that may
// have run is retried only if it is repeatable.
func MayRetry(s RetryState) bool {
	if s.Expired || s.Attempts >= maxAttempts {
		return false
	}
	if s.Outcome != NotRun && !s.Repeatable {
		return false
	}
	return s.BodyReplayable && !s.RetriedBefore
}

// OutcomeRecord accumulates the outcomes of a call's attempts. The zero value is ready to use.
type OutcomeRecord struct {
	mayHaveRun bool
}

// Note adds the outcome of a failed attempt.
func (r *OutcomeRecord) Note(outcome Outcome) {
	r.mayHaveRun = r.mayHaveRun || outcome != NotRun
}

// Refusal returns the outcome to report: NotRun only if no attempt may have run.
func (r *OutcomeRecord) Refusal() Outcome {
	if r.mayHaveRun {
		return Unknown
	}
	return NotRun
}
