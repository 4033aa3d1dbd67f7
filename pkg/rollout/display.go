package rollout

import (
	"math"
	"time"
)

// Median returns an estimate of the median of the counted times, zero if there are none. It takes the
// interpolated position for the end of a bucket, so that the estimate is one bucket (a factor of 1.4) high.
func (t Times) Median() time.Duration {
	if t == (Times{}) {
		return 0
	}
	bucket := float64(t.quantile(0.5))
	return time.Duration(float64(firstBucket) * math.Pow(2, bucket/bucketsPerDouble)).Round(time.Millisecond)
}
