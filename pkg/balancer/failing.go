package balancer

import "time"

// MeanFailing is the share of calls that the back ends fail or decline, over all of which it was
// heard, from 0 to 1; zero if nothing was heard.
func (p *Pool) MeanFailing(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum, count := 0.0, 0
	for _, e := range p.endpoints {
		if e.gate.reported && !e.leaving {
			sum += e.failing(now)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
