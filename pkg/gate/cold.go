package gate

import "time"

// ColdBounds say what a back end bears while it is cold.
type ColdBounds struct {
	// Start is for how long a back end is cold after its start, zero if it never is.
	Start time.Duration
	// Rate is how many calls a second a cold one bears, zero for no bound.
	Rate float64
	// HealthPath is where a back end says whether it is cold, empty for nowhere.
	HealthPath string
}

// ColdSource is how a gate knows whether its back end is cold.
type ColdSource string

const (
	// ColdAssumed: the back end is new to the gate or was away, and has not said yet.
	ColdAssumed ColdSource = "assumed"
	// ColdHeartbeat: the back end's heartbeat said so.
	ColdHeartbeat ColdSource = "heartbeat"
	// ColdHealth: the answer of its health path said so.
	ColdHealth ColdSource = "health"
	// ColdElapsed: the time that was left has passed.
	ColdElapsed ColdSource = "elapsed"
)

const (
	// heartbeatDelay is how long a heartbeat may be on its way: its sender gives it up after a second.
	// One that comes sooner after the back end was away may have been sent before.
	heartbeatDelay = time.Second
	// probeInterval is the least time between two probes of the health path of a back end that does not
	// answer.
	probeInterval = 300 * time.Millisecond
	// coldShare of the rate that a cold back end bears is let in. It falls over only with well more, and
	// in a fleet that is cold as a whole each call that fits counts.
	coldShare = 1.25
	// unknownColdRate is kept, in calls a second, for a back end that says that it is cold before the
	// configuration is here: less than any service is known to bear.
	unknownColdRate = 5
)

// coldness is what a gate knows of how cold its back end is, and the rate that it keeps for that. It
// does no I/O and reads no clock. Its zero value is warm.
type coldness struct {
	bounds ColdBounds
	// configured is set once the bounds are known.
	configured bool
	rate       slidingRate
	// until is when the back end is warm, as source says.
	until  time.Duration
	source ColdSource
	// told is the time that was left when it was told.
	told time.Duration
	// unsure is set from an assumption until the back end says itself; trustFrom is from when on a
	// heartbeat that says that it is warm was sent after the assumption.
	unsure    bool
	trustFrom time.Duration
	// doubts counts the assumptions: what was asked before one does not answer it.
	doubts uint64
	// probing is set while a probe of the health path is under way, nextProbe is when the next may start.
	probing   bool
	nextProbe time.Duration
}

// setBounds takes in the configuration.
func (c *coldness) setBounds(now time.Duration, bounds ColdBounds) {
	first := !c.configured
	c.bounds, c.configured = bounds, true
	c.rate.setRate(bounds.Rate * coldShare)
	if c.unsure && first {
		c.until, c.told = now+bounds.Start, bounds.Start
	}
}

// assume takes the back end for cold until it says otherwise: it may have started anew. A heartbeat
// that is on its way may be from before.
func (c *coldness) assume(now time.Duration) {
	c.assumeNew(now)
	c.trustFrom = now + heartbeatDelay
}

// assumeNew is assume for a back end that the gate did not know: whatever it says, it has said since.
func (c *coldness) assumeNew(now time.Duration) {
	c.until = max(c.until, now+c.bounds.Start)
	c.source, c.told = ColdAssumed, c.until-now
	c.unsure, c.trustFrom = true, now
	c.doubts++
}

// learn takes in what the back end said of itself.
func (c *coldness) learn(now, remaining time.Duration, source ColdSource) {
	until := now + remaining
	if source == ColdHeartbeat && until < c.until && now < c.trustFrom {
		return
	}
	if source == ColdHealth {
		// The next heartbeat may have been sent before this answer.
		c.trustFrom = max(c.trustFrom, now+heartbeatDelay)
	}
	c.until, c.source, c.told, c.unsure = until, source, remaining, false
	if !c.configured && remaining > 0 {
		c.rate.setRate(unknownColdRate)
	}
}

// sourceAt is how it is known that the back end is cold or warm now.
func (c *coldness) sourceAt(now time.Duration) ColdSource {
	if c.until <= now && c.told > 0 {
		return ColdElapsed
	}
	return c.source
}

// remaining is for how much longer the back end is cold, zero if it is warm.
func (c *coldness) remaining(now time.Duration) time.Duration { return max(0, c.until-now) }

// limited reports whether the rate is kept now.
func (c *coldness) limited(now time.Duration) bool {
	return c.until > now && c.rate.bounded()
}

// openAt is from when on the next call may be let in.
func (c *coldness) openAt(now time.Duration) time.Duration {
	if !c.limited(now) {
		return now
	}
	return max(now, min(c.rate.openAt(), c.until))
}

// wait is how long a call waits for the rate that so many others go before. Those that are not let in
// until the back end is warm are then.
func (c *coldness) wait(now time.Duration, ahead int) time.Duration {
	if !c.limited(now) {
		return 0
	}
	wait := c.openAt(now) - now + time.Duration(ahead)*c.rate.interval()
	return min(wait, c.until-now)
}

// startProbe reports whether a probe of the health path is due, and counts it as under way then.
func (c *coldness) startProbe(now time.Duration) bool {
	due := c.unsure && c.until > now && c.bounds.HealthPath != "" && !c.probing && now >= c.nextProbe
	if due {
		c.probing, c.nextProbe = true, now+probeInterval
	}
	return due
}
