package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRetriesAreBoundedByTraffic(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Config{Ratio: 0.1, Max: 20})
	for b.Withdraw(0) {
	}
	granted := 0
	const calls = 1000
	for range calls {
		b.Attempt(0)
		if b.Withdraw(0) {
			granted++
		}
	}
	is.True(granted >= 95 && granted <= 101) // a tenth, although every call requests a retry
}

func TestBudgetBalanceIsBounded(t *testing.T) {
	is := is.New(t)
	b := NewBudget(DefaultConfig())
	for range 10000 {
		b.Attempt(time.Second)
	}
	granted := 0
	for b.Withdraw(time.Second) {
		granted++
	}
	is.Equal(granted, int(DefaultConfig().Max))
	is.True(b.Withdraw(3 * time.Second)) // PerSecond has refilled the budget
}

// Calls charged to the budget must reduce the retries that it allows.
func TestChargesReduceRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Config{Ratio: 0.1, Max: 20})
	granted := 0
	for range 10_000 {
		b.Attempt(0)
		b.Charge(0, 0.06)
		if b.Withdraw(0) {
			granted++
		}
	}
	is.True(granted >= 380 && granted <= 420) // 0.1 earned minus 0.06 charged per call
	for range 1000 {
		b.Charge(0, 1)
	}
	is.True(!b.Withdraw(0))
	for range 220 { // the debt is bounded
		b.Attempt(0)
	}
	is.True(b.Withdraw(0))
}
