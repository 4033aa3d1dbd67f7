package stream

import "time"

// AdmissionConfig bounds the rate at which new subscribers are admitted.
type AdmissionConfig struct {
	// PerSecond is the sustained rate, Burst the number admitted at once.
	PerSecond float64
	Burst     float64
}

// admissionLimiter is a token bucket that assigns each rejected subscriber its own later slot, so
// that the retries of a burst are spread over time. It is not safe for concurrent use.
type admissionLimiter struct {
	config AdmissionConfig
	tokens float64
	// reservedSlots counts the slots assigned and not yet due.
	reservedSlots float64
	updatedAt     time.Duration
}

func newAdmissionLimiter(config AdmissionConfig) *admissionLimiter {
	return &admissionLimiter{config: config, tokens: config.Burst}
}

// admit reports whether a subscriber is admitted, and if not, after how long it should retry.
func (a *admissionLimiter) admit(now time.Duration) (bool, time.Duration) {
	gained := (now - a.updatedAt).Seconds() * a.config.PerSecond
	a.updatedAt = now
	a.tokens = min(a.config.Burst, a.tokens+gained)
	a.reservedSlots = max(0, a.reservedSlots-gained)
	if a.tokens >= 1 {
		a.tokens--
		return true, 0
	}
	a.reservedSlots++
	return false, time.Duration(a.reservedSlots / a.config.PerSecond * float64(time.Second))
}
