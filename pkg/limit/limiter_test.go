package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A back end that names a rate may get limitFactor times that rate plus limitSlack calls in limitWindow.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// maxInLimitWindow returns the largest number of calls in any window.
func maxInLimitWindow(calls []time.Duration) int {
	most, first := 0, 0
	for i, at := range calls {
		for at-calls[first] > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// At every rate, more demand than the rate admits nearly the rate and stays within the bound in every window, also if
// calls arrive unevenly.
func TestLimiterAdmitsNearlyTheRate(t *testing.T) {
	const length = 60 * time.Second
	const demand = 4 // times the rate
	for _, rate := range []float64{0.25, 0.5, 1, 2.7, 6.5, 40, 333, 5000} {
		for seed := range uint64(10) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			var l Limiter
			l.Name(0, rate)
			var calls []time.Duration
			for now := time.Duration(0); now < length; {
				if l.Wait(now, 0, 0) == 0 {
					l.Charge(now)
					calls = append(calls, now)
				}
				now += time.Duration(rng.ExpFloat64() * float64(time.Second) / rate / demand)
			}
			is.True(float64(maxInLimitWindow(calls)) <= limitFactor*rate*limitWindow.Seconds()+limitSlack)
			is.True(float64(len(calls)) <= rate*(length+burst).Seconds()+2)
			is.True(float64(len(calls)) >= 0.85*rate*length.Seconds()-1)
		}
	}
}

// Limits that rise and fall at random, with a gate that restarts and learns the limit from other nodes, stay within the
// bound in each window in which the limit did not change.
func TestLimiterHoldsThroughRestarts(t *testing.T) {
	fullest := 0.0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		rate := 0.0
		var l Limiter
		var calls []time.Duration
		restartEvery := time.Second + time.Duration(rng.IntN(3000))*time.Millisecond
		nextChange, nextRestart := time.Duration(0), restartEvery
		for now := time.Duration(0); now < 40*time.Second; now += time.Duration(rng.IntN(10)) * time.Millisecond {
			if now >= nextChange {
				rate = rng.Float64() * 60
				nextChange = now + 2*limitWindow + time.Duration(rng.IntN(5000))*time.Millisecond
				l.Name(now, rate)
				calls = nil
			}
			if now >= nextRestart {
				l = Limiter{}
				nextRestart = now + restartEvery
			}
			l.Adopt(now, rate)
			if l.Wait(now, 0, 0) > 0 {
				continue
			}
			l.Charge(now)
			calls = append(calls, now)
			allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
			full := float64(maxInLimitWindow(calls)) / allowed
			fullest = max(fullest, full)
			if full > 1 {
				t.Fatalf("seed %d: %d calls at a limit of %g, %.1f allowed", seed, maxInLimitWindow(calls), rate, allowed)
			}
		}
	}
	t.Logf("fullest window: %.2f of what is allowed", fullest)
}

// A rate that cannot be expressed as an interval is no limit; zero admits a call now and then.
func TestExtremeLimits(t *testing.T) {
	is := is.New(t)
	var huge, none Limiter
	huge.Name(0, 1e300)
	for range 100 {
		huge.Charge(0)
	}
	is.Equal(huge.Wait(0, 1000, 0), time.Duration(0))
	none.Name(0, 0)
	none.Charge(0)
	is.True(none.Wait(0, 0, 0) > 3*time.Second)
	is.Equal(none.Wait(4*time.Second, 0, 0), time.Duration(0))
}

// Only an answer to a call that was admitted after the limit was named ends it.
func TestLateAnswerDoesNotEndALimit(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.Name(time.Second, 5)
	l.Omit(900 * time.Millisecond)
	is.True(l.limited)
	l.Omit(time.Second)
	is.True(!l.limited)
	l.Adopt(2*time.Second, 5) // the gate has heard the back end itself
	is.True(!l.limited)
}

// A limit that other nodes know applies until the back end answers this gate, with a limit or without.
func TestKnownLimitAppliesUntilTheBackEndAnswers(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.Adopt(0, 5)
	l.Adopt(0, 3)
	l.Adopt(0, 8)
	is.Equal(l.rate, 3.0)
	l.Omit(0)
	is.True(!l.limited)
}

// While calls of higher priority arrive, calls that cannot wait leave them a token; without them, they use all of the limit.
func TestLimiterKeepsATokenForUrgentCalls(t *testing.T) {
	is := is.New(t)
	const rate, length = 6.0, 100 * time.Second
	for _, urgentRate := range []float64{0, 2, 4} {
		rng := rand.New(rand.NewPCG(1, 3))
		var l Limiter
		var urgent Urgent
		l.Name(0, rate)
		admitted, offered := map[int]int{}, map[int]int{}
		arrive := func(now time.Duration, priority int) {
			urgent.Record(now, priority)
			offered[priority]++
			if l.Wait(now, 0, urgent.Reserved(now, priority)) == 0 {
				l.Charge(now)
				admitted[priority]++
			}
		}
		const step = 5 * time.Millisecond
		for now := time.Duration(0); now < length; now += step {
			if rng.Float64() < urgentRate*step.Seconds() {
				arrive(now, 1)
			}
			if rng.Float64() < 5*rate*step.Seconds() {
				arrive(now, 2)
			}
		}
		t.Logf("urgent: %d of %d calls, others: %d of %d", admitted[1], offered[1], admitted[2], offered[2])
		is.True(float64(admitted[1]) >= 0.8*float64(offered[1]))
		is.True(float64(admitted[1]+admitted[2]) >= 0.9*rate*length.Seconds())
	}
}
