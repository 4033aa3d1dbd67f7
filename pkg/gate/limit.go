package gate

import (
	"math"
	"time"

	"bramblelift/pkg/exchange"
)

// recordArrival records the priority of a call, and applies the limit that the back end named to its sender. g.mu must be held.
func (g *Gate) recordArrival(now time.Duration, req request) {
	g.urgent.Record(now, req.priority)
	if !req.knowsLimit || req.instance != g.backend.ID || req.knownLimit.Incarnation != g.backend.Incarnation {
		return
	}
	g.limit.Adopt(now, req.knownLimit.Rate)
	g.reportLimit(g.invalidLimit)
}

// chargeResends counts the requests that the transport sent to the back end beyond the first one.
func (g *Gate) chargeResends(adm admission, resends int) {
	if resends == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for range resends {
		if adm.generation == g.generation {
			g.limit.Charge(g.config.Now())
		}
	}
}

// refundLimit reverts the charge for a call that was not sent.
func (g *Gate) refundLimit(adm admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if adm.generation == g.generation {
		g.limit.Refund()
	}
}

// nextAdmission returns the earliest time at which the cold rate and the named limit admit a call with the given priority.
// g.mu must be held.
func (g *Gate) nextAdmission(now time.Duration, priority int) time.Duration {
	return max(g.cold.nextAdmission(now), now+g.limitWait(now, 0, priority))
}

// limitWait estimates how long a call waits for the named limit with ahead calls before it. g.mu must be held.
func (g *Gate) limitWait(now time.Duration, ahead, priority int) time.Duration {
	return g.limit.Wait(now, ahead, g.urgent.Reserved(now, priority))
}

// rateWait estimates how long a call waits for the cold rate and the named limit with ahead calls before it. g.mu must
// be held.
func (g *Gate) rateWait(now time.Duration, ahead, priority int) time.Duration {
	return max(g.cold.wait(now, ahead), g.limitWait(now, ahead, priority))
}

// rateReason returns the reason to reject a call that would wait too long for the cold rate or the named limit. g.mu must
// be held.
func (g *Gate) rateReason(now time.Duration) exchange.Reason {
	queued := len(g.queue)
	if g.limit.Limited() && g.limit.Wait(now, queued, 0) >= g.cold.wait(now, queued) {
		return exchange.ReasonLimit
	}
	return exchange.ReasonCold
}

// dropDisplaced rejects queued calls that can no longer be admitted within their wait, because the named limit has
// fallen or calls of higher priority have arrived. g.mu must be held.
func (g *Gate) dropDisplaced(now time.Duration) {
	if !g.limit.Limited() {
		return
	}
	kept := 0
	for _, w := range g.queue.inOrder() {
		if now+g.limitWait(now, kept, w.priority) <= w.waitsUntil {
			kept++
			continue
		}
		g.queue.remove(w)
		w.reason = exchange.ReasonLimit
		close(w.dropped)
	}
}

// limitReport returns the named limit for the load report to a call with the given priority. g.mu must be held.
func (g *Gate) limitReport(now time.Duration, priority int) exchange.Limit {
	if !g.limit.Limited() {
		return exchange.Limit{}
	}
	ahead := g.queue.ahead(&waiter{priority: priority, deadline: maxDeadline}) + g.receiving
	return exchange.Limit{Named: true, Rate: g.limit.Rate(), AdmissionDelay: g.limitWait(now, ahead, priority), UrgentDelay: g.limit.Wait(now, 0, 0)}
}

// maxDeadline is after every deadline.
const maxDeadline = time.Duration(math.MaxInt64)
