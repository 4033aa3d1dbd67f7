package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testBounds = ColdBounds{Start: 3 * time.Second, Rate: 14, HealthPath: "/health"}

func newColdState() coldState {
	var c coldState
	c.setBounds(0, testBounds)
	return c
}

func TestNewBackendIsColdUntilItReportsItsState(t *testing.T) {
	is := is.New(t)
	c := newColdState()
	c.assumeNew(time.Second)
	is.Equal(c.remaining(time.Second), 3*time.Second)
	is.True(c.limited(time.Second))
	is.True(c.startProbe(time.Second))
	is.True(!c.startProbe(time.Second)) // one is in flight
	c.update(1100*time.Millisecond, 0, ColdHealth)
	is.True(!c.limited(1100 * time.Millisecond))
	is.Equal(c.sourceAt(1100*time.Millisecond), ColdHealth)
	c.probing = false
	is.True(!c.startProbe(10 * time.Second)) // the state is known
}

func TestHeartbeatOfNewBackendIsAccepted(t *testing.T) {
	is := is.New(t)
	c := newColdState()
	c.assumeNew(time.Second)
	c.update(time.Second, 0, ColdHeartbeat)
	is.True(!c.limited(time.Second))
	c.update(4*time.Second, 2*time.Second, ColdHeartbeat) // turns cold again without a failed call
	is.Equal(c.remaining(4*time.Second), 2*time.Second)
	is.Equal(c.sourceAt(4*time.Second), ColdHeartbeat)
	is.True(!c.limited(6 * time.Second))
	is.Equal(c.sourceAt(6*time.Second), ColdElapsed)
}

// A heartbeat that was sent before the back end failed must not mark it warm afterwards.
func TestStaleHeartbeatDoesNotMarkBackendWarm(t *testing.T) {
	is := is.New(t)
	c := newColdState()
	c.update(0, 0, ColdHeartbeat)
	c.assume(time.Second)
	c.update(1900*time.Millisecond, 0, ColdHeartbeat)
	is.True(c.limited(1900 * time.Millisecond))
	is.True(c.startProbe(1900 * time.Millisecond))
	c.update(2000*time.Millisecond, 2500*time.Millisecond, ColdHealth)
	c.update(2100*time.Millisecond, 0, ColdHeartbeat)
	is.Equal(c.remaining(2100*time.Millisecond), 2400*time.Millisecond)
	c.update(3500*time.Millisecond, 500*time.Millisecond, ColdHeartbeat) // sent after the assumption
	is.Equal(c.remaining(3500*time.Millisecond), 500*time.Millisecond)
}

// The health path must be probed again at intervals while it does not respond, and the assumed cold
// period must end by itself.
func TestHealthPathIsProbedAgainUntilItResponds(t *testing.T) {
	is := is.New(t)
	c := newColdState()
	c.assume(0)
	is.True(c.startProbe(0))
	c.probing = false
	is.True(!c.startProbe(probeInterval - 1))
	is.True(c.startProbe(probeInterval))
	c.probing = false
	is.True(!c.startProbe(testBounds.Start))
	is.True(!c.limited(testBounds.Start))
}

// Cold bounds that arrive after the back end must apply to it.
func TestColdBoundsMayBeSetAfterTheBackend(t *testing.T) {
	is := is.New(t)
	var assumed coldState
	assumed.assumeNew(0)
	is.True(!assumed.limited(0))
	assumed.setBounds(time.Second, testBounds)
	is.True(assumed.limited(time.Second))
	is.Equal(assumed.remaining(time.Second), testBounds.Start)

	var reported coldState
	reported.assumeNew(0)
	reported.update(0, 2*time.Second, ColdHeartbeat)
	is.True(reported.limited(0)) // it is cold, but its rate is not configured yet
	is.Equal(len(reported.rate.admissions), defaultColdRate)
	reported.setBounds(time.Second, testBounds)
	is.Equal(reported.remaining(time.Second), time.Second)
	is.Equal(len(reported.rate.admissions), int(testBounds.Rate*coldRateFactor))
}

// A service without a cold rate must not be limited while it is cold.
func TestColdBackendWithoutRateIsNotLimited(t *testing.T) {
	is := is.New(t)
	var c coldState
	c.setBounds(0, ColdBounds{Start: time.Second})
	c.update(0, time.Second, ColdHeartbeat)
	is.Equal(c.remaining(0), time.Second)
	is.True(!c.limited(0))
	is.Equal(c.wait(0, 100), time.Duration(0))
}

// The estimated wait must grow with the calls ahead but end when the back end is warm.
func TestWaitForColdRateEndsWhenWarm(t *testing.T) {
	is := is.New(t)
	c := newColdState()
	c.update(0, time.Second, ColdHealth)
	is.Equal(c.wait(0, 0), time.Duration(0))
	is.Equal(c.wait(0, 3), 3*c.rate.interval())
	is.Equal(c.wait(0, 1000), time.Second)
	for range cap(c.rate.admissions) {
		c.rate.record(0)
	}
	is.Equal(c.nextAdmission(0), time.Second)
}
