package forward

// Situation is the state of a call after a failed attempt.
type Situation struct {
	// Outcome states whether the attempt may have run.
	Outcome Outcome
	// Safe is set if the call is repeatable, that is, may run more than once.
	Safe bool
	// BodyWhole is set if the body can be sent again.
	BodyWhole bool
	// RetriedBefore is set if an earlier hop retries the call.
	RetriedBefore bool
	Attempts      int
	// OutOfTime is set if the deadline passed or the caller disconnected.
	OutOfTime bool
}

// MayRetry reports whether another attempt is permitted, subject to the retry budget. A call that may
// have run is retried only if it is repeatable.
func MayRetry(s Situation) bool {
	if s.OutOfTime || s.Attempts >= maxAttempts {
		return false
	}
	if s.Outcome != NotRun && !s.Safe {
		return false
	}
	return s.BodyWhole && !s.RetriedBefore
}

// Record accumulates the outcomes of a call's attempts. The zero value is ready to use.
type Record struct {
	mayHaveRun bool
}

// Note adds the outcome of a failed attempt.
func (r *Record) Note(outcome Outcome) {
	r.mayHaveRun = r.mayHaveRun || outcome != NotRun
}

// Refusal returns the outcome to report: NotRun only if no attempt may have run.
func (r *Record) Refusal() Outcome {
	if r.mayHaveRun {
		return Unknown
	}
	return NotRun
}
