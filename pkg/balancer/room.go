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
