package clock

import (
	"math"
	"time"
)

// DecayFactor returns the weight in (0, 1] that an observation still has after the elapsed time, if
// weights halve every halfLife.
func DecayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
