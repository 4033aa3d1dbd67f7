package quota

import (
	"math"
	"time"

	"bramblelift/pkg/clock"
)

const (
	// windowBuckets is the number of buckets per window; a count covers up to one bucket more than the window.
	windowBuckets = 20
	// reportedBuckets is the length of Use.Parts, which determine when the calls of an ended process run leave
	// the window.
	reportedBuckets = 5
	// rateHalfLife is the half-life of a call in the rate: short enough to show a flood in the next report,
	// longer than the report interval.
	rateHalfLife = 500 * time.Millisecond
	// minRateInterval is the shortest interval over which a rate is computed, so that a first call doesn't
	// look like a flood.
	minRateInterval = 200 * time.Millisecond
)

// slidingWindow counts calls in a sliding window of a given length.
type slidingWindow struct {
	counts [windowBuckets]float64
	// newestBucket is the number of the newest bucket, counted from time zero.
	newestBucket int64
}

// add adds n calls at the time now; n may be negative.
func (w *slidingWindow) add(now, length time.Duration, n float64) {
	w.advance(now, length)
	i := w.newestBucket % windowBuckets
	w.counts[i] = max(0, w.counts[i]+n)
}

// sum returns the number of calls in the window.
func (w *slidingWindow) sum(now, length time.Duration) float64 {
	w.advance(now, length)
	sum := 0.0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// leaving returns how many calls leave the window in the next second.
func (w *slidingWindow) leaving(now, length time.Duration) float64 {
	w.advance(now, length)
	sum := 0.0
	for i := range int64(time.Second / (length / windowBuckets)) {
		sum += w.counts[(w.newestBucket+1+i)%windowBuckets]
	}
	return sum
}

// buckets returns the calls in reportedBuckets equal intervals of the window, oldest first.
func (w *slidingWindow) buckets(now, length time.Duration) []float32 {
	w.advance(now, length)
	buckets := make([]float32, reportedBuckets)
	for i := range int64(windowBuckets) {
		buckets[i*reportedBuckets/windowBuckets] += float32(w.counts[(w.newestBucket+1+i)%windowBuckets])
	}
	return buckets
}

func (w *slidingWindow) advance(now, length time.Duration) {
	bucket := int64(now / (length / windowBuckets))
	for skipped := min(bucket-w.newestBucket, windowBuckets); skipped > 0; skipped-- {
		w.newestBucket++
		w.counts[w.newestBucket%windowBuckets] = 0
	}
	w.newestBucket = max(w.newestBucket, bucket)
}

// rateMeter measures calls per second with an exponentially decaying count. Times are relative to the node's
// start.
type rateMeter struct {
	count float64
	at    time.Duration
}

func (m *rateMeter) add(now time.Duration) {
	m.decay(now)
	m.count++
}

func (m *rateMeter) rate(now time.Duration) float64 {
	m.decay(now)
	// Corrects for the short history of a new node.
	counted := 1 - clock.DecayFactor(max(now, minRateInterval), rateHalfLife)
	return m.count * math.Ln2 / rateHalfLife.Seconds() / counted
}

func (m *rateMeter) decay(now time.Duration) {
	m.count *= clock.DecayFactor(max(0, now-m.at), rateHalfLife)
	m.at = max(m.at, now)
}
