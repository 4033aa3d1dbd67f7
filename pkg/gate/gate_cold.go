package gate

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/roundtrip"
)

const (
	// probeTimeout bounds a probe of the health path.
	probeTimeout = 500 * time.Millisecond
	// maxHealthBytes bounds the body of a response of the health path.
	maxHealthBytes = 64 << 10
)

// ColdChange describes that a back end turned cold or warm.
type ColdChange struct {
	Backend   string
	Cold      bool
	Remaining time.Duration
	Source    ColdSource
}

// SetColdBounds sets how the back end is protected while it is cold.
func (g *Gate) SetColdBounds(bounds ColdBounds) {
	g.updateCold(func(now time.Duration) { g.cold.setBounds(now, bounds) })
}

// SetColdRemaining applies a heartbeat of the back end with this ID: how much longer it is cold, zero if
// it is warm.
func (g *Gate) SetColdRemaining(id string, remaining time.Duration) {
	g.updateCold(func(now time.Duration) {
		if g.backend.ID == id {
			g.cold.update(now, remaining, ColdHeartbeat)
		}
	})
}

// assumeCold treats the back end as cold until it reports otherwise, for instance after its gate
// was closed and it may have turned cold unnoticed. g.mu must be held.
func (g *Gate) assumeCold(now time.Duration) {
	g.cold.assume(now)
	g.reportColdChange(now)
}

// updateCold changes the cold state and admits the queued calls that it allows.
func (g *Gate) updateCold(update func(now time.Duration)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	update(now)
	g.reportColdChange(now)
	g.dispatch()
}

// reportColdChange calls OnCold if the back end has turned cold or warm. g.mu must be held.
func (g *Gate) reportColdChange(now time.Duration) {
	remaining := g.cold.remaining(now)
	if !g.present || g.reportedCold == (remaining > 0) {
		return
	}
	g.reportedCold = remaining > 0
	if g.config.OnCold != nil {
		g.config.OnCold(ColdChange{Backend: g.backend.ID, Cold: g.reportedCold, Remaining: remaining, Source: g.cold.sourceAt(now)})
	}
}

// probeIfAssumed asks the back end whether it is cold if that is only assumed. Calls are admitted
// at the cold rate until it responds. g.mu must be held.
func (g *Gate) probeIfAssumed(now time.Duration) {
	if !g.cold.startProbe(now) {
		return
	}
	g.limit.Charge(now)
	backend, path, generation, assumptions := g.backend, g.cold.bounds.HealthPath, g.generation, g.cold.assumptions
	go func() {
		remaining, said, err := g.probeHealth(backend.Address, path)
		g.updateCold(func(now time.Duration) {
			g.cold.probing = false
			if err == nil && generation == g.generation && assumptions == g.cold.assumptions {
				g.cold.update(now, remaining, ColdHealth)
			}
		})
		g.recordHealthStatement(admission{backend: backend, generation: generation}, said)
		roundtrip.Verdict{Reader: roundtrip.ReaderProbe, Instance: backend.ID}.Report(g.config.OnInvalidResponse, err)
		if err != nil && g.config.OnColdProbeFailed != nil {
			g.config.OnColdProbeFailed(backend.ID, err)
		}
	}()
}

// probeHealth returns how much longer a back end is cold according to its health path, whether or
// not it is healthy, and what else it states there.
func (g *Gate) probeHealth(address, path string) (time.Duration, exchange.Statement, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, exchange.Statement{}, fmt.Errorf("probe health path of %s: %w", address, err)
	}
	response, err := g.probeTransport.RoundTrip(request)
	if err != nil {
		return 0, exchange.Statement{}, fmt.Errorf("probe health path of %s: %w", address, err)
	}
	defer response.Body.Close()
	if _, err := roundtrip.ReadAll(response, maxHealthBytes); err != nil {
		return 0, exchange.Statement{}, fmt.Errorf("probe health path of %s: %w", address, err)
	}
	said := exchange.ReadStatement(response.Header, g.config.Headers.Limit, g.config.Headers.Leaving)
	if remaining, ok := exchange.ReadMillis(response.Header, g.config.Headers.Cold); ok {
		return remaining, said, nil
	}
	if response.StatusCode >= http.StatusBadRequest {
		return 0, exchange.Statement{}, fmt.Errorf("probe health path of %s: status %d without a cold state header", address, response.StatusCode)
	}
	return 0, said, nil
}

// dispatch admits queued calls as far as free slots, the cold rate and the named limit allow. g.mu must be held.
func (g *Gate) dispatch() {
	for g.running < g.backend.Capacity && len(g.queue) > 0 {
		now := g.config.Now()
		if next := g.nextAdmission(now, g.queue[0].priority); next > now {
			g.scheduleDispatch(now, next)
			return
		}
		if reason := g.versionRejectReason(now); reason != "" {
			g.dropWaiting(reason)
			return
		}
		w := g.queue.popFirstInTime(now)
		w.admission = g.takeCountedSlot(now, w.work, w.hint)
		close(w.admitted)
	}
}

// scheduleDispatch schedules a dispatch at the given time unless an earlier one is scheduled. g.mu
// must be held.
func (g *Gate) scheduleDispatch(now, at time.Duration) {
	if g.dispatchTimer != nil && g.dispatchDue <= at {
		return
	}
	if g.dispatchTimer != nil {
		g.dispatchTimer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(at-now, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		// A timer that was replaced may still fire.
		if g.dispatchTimer == timer {
			g.dispatchTimer = nil
		}
		g.dispatch()
	})
	g.dispatchTimer, g.dispatchDue = timer, at
}

// assumeColdAfterFailure treats the back end as cold until it reports otherwise, after it broke off
// a call or did not respond.
func (g *Gate) assumeColdAfterFailure(adm admission) {
	g.updateCold(func(now time.Duration) {
		// Calls that failed in the same crash extend the cold period only once.
		alreadyAssumed := g.cold.assumed && g.cold.remaining(now) > 0
		if adm.generation == g.generation && !alreadyAssumed {
			g.cold.assume(now)
		}
	})
}

// coldReport returns the cold state for the load report. g.mu must be held.
func (g *Gate) coldReport(now time.Duration) exchange.Cold {
	remaining := g.cold.remaining(now)
	if remaining == 0 {
		return exchange.Cold{}
	}
	cold := exchange.Cold{Remaining: remaining}
	if g.cold.limited(now) {
		cold.AdmissionDelay, cold.AdmissionInterval = g.cold.wait(now, len(g.queue)), g.cold.rate.interval()
	}
	return cold
}

// busyReason returns the reason to reject a call that would wait too long. g.mu must be held.
func (g *Gate) busyReason(now time.Duration) exchange.Reason {
	if g.running < g.backend.Capacity && (g.cold.limited(now) || g.limit.Limited()) {
		return g.rateReason(now)
	}
	return exchange.ReasonFull
}
