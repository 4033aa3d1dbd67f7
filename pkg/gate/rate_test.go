package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxPerSecond returns the largest number of calls within any interval of one second.
func maxPerSecond(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// randomArrivals returns the times of calls that arrive at random, in bursts and with pauses.
func randomArrivals(random *rand.Rand, until time.Duration) []time.Duration {
	var all []time.Duration
	for at := time.Duration(0); at < until; {
		pause := time.Duration(random.ExpFloat64() * float64(random.IntN(60)+1) * float64(time.Millisecond))
		if random.IntN(40) == 0 {
			pause = time.Duration(random.IntN(1500)) * time.Millisecond
		}
		if random.IntN(3) > 0 {
			pause = 0
		}
		at += pause
		all = append(all, at)
	}
	return all
}

// No interval of one second may hold more calls than the rate, however they arrive.
func TestNoSecondExceedsTheRate(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := random.IntN(60) + 1
		var rate slidingRate
		rate.setRate(float64(limit) + random.Float64())
		var admitted []time.Duration
		for _, now := range randomArrivals(random, 20*time.Second) {
			if rate.nextAdmission() <= now {
				rate.record(now)
				admitted = append(admitted, now)
			}
		}
		if most := maxPerSecond(admitted); most > limit {
			t.Fatalf("seed %d: %d calls within a second, %d are allowed", seed, most, limit)
		}
	}
}

// A rate below one call per second must be kept over a longer window.
func TestRateBelowOnePerSecondUsesLongerWindow(t *testing.T) {
	is := is.New(t)
	var rate slidingRate
	rate.setRate(0.4)
	admitted := 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		if rate.nextAdmission() <= now {
			rate.record(now)
			admitted++
		}
	}
	is.Equal(admitted, 8)
	rate.setRate(5)
	is.Equal(rate.interval(), rateWindow/5)
}

// Constant demand must be admitted at the full rate.
func TestFullRateIsUsedUnderConstantDemand(t *testing.T) {
	is := is.New(t)
	for _, limit := range []float64{1, 3, 14, 100} {
		var rate slidingRate
		rate.setRate(limit)
		admitted := 0
		for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
			if rate.nextAdmission() <= now {
				rate.record(now)
				admitted++
			}
		}
		is.True(float64(admitted) >= 9.5*limit)
	}
}

// Calls that were recorded without the limit, or before the rate changed, must count against the
// rate.
func TestEarlierCallsCountAgainstTheRate(t *testing.T) {
	is := is.New(t)
	var rate slidingRate
	rate.setRate(5)
	for i := range 30 {
		rate.record(time.Duration(i) * 10 * time.Millisecond)
	}
	is.Equal(rate.nextAdmission(), 250*time.Millisecond+rateWindow)
	rate.setRate(8) // the three unrecorded calls may have been at 250 ms too
	is.Equal(rate.nextAdmission(), 250*time.Millisecond+rateWindow)
	rate.setRate(2)
	is.Equal(rate.nextAdmission(), 280*time.Millisecond+rateWindow)
	rate.setRate(0)
	is.True(!rate.limited())
	is.True(rate.nextAdmission() < 0)
}
