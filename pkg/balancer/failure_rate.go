package balancer

import "time"

// MeanFailureRate returns the mean failure rate (calls failed or rejected, 0 to 1) over all back ends that are
// not leaving and whose gates have reported; zero if none has.
func (p *Pool) MeanFailureRate(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum, count := 0.0, 0
	for _, e := range p.endpoints {
		if e.gate.reported && !e.leaving {
			sum += e.failureRate(now)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
