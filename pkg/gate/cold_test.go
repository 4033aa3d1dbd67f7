package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testBounds = ColdBounds{Start: 3 * time.Second, Rate: 14, HealthPath: "/health"}

func newColdness() coldness {
	var c coldness
	c.setBounds(0, testBounds)
	return c
}

func TestNewBackEndIsColdUntilItSays(t *testing.T) {
	is := is.New(t)
	c := newColdness()
	c.assumeNew(time.Second)
	is.Equal(c.remaining(time.Second), 3*time.Second)
	is.True(c.limited(time.Second))
	is.True(c.startProbe(time.Second))
	is.True(!c.startProbe(time.Second)) // one is under way
	c.learn(1100*time.Millisecond, 0, ColdHealth)
	is.True(!c.limited(1100 * time.Millisecond))
	is.Equal(c.sourceAt(1100*time.Millisecond), ColdHealth)
	c.probing = false
	is.True(!c.startProbe(10 * time.Second)) // known is known
}

func TestHeartbeatOfANewBackEndIsBelieved(t *testing.T) {
	is := is.New(t)
	c := newColdness()
	c.assumeNew(time.Second)
	c.learn(time.Second, 0, ColdHeartbeat)
	is.True(!c.limited(time.Second))
	c.learn(4*time.Second, 2*time.Second, ColdHeartbeat) // cold again without a word before
	is.Equal(c.remaining(4*time.Second), 2*time.Second)
	is.Equal(c.sourceAt(4*time.Second), ColdHeartbeat)
	is.True(!c.limited(6 * time.Second))
	is.Equal(c.sourceAt(6*time.Second), ColdElapsed)
}

// A heartbeat that was sent before the back end was away says nothing of how it came back.
func TestLateHeartbeatDoesNotWarm(t *testing.T) {
	is := is.New(t)
	c := newColdness()
	c.learn(0, 0, ColdHeartbeat)
	c.assume(time.Second)
	c.learn(1900*time.Millisecond, 0, ColdHeartbeat)
	is.True(c.limited(1900 * time.Millisecond))
	is.True(c.startProbe(1900 * time.Millisecond))
	c.learn(2000*time.Millisecond, 2500*time.Millisecond, ColdHealth)
	c.learn(2100*time.Millisecond, 0, ColdHeartbeat)
	is.Equal(c.remaining(2100*time.Millisecond), 2400*time.Millisecond)
	c.learn(3500*time.Millisecond, 500*time.Millisecond, ColdHeartbeat) // sent since
	is.Equal(c.remaining(3500*time.Millisecond), 500*time.Millisecond)
}

// Health is asked again at intervals while it does not answer, and an assumption ends by itself.
func TestSilentHealthPath(t *testing.T) {
	is := is.New(t)
	c := newColdness()
	c.assume(0)
	is.True(c.startProbe(0))
	c.probing = false
	is.True(!c.startProbe(probeInterval - 1))
	is.True(c.startProbe(probeInterval))
	c.probing = false
	is.True(!c.startProbe(testBounds.Start))
	is.True(!c.limited(testBounds.Start))
}

// The bounds may come after the back end.
func TestBoundsAfterTheBackEnd(t *testing.T) {
	is := is.New(t)
	var unsure coldness
	unsure.assumeNew(0)
	is.True(!unsure.limited(0))
	unsure.setBounds(time.Second, testBounds)
	is.True(unsure.limited(time.Second))
	is.Equal(unsure.remaining(time.Second), testBounds.Start)

	var told coldness
	told.assumeNew(0)
	told.learn(0, 2*time.Second, ColdHeartbeat)
	is.True(told.limited(0)) // it is cold, and what it bears is not known yet
	is.Equal(len(told.rate.starts), unknownColdRate)
	told.setBounds(time.Second, testBounds)
	is.Equal(told.remaining(time.Second), time.Second)
	is.Equal(len(told.rate.starts), int(testBounds.Rate*coldShare))
}

// A service without a rate is slow while cold, but not bound.
func TestColdWithoutRate(t *testing.T) {
	is := is.New(t)
	var c coldness
	c.setBounds(0, ColdBounds{Start: time.Second})
	c.learn(0, time.Second, ColdHeartbeat)
	is.Equal(c.remaining(0), time.Second)
	is.True(!c.limited(0))
	is.Equal(c.wait(0, 100), time.Duration(0))
}

// The wait for the rate grows with those before, but ends when the back end is warm.
func TestWaitForTheRate(t *testing.T) {
	is := is.New(t)
	c := newColdness()
	c.learn(0, time.Second, ColdHealth)
	is.Equal(c.wait(0, 0), time.Duration(0))
	is.Equal(c.wait(0, 3), 3*c.rate.interval())
	is.Equal(c.wait(0, 1000), time.Second)
	for range cap(c.rate.starts) {
		c.rate.note(0)
	}
	is.Equal(c.openAt(0), time.Second)
}
