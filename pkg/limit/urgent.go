package limit

import "time"

// urgentWindow is how long after a call a token is kept for further calls of its priority.
const urgentWindow = 2 * time.Second

// Urgent is the highest priority of recent calls. While calls wait for a limit, one token is kept for it: calls that
// cannot wait are otherwise rejected whenever one of lower priority came first.
type Urgent struct {
	seen     bool
	priority int
	at       time.Duration
}

// Record counts a call.
func (u *Urgent) Record(now time.Duration, priority int) {
	if !u.seen || priority <= u.priority || now-u.at > urgentWindow {
		u.seen, u.priority, u.at = true, priority, now
	}
}

// Reserved returns the tokens that a call with the given priority must leave.
func (u *Urgent) Reserved(now time.Duration, priority int) int {
	if u.seen && priority > u.priority && now-u.at <= urgentWindow {
		return 1
	}
	return 0
}
