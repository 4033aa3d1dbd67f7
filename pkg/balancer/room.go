package balancer

import "time"

// linkView is what a gate said last of the room on its link for large answers.
type linkView struct {
	wait time.Duration
	at   time.Duration
}

// linkWait is how long a large answer would wait for the link of the back end's gate: what was told,
// less what has been sent since.
func (e *endpoint) linkWait(now time.Duration) time.Duration {
	return max(0, e.link.wait-(now-e.link.at))
}

// roomWait is how long the rated call would wait at the gate, for a slot and for its answer's time on
// the link: a large answer is made while those before it are sent.
func (e *endpoint) roomWait(rating gateRating) time.Duration {
	wait := e.gateWait(rating.now)
	if rating.largeAnswer {
		wait += max(0, e.linkWait(rating.now)-e.gate.report.Service)
	}
	return wait
}

// LeastLinkWait is for how long a large answer waits at least for the link of any back end's gate.
func (p *Pool) LeastLinkWait(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	least := time.Duration(-1)
	for _, e := range p.endpoints {
		if wait := e.linkWait(now); !e.leaving && (least < 0 || wait < least) {
			least = wait
		}
	}
	return max(0, least)
}
