package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mostInASecond is the largest number of calls within one second, wherever it begins.
func mostInASecond(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// arrivals are the moments of calls that come at random, in bursts and with rests between.
func arrivals(random *rand.Rand, until time.Duration) []time.Duration {
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

// However calls come, no second holds more of them than the rate.
func TestNoSecondHoldsMoreThanTheRate(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := random.IntN(60) + 1
		var rate slidingRate
		rate.setRate(float64(limit) + random.Float64())
		var let []time.Duration
		for _, now := range arrivals(random, 20*time.Second) {
			if rate.openAt() <= now {
				rate.note(now)
				let = append(let, now)
			}
		}
		if most := mostInASecond(let); most > limit {
			t.Fatalf("seed %d: %d calls within a second, %d are allowed", seed, most, limit)
		}
	}
}

// What waits all the time is let in at the whole rate.
func TestTheWholeRateIsUsed(t *testing.T) {
	is := is.New(t)
	for _, limit := range []float64{1, 3, 14, 100} {
		var rate slidingRate
		rate.setRate(limit)
		let := 0
		for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
			if rate.openAt() <= now {
				rate.note(now)
				let++
			}
		}
		is.True(float64(let) >= 9.5*limit)
	}
}

// Calls that were let in while there was no need of the rate count once there is, and so they do when
// the rate changes.
func TestEarlierCallsCount(t *testing.T) {
	is := is.New(t)
	var rate slidingRate
	rate.setRate(5)
	for i := range 30 {
		rate.note(time.Duration(i) * 10 * time.Millisecond)
	}
	is.Equal(rate.openAt(), 250*time.Millisecond+rateWindow)
	rate.setRate(8) // the three more may have been at 250 ms, too
	is.Equal(rate.openAt(), 250*time.Millisecond+rateWindow)
	rate.setRate(2)
	is.Equal(rate.openAt(), 280*time.Millisecond+rateWindow)
	rate.setRate(0)
	is.True(!rate.bounded())
	is.True(rate.openAt() < 0)
}
