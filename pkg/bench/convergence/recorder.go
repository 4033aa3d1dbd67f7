// Package convergence times how long changes take until they are in force at nodes.
package convergence

import (
	"fmt"
	"sync"
	"time"

	"bramblelift/pkg/distribution"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are kept in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Change is one change on its way to the nodes that need it.
type Change struct {
	// Name tells the change in messages.
	Name string
	// At is when the change was asked for.
	At time.Time
	// Matches reports whether a node's state holds the change.
	Matches func(*distribution.State) bool
	// Needs reports whether a node needs the change; nil means that all do.
	Needs   func(node string) bool
	waiting map[string]bool
}

// Recorder times changes. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	nodes     []string
	held      map[string]*distribution.State
	open      []*Change
	histogram *hdrhistogram.Histogram
}

// NewRecorder returns a recorder for the named nodes.
func NewRecorder(nodes []string) *Recorder {
	return &Recorder{
		nodes: nodes, held: map[string]*distribution.State{},
		histogram: hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

// InForce takes in that a node has put a state in force.
func (r *Recorder) InForce(node string, state *distribution.State) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[node] = state
	var open []*Change
	for _, change := range r.open {
		r.see(change, node, state, now)
		if len(change.waiting) > 0 {
			open = append(open, change)
		}
	}
	r.open = open
}

func (r *Recorder) see(change *Change, node string, state *distribution.State, now time.Time) {
	if !change.waiting[node] || !change.Matches(state) {
		return
	}
	delete(change.waiting, node)
	_ = r.histogram.RecordValue(max(lowestMicros, now.Sub(change.At).Microseconds()))
}

// Begin starts to time a change. Call it before the change is made.
func (r *Recorder) Begin(change *Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change.waiting = map[string]bool{}
	for _, node := range r.nodes {
		if change.Needs == nil || change.Needs(node) {
			change.waiting[node] = true
		}
	}
	r.open = append(r.open, change)
}

// Await waits until no change is open.
func (r *Recorder) Await(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		missing := r.missing()
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s %s", limit, missing)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// missing describes the first open change, empty if there is none.
func (r *Recorder) missing() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range r.open {
		for node := range change.waiting {
			return fmt.Sprintf("%s is not in force on %d nodes, among them %s", change.Name, len(change.waiting), node)
		}
	}
	return ""
}

// Forget drops the open changes and what was timed so far.
func (r *Recorder) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = nil
	r.histogram.Reset()
}

// Summary are the figures of a recorder, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Worst float64 `json:"worst_ms"`
	// Curve holds the percentiles from 0 to 100.
	Curve []float64 `json:"-"`
}

// Summary returns the figures so far.
func (r *Recorder) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{
		Count: r.histogram.TotalCount(), P50: r.millis(50), P99: r.millis(99),
		Worst: float64(r.histogram.Max()) / 1000,
	}
	for percent := range 101 {
		s.Curve = append(s.Curve, r.millis(float64(percent)))
	}
	return s
}

func (r *Recorder) millis(percentile float64) float64 {
	return float64(r.histogram.ValueAtQuantile(percentile)) / 1000
}
