package clock

import (
	"math"
	"time"
)

// Kept is the share of what was observed that still counts after a time, with the time after which
// half of it does.
func Kept(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
