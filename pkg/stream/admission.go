package stream

import "time"

// AdmissionConfig bounds how fast new subscribers are taken on.
type AdmissionConfig struct {
	// PerSecond is the steady rate, Burst how many may come at once.
	PerSecond float64
	Burst     float64
}

// admission is a token bucket that gives each one it turns away a later slot of its
// own, so that a herd comes back spread out. It is not safe for concurrent use.
type admission struct {
	config AdmissionConfig
	tokens float64
	// booked counts the slots given out and not yet due.
	booked    float64
	updatedAt time.Duration
}

func newAdmission(config AdmissionConfig) *admission {
	return &admission{config: config, tokens: config.Burst}
}

// admit reports whether a subscriber may come in, or after how long it should ask
// again.
func (a *admission) admit(now time.Duration) (bool, time.Duration) {
	gained := (now - a.updatedAt).Seconds() * a.config.PerSecond
	a.updatedAt = now
	a.tokens = min(a.config.Burst, a.tokens+gained)
	a.booked = max(0, a.booked-gained)
	if a.tokens >= 1 {
		a.tokens--
		return true, 0
	}
	a.booked++
	return false, time.Duration(a.booked / a.config.PerSecond * float64(time.Second))
}
