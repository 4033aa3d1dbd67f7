package forward

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against throttling calls of a route because another service of the same route is full.
func TestThrottlesArePerRouteAndService(t *testing.T) {
	is := is.New(t)
	throttles := newThrottles()
	for range 100 {
		throttles.get("shared", "full").Allow(0, 0.99)
	}
	is.True(!throttles.get("shared", "full").Allow(0, 0.5))
	is.True(throttles.get("shared", "free").Allow(0, 0.5))
	throttles.prune(func(route string) bool { return route != "shared" })
	is.Equal(len(throttles.byKey), 0)
	is.True(throttles.get("shared", "full").Allow(0, 0.5)) // the throttle was dropped
}
