// Package retry bounds how much traffic retries may add.
package retry

import (
	"sync"
	"time"
)

// Config sets up a Budget.
type Config struct {
	// Ratio is how many retries each first attempt pays for.
	Ratio float64
	// PerSecond is a small allowance for when there is little traffic.
	PerSecond float64
	// Max bounds what can be saved up.
	Max float64
}

// DefaultConfig lets retries add a tenth to the traffic.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, PerSecond: 1, Max: 20}
}

// DeclineConfig lets retries of declined calls double the number of attempts: a decline
// is cheap, and the next back end may well be free.
func DeclineConfig() Config {
	return Config{Ratio: 1, PerSecond: 1, Max: 50}
}

// Budget is an account that first attempts pay into and retries draw from. It is safe
// for concurrent use.
type Budget struct {
	config Config

	mu        sync.Mutex
	balance   float64
	updatedAt time.Duration
}

// NewBudget returns a budget that starts with half of what it can hold.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, balance: config.Max / 2}
}

// Attempt notes a first attempt.
func (b *Budget) Attempt(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now, b.config.Ratio)
}

// Withdraw reports whether a retry may be made, and pays for it.
func (b *Budget) Withdraw(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now, 0)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Charge draws for calls that another service's retries cause here, which cannot be refused. It may overdraw the
// budget by as much as can be saved up; later attempts make up for that before another retry is allowed.
func (b *Budget) Charge(now time.Duration, amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(now, 0)
	b.balance = max(-b.config.Max, b.balance-amount)
}

func (b *Budget) earn(now time.Duration, amount float64) {
	elapsed := max(0, now-b.updatedAt)
	b.updatedAt = now
	b.balance = min(b.config.Max, b.balance+amount+elapsed.Seconds()*b.config.PerSecond)
}
