package gate

import "time"

const (
	// paceWeight is how much each newer answer counts in a back end's pace.
	paceWeight = 0.05
	// Bounds of the pace: a few odd calls must not make all others look late, or early.
	minPace = 0.25
	maxPace = 8.0
)

// pace is how much longer a back end takes for calls than their senders expect, who know the mean
// over all back ends. The zero value takes as long as is expected.
type pace struct {
	ratio float64
}

// note takes in an answer.
func (p *pace) note(expected, took time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxPace, max(minPace, float64(took)/float64(expected)))
	if p.ratio == 0 {
		p.ratio = 1
	}
	p.ratio += paceWeight * (ratio - p.ratio)
}

// of returns how long a call is expected to take here.
func (p *pace) of(expected time.Duration) time.Duration {
	if p.ratio == 0 {
		return expected
	}
	return time.Duration(p.ratio * float64(expected))
}

// paced is how long the back end is expected to take for a call.
func (g *Gate) paced(expected time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace.of(expected)
}
