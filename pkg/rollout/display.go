package rollout

import (
	"math"
	"time"
)

// Median returns the median of the counted times, rounded up to the end of its bucket, and zero if there
// are none.
func (t Times) Median() time.Duration {
	if t == (Times{}) {
		return 0
	}
	bucket := float64(t.quantile(0.5))
	return time.Duration(float64(firstBucket) * math.Pow(2, bucket/bucketsPerDouble)).Round(time.Millisecond)
}
