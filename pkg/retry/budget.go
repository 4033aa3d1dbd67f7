// Package retry bounds the traffic that retries add, and throttles requests to overloaded servers.
package retry

import (
	"sync"
	"time"
)

// Config holds the parameters of a Budget.
type Config struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// PerSecond is the number of retries added per second, for times of little traffic.
	PerSecond float64
	// Max bounds the balance, in retries.
	Max float64
}

// DefaultConfig returns a configuration in which retries add at most a tenth to the traffic, apart from
// the small amount per second.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, PerSecond: 1, Max: 20}
}

// DeclinedRetriesConfig returns a configuration for retries of calls that a back end declined without starting
// them. They may double the number of attempts: a decline is cheap, and the next back end may have free
// capacity.
func DeclinedRetriesConfig() Config {
	return Config{Ratio: 1, PerSecond: 1, Max: 50}
}

// Budget is a token bucket: the first attempts of calls fill it, and retries drain it. It is safe for
// concurrent use.
type Budget struct {
	config Config

	mu        sync.Mutex
	balance   float64
	updatedAt time.Duration
}

// NewBudget returns a budget whose balance is half of its maximum.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, balance: config.Max / 2}
}

// Attempt records a first attempt and credits the budget for it.
func (b *Budget) Attempt(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(now, b.config.Ratio)
}

// Withdraw reports whether a retry is allowed, and debits the budget if so.
func (b *Budget) Withdraw(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(now, 0)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Charge debits incoming calls that exist only because another service retried; amount is in retries. They
// can't be rejected, so the balance may fall to -Max; no retry is allowed until it is at least 1.
func (b *Budget) Charge(now time.Duration, amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(now, 0)
	b.balance = max(-b.config.Max, b.balance-amount)
}

func (b *Budget) credit(now time.Duration, amount float64) {
	elapsed := max(0, now-b.updatedAt)
	b.updatedAt = now
	b.balance = min(b.config.Max, b.balance+amount+elapsed.Seconds()*b.config.PerSecond)
}
