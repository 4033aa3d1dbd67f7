package forward

// Situation is what is known after a failed attempt.
type Situation struct {
	// Outcome says whether the attempt may have run.
	Outcome Outcome
	// Safe calls may run twice.
	Safe bool
	// BodyWhole says that the body can be sent again.
	BodyWhole bool
	// RetriedBefore says that an earlier hop already sends the call again.
	RetriedBefore bool
	Attempts      int
	// OutOfTime says that the deadline passed or the caller left.
	OutOfTime bool
}

// MayRetry decides whether another attempt is permitted; the budget must still pay for
// it. A call that may have run is never sent again unless it is safe.
func MayRetry(s Situation) bool {
	if s.OutOfTime || s.Attempts >= maxAttempts {
		return false
	}
	if s.Outcome != NotRun && !s.Safe {
		return false
	}
	return s.BodyWhole && !s.RetriedBefore
}

// Record is what the attempts of one call leave open. The zero value is ready.
type Record struct {
	mayHaveRun bool
}

// Note takes in how an attempt failed.
func (r *Record) Note(outcome Outcome) {
	r.mayHaveRun = r.mayHaveRun || outcome != NotRun
}

// Refusal returns what a refusal of the call may say: not-run only if that is known of
// every attempt.
func (r *Record) Refusal() Outcome {
	if r.mayHaveRun {
		return Unknown
	}
	return NotRun
}
