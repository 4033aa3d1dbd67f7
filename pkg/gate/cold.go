package gate

import "time"

// ColdBounds configures how a back end is protected while it is cold.
type ColdBounds struct {
	// Start is how long a back end is cold after its start, zero for never.
	Start time.Duration
	// Rate is the number of calls per second that a cold back end sustains, zero for no limit.
	Rate float64
	// HealthPath is the URL path where the back end reports whether it is cold, empty for none.
	HealthPath string
}

// ColdSource is the origin of the gate's knowledge of whether its back end is cold.
type ColdSource string

const (
	// ColdAssumed means that the back end is new or was unreachable, and has not reported its state
	// yet.
	ColdAssumed ColdSource = "assumed"
	// ColdHeartbeat means that a heartbeat of the back end reported the state.
	ColdHeartbeat ColdSource = "heartbeat"
	// ColdHealth means that the response of the health path reported the state.
	ColdHealth ColdSource = "health"
	// ColdElapsed means that the reported or assumed cold period has passed.
	ColdElapsed ColdSource = "elapsed"
)

const (
	// heartbeatDelay is the longest time a heartbeat may be in transit: its sender times out after
	// a second. A heartbeat that arrives sooner after a failure may predate it.
	heartbeatDelay = time.Second
	// probeInterval is the minimum time between two probes of a health path that does not respond.
	probeInterval = 300 * time.Millisecond
	// coldRateFactor scales the configured cold rate. Cold back ends crash only well above that
	// rate, and the excess admits more calls while all back ends are cold.
	coldRateFactor = 1.25
	// defaultColdRate, in calls per second, applies to a back end that reports that it is cold
	// before the configuration is known. It is below the rate of any known service.
	defaultColdRate = 5
)

// coldState tracks whether the back end is cold and limits its rate of calls meanwhile. It does no
// I/O and reads no clock. The zero value is warm.
type coldState struct {
	bounds ColdBounds
	// configured is set once the bounds are known.
	configured bool
	rate       slidingRate
	// until is when the back end becomes warm according to source.
	until  time.Duration
	source ColdSource
	// lastRemaining is the remaining cold period as of the last update.
	lastRemaining time.Duration
	// assumed is set while the state is an assumption that the back end has not confirmed.
	// Heartbeats that arrive before trustHeartbeatFrom cannot shorten the cold period.
	assumed            bool
	trustHeartbeatFrom time.Duration
	// assumptions counts the assumptions, to discard responses to probes that started before the
	// latest.
	assumptions uint64
	// probing is set while a probe of the health path is in flight; nextProbe is the earliest start
	// of the next one.
	probing   bool
	nextProbe time.Duration
}

// setBounds applies the configuration.
func (c *coldState) setBounds(now time.Duration, bounds ColdBounds) {
	first := !c.configured
	c.bounds, c.configured = bounds, true
	c.rate.setRate(bounds.Rate * coldRateFactor)
	if c.assumed && first {
		c.until, c.lastRemaining = now+bounds.Start, bounds.Start
	}
}

// assume treats the back end as cold until it reports otherwise, since it may have restarted.
// Heartbeats already in transit may predate the restart and are not trusted.
func (c *coldState) assume(now time.Duration) {
	c.assumeNew(now)
	c.trustHeartbeatFrom = now + heartbeatDelay
}

// assumeNew is assume for a new back end, all of whose heartbeats are trusted.
func (c *coldState) assumeNew(now time.Duration) {
	c.until = max(c.until, now+c.bounds.Start)
	c.source, c.lastRemaining = ColdAssumed, c.until-now
	c.assumed, c.trustHeartbeatFrom = true, now
	c.assumptions++
}

// update applies the state that the back end reported.
func (c *coldState) update(now, remaining time.Duration, source ColdSource) {
	until := now + remaining
	if source == ColdHeartbeat && until < c.until && now < c.trustHeartbeatFrom {
		return
	}
	if source == ColdHealth {
		// The next heartbeat may have been sent before this response.
		c.trustHeartbeatFrom = max(c.trustHeartbeatFrom, now+heartbeatDelay)
	}
	c.until, c.source, c.lastRemaining, c.assumed = until, source, remaining, false
	if !c.configured && remaining > 0 {
		c.rate.setRate(defaultColdRate)
	}
}

// sourceAt returns the origin of the state at now.
func (c *coldState) sourceAt(now time.Duration) ColdSource {
	if c.until <= now && c.lastRemaining > 0 {
		return ColdElapsed
	}
	return c.source
}

// remaining returns how much longer the back end is cold, zero if it is warm.
func (c *coldState) remaining(now time.Duration) time.Duration { return max(0, c.until-now) }

// limited reports whether the rate limit applies at now.
func (c *coldState) limited(now time.Duration) bool {
	return c.until > now && c.rate.limited()
}

// nextAdmission returns the earliest time at which the next call may be admitted.
func (c *coldState) nextAdmission(now time.Duration) time.Duration {
	if !c.limited(now) {
		return now
	}
	return max(now, min(c.rate.nextAdmission(), c.until))
}

// wait estimates how long a call waits for the rate limit with ahead calls before it. The limit
// ends when the back end is warm.
func (c *coldState) wait(now time.Duration, ahead int) time.Duration {
	if !c.limited(now) {
		return 0
	}
	wait := c.nextAdmission(now) - now + time.Duration(ahead)*c.rate.interval()
	return min(wait, c.until-now)
}

// startProbe reports whether a probe of the health path is due, and marks it as started if so.
func (c *coldState) startProbe(now time.Duration) bool {
	due := c.assumed && c.until > now && c.bounds.HealthPath != "" && !c.probing && now >= c.nextProbe
	if due {
		c.probing, c.nextProbe = true, now+probeInterval
	}
	return due
}
