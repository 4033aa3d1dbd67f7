// Package convergence measures the time from the request of a change until nodes have it
// in force.
package convergence

import (
	"fmt"
	"sync"
	"time"

	"bramblelift/pkg/distribution"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histogram; its unit is microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Change is a configuration or endpoint change that is being distributed.
type Change struct {
	// Name identifies the change in messages.
	Name string
	// At is the time of the request.
	At time.Time
	// Matches reports whether a node's state contains the change.
	Matches func(*distribution.State) bool
	// Needs reports whether a node needs the change; nil means that every node does.
	Needs func(node string) bool
	// pendingNodes holds the nodes that do not have the change in force yet.
	pendingNodes map[string]bool
}

// Recorder measures how long changes take to reach nodes. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	nodes     []string
	states    map[string]*distribution.State
	pending   []*Change
	histogram *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder for the named nodes.
func NewRecorder(nodes []string) *Recorder {
	return &Recorder{
		nodes: nodes, states: map[string]*distribution.State{},
		histogram: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// OnActivate records that a node has activated a state.
func (r *Recorder) OnActivate(node string, state *distribution.State) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[node] = state
	var pending []*Change
	for _, change := range r.pending {
		r.recordIfMatched(change, node, state, now)
		if len(change.pendingNodes) > 0 {
			pending = append(pending, change)
		}
	}
	r.pending = pending
}

func (r *Recorder) recordIfMatched(change *Change, node string, state *distribution.State, now time.Time) {
	if !change.pendingNodes[node] || !change.Matches(state) {
		return
	}
	delete(change.pendingNodes, node)
	_ = r.histogram.RecordValue(max(minMicros, now.Sub(change.At).Microseconds()))
}

// Begin registers a change for measurement. Call it before the change is made.
func (r *Recorder) Begin(change *Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change.pendingNodes = map[string]bool{}
	for _, node := range r.nodes {
		if change.Needs == nil || change.Needs(node) {
			change.pendingNodes[node] = true
		}
	}
	r.pending = append(r.pending, change)
}

// Await waits until every registered change is in force on all nodes that need it. It
// fails after the limit and names one missing change.
func (r *Recorder) Await(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		pending := r.describePending()
		if pending == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s %s", limit, pending)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// describePending describes the first change that is not in force everywhere. It returns
// an empty string if there is none.
func (r *Recorder) describePending() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range r.pending {
		for node := range change.pendingNodes {
			return fmt.Sprintf("%s is not in force on %d nodes, among them %s", change.Name, len(change.pendingNodes), node)
		}
	}
	return ""
}

// Reset discards pending changes and all measurements.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = nil
	r.histogram.Reset()
}

// Summary holds the convergence times of a recorder in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Worst float64 `json:"worst_ms"`
	// Curve holds the percentiles 0 to 100, one entry per percent.
	Curve []float64 `json:"-"`
}

// Summary returns the convergence times recorded so far.
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
