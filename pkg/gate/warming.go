package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"bramblelift/pkg/exchange"
)

const (
	// probeTimeout bounds a probe of the health path.
	probeTimeout = 500 * time.Millisecond
	// maxHealthBytes of the answer's body are read, so that its connection can be used again.
	maxHealthBytes = 4 << 10
)

// ColdChange is told when a back end turns cold or warm.
type ColdChange struct {
	Backend   string
	Cold      bool
	Remaining time.Duration
	Source    ColdSource
}

// SetColdBounds takes in what the back end beside the gate bears while it is cold.
func (g *Gate) SetColdBounds(bounds ColdBounds) {
	g.changeCold(func(now time.Duration) { g.cold.setBounds(now, bounds) })
}

// HeardCold takes in a heartbeat: for how much longer a back end is cold, zero if it is warm.
func (g *Gate) HeardCold(id string, remaining time.Duration) {
	g.changeCold(func(now time.Duration) {
		if g.backend.ID == id {
			g.cold.learn(now, remaining, ColdHeartbeat)
		}
	})
}

// assumeCold takes the back end for cold until it says otherwise: while the gate was closed it got nothing new,
// and may have turned cold without saying so. The mutex is held.
func (g *Gate) assumeCold(now time.Duration) {
	g.cold.assume(now)
	g.noteCold(now)
}

// changeCold changes what is known, and lets in what may go on for it.
func (g *Gate) changeCold(change func(now time.Duration)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	change(now)
	g.noteCold(now)
	g.dispatch()
}

// noteCold tells when the back end has turned cold or warm; the mutex is held.
func (g *Gate) noteCold(now time.Duration) {
	remaining := g.cold.remaining(now)
	if !g.present || g.wasCold == (remaining > 0) {
		return
	}
	g.wasCold = remaining > 0
	if g.config.OnCold != nil {
		g.config.OnCold(ColdChange{Backend: g.backend.ID, Cold: g.wasCold, Remaining: remaining, Source: g.cold.sourceAt(now)})
	}
}

// probeIfUnsure asks the back end whether it is cold if that is not known. Until it has answered, calls
// are let in at the rate of a cold one. The mutex is held.
func (g *Gate) probeIfUnsure(now time.Duration) {
	if !g.cold.startProbe(now) {
		return
	}
	backend, path, generation, doubts := g.backend, g.cold.bounds.HealthPath, g.generation, g.cold.doubts
	go func() {
		remaining, err := g.probeHealth(backend.Address, path)
		g.changeCold(func(now time.Duration) {
			g.cold.probing = false
			if err == nil && generation == g.generation && doubts == g.cold.doubts {
				g.cold.learn(now, remaining, ColdHealth)
			}
		})
		if err != nil && g.config.OnColdUnknown != nil {
			g.config.OnColdUnknown(backend.ID, err)
		}
	}()
}

// probeHealth returns for how much longer a back end is cold by the answer of its health path, whatever
// that says of its health.
func (g *Gate) probeHealth(address, path string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, fmt.Errorf("health path of %s: %w", address, err)
	}
	response, err := g.transport.RoundTrip(request)
	if err != nil {
		return 0, fmt.Errorf("health path of %s: %w", address, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes)); err != nil {
		return 0, fmt.Errorf("health path of %s: %w", address, err)
	}
	if remaining, said := exchange.ReadMillis(response.Header, g.config.Headers.Cold); said {
		return remaining, nil
	}
	if response.StatusCode >= http.StatusBadRequest {
		return 0, fmt.Errorf("health path of %s: status %d without a word of cold", address, response.StatusCode)
	}
	return 0, nil
}

// dispatch lets in those that wait, as far as slots and the rate of a cold back end allow; the mutex
// is held.
func (g *Gate) dispatch() {
	for g.running < g.backend.Capacity && len(g.queue) > 0 {
		now := g.config.Now()
		if open := g.cold.openAt(now); open > now {
			g.wakeAt(now, open)
			return
		}
		if reason := g.refusesVersion(now); reason != "" {
			g.dropWaiting(reason)
			return
		}
		w := g.queue.firstInTime(now)
		w.granted = g.grantCounted(now, w.work, w.version)
		close(w.admitted)
	}
}

// wakeAt dispatches at a moment, or sooner if that is due already; the mutex is held.
func (g *Gate) wakeAt(now, at time.Duration) {
	if g.wake != nil && g.wakeDue <= at {
		return
	}
	if g.wake != nil {
		g.wake.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(at-now, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		// A timer that was replaced may have fired already.
		if g.wake == timer {
			g.wake = nil
		}
		g.dispatch()
	})
	g.wake, g.wakeDue = timer, at
}

// doubt takes the back end for cold until it says otherwise, after it broke off or left
// unanswered a call.
func (g *Gate) doubt(a admittance) {
	g.changeCold(func(now time.Duration) {
		// Calls that one end broke off are one doubt.
		doubted := g.cold.unsure && g.cold.remaining(now) > 0
		if a.generation == g.generation && !doubted {
			g.cold.assume(now)
		}
	})
}

// coldReport is what the report says of a cold back end; the mutex is held.
func (g *Gate) coldReport(now time.Duration) exchange.Cold {
	remaining := g.cold.remaining(now)
	if remaining == 0 {
		return exchange.Cold{}
	}
	cold := exchange.Cold{Remaining: remaining}
	if g.cold.limited(now) {
		cold.Room, cold.Interval = g.cold.wait(now, len(g.queue)), g.cold.rate.interval()
	}
	return cold
}

// busyReason is why a call would have to wait too long; the mutex is held.
func (g *Gate) busyReason(now time.Duration) exchange.Reason {
	if g.cold.limited(now) && g.running < g.backend.Capacity {
		return exchange.ReasonCold
	}
	return exchange.ReasonFull
}
