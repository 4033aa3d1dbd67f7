package forward

import (
	"testing"

	"github.com/matryer/is"
)

// A service that is full must not hold up the calls of the same route that go to another.
func TestEachPartOfARouteHasItsThrottle(t *testing.T) {
	is := is.New(t)
	throttles := newThrottles()
	for range 100 {
		throttles.of("shared", "full").Allow(0, 0.99)
	}
	is.True(!throttles.of("shared", "full").Allow(0, 0.5))
	is.True(throttles.of("shared", "free").Allow(0, 0.5))
	throttles.keep(func(route string) bool { return route != "shared" })
	is.Equal(len(throttles.held), 0)
	is.True(throttles.of("shared", "full").Allow(0, 0.5)) // what was known of it is forgotten
}
