package rollout

import (
	"math"
	"time"
)

func (sim *simulation) cold(b *simBackend) bool {
	return sim.now < b.coldUntil && (b.coldAt > 0 || b.version == "v2")
}

func (sim *simulation) finishCalls() {
	for _, c := range sim.endingCalls[sim.tick()] {
		isBad := c.failed || c.slow
		if c.to.version == "v2" {
			c.from.guard.Record(c.from.held, c.failed)
			if isBad && sim.scenario.bad != nil {
				sim.bad = append(sim.bad, sim.now)
			}
		}
		if c.to.runID != c.runID {
			continue // the restarted gate has lost the call
		}
		c.to.inFlight--
		outcome := Answered
		if c.failed {
			outcome = Failed
		}
		c.to.tally.RecordOutcome(string(rune('0'+c.route)), outcome, c.took, c.cold || sim.cold(c.to))
		if c.failed && !c.isRetry && sim.rng.Float64() < 0.7 {
			sim.dispatch(simCall{route: c.route, zone: c.zone, isRetry: true, markedRepeat: sim.rng.Intn(2) == 0, from: c.from})
		}
	}
	delete(sim.endingCalls, sim.tick())
}

func (sim *simulation) sendCalls() {
	mean := sim.rate * simulationStep.Seconds()
	if within(sim.now, sim.burst) {
		mean *= 2.5
	}
	n := int(mean + sim.rng.Float64())
	for range n {
		c := simCall{route: 0, from: sim.callers[sim.rng.Intn(len(sim.callers))]}
		for p := sim.rng.Float64(); p > routeWeight[c.route]; {
			c.route++
		}
		for p := sim.rng.Float64(); c.zone < len(sim.zoneWeights)-1 && p > sim.zoneWeights[c.zone]; c.zone++ {
			p -= sim.zoneWeights[c.zone]
		}
		if sim.now < sim.duration {
			sim.reached++
		}
		sim.dispatch(c)
		if sim.duplicates {
			c.isRetry, c.markedRepeat = true, true
			sim.dispatch(c)
		}
	}
	sim.allRate = 0.98*sim.allRate + float64(n)
	sim.newRate *= 0.98
}

func (sim *simulation) dispatch(c simCall) {
	r := c.from.held
	side := Choose(r, sim.rng.Intn(FullShare), c.markedRepeat, c.from.guard.AvoidsNewVersion(r))
	if sim.eager {
		side = NewVersion
	}
	for attempt := range 8 {
		if attempt == 4 && r.Phase != Closing && r.Phase != Completed {
			side = OldVersions
		}
		b := sim.pick(side, r, c.zone, attempt)
		if b == nil {
			continue
		}
		gate := Gate{Version: b.version, Life: b.runID, Admitted: b.tally.Admitted(), SinceConfirmed: sim.now - b.node.confirmed, Cold: sim.cold(b)}
		if !gate.Admits(b.node.held) {
			continue
		}
		sim.admit(c, b)
		return
	}
}

func (sim *simulation) pick(side Side, r Rollout, zone, attempt int) *simBackend {
	nearZone := byte('a' + zone)
	list := sim.candidates[:0]
	for _, b := range sim.backends {
		if sim.now < b.start || !side.Allows(r, b.version) {
			continue
		}
		if attempt > 1 || b.zone[0] == nearZone {
			list = append(list, b)
		}
	}
	sim.candidates = list
	if len(list) == 0 {
		return nil
	}
	return list[sim.rng.Intn(len(list))]
}

func (sim *simulation) admit(c simCall, b *simBackend) {
	b.tally.Admit(c.markedRepeat)
	b.inFlight++
	share := 0.0
	if b.version == "v2" {
		sim.newRate++
		sim.exposed++
		share = sim.newRate / max(1, sim.allRate)
		sim.checkAdmission()
	} else {
		share = 1 - sim.newRate/max(1, sim.allRate)
	}
	took := routeMillis[c.route] * b.speed * math.Exp(0.25*sim.rng.NormFloat64()) * (0.9 + 0.4*share)
	if within(sim.now, sim.burst) {
		took *= 1.4
	}
	if c.cold = sim.cold(b); c.cold {
		took *= sim.coldFactor
	}
	c.failed = sim.rng.Float64() < 0.002
	if b.failing && sim.rng.Float64() < 0.5 {
		c.failed = true
	}
	if b.zone == "a" && within(sim.now, sim.zoneFailing) && sim.rng.Float64() < 0.4 {
		c.failed = true
	}
	if w := sim.scenario.bad; w != nil && b.version == "v2" && sim.now >= w.from && (w.route < 0 || w.route == c.route) && (!w.underLoad || share >= 0.15) {
		if sim.rng.Float64() < w.fails {
			c.failed = true
		}
		if sim.rng.Float64() < w.slow {
			c.slow = true
			took *= w.factor
		}
	}
	c.took = time.Duration(took * float64(time.Millisecond))
	c.to, c.runID = b, b.runID
	at := sim.tick() + 1 + int(c.took/simulationStep)
	sim.endingCalls[at] = append(sim.endingCalls[at], c)
}

// checkAdmission counts calls that the new version must not get.
func (sim *simulation) checkAdmission() {
	if sim.held().Phase == Running && sim.held().Share < FullShare && float64(sim.exposed) > 0.1*float64(sim.reached)+50 {
		sim.res.overBudget++
	}
	if len(sim.bad) >= 50 && sim.now > sim.bad[49]+5*time.Second {
		sim.res.lateCalls++
	}
	if sim.held().Phase == RolledBack {
		sim.res.phaseViolations++
	}
}
