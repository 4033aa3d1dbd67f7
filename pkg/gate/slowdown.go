package gate

import "time"

const (
	// slowdownWeight is the weight of each new sample in the moving average.
	slowdownWeight = 0.05
	// Bounds of a sample, so that few outliers do not make all other calls look late, or early.
	minSlowdown = 0.25
	maxSlowdown = 8.0
)

// slowdown is the ratio of the back end's service times to those that senders expect, which are
// means over all back ends. The zero value is a ratio of 1.
type slowdown struct {
	ratio float64
}

// record adds the expected and the actual service time of a call.
func (s *slowdown) record(expected, took time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowdown, max(minSlowdown, float64(took)/float64(expected)))
	if s.ratio == 0 {
		s.ratio = 1
	}
	s.ratio += slowdownWeight * (ratio - s.ratio)
}

// apply returns the expected service time at this back end.
func (s *slowdown) apply(expected time.Duration) time.Duration {
	if s.ratio == 0 {
		return expected
	}
	return time.Duration(s.ratio * float64(expected))
}

// adjustedWork returns the expected service time of a call at this back end.
func (g *Gate) adjustedWork(expected time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slowdown.apply(expected)
}
