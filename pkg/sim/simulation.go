package sim

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// event is a function scheduled for a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap of events ordered by time, then by order of scheduling.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation holds the virtual clock, the event queue, the random generator, the trace
// and the violations of a run.
type simulation struct {
	now        time.Duration
	random     *rand.Rand
	queue      eventQueue
	sequence   uint64
	steps      int
	digest     *xxhash.Digest
	trace      io.Writer
	violations []Violation
	// stopAtFirst ends the run at the first violation.
	stopAtFirst bool
}

func newSimulation(seed uint64, trace io.Writer) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), digest: xxhash.New(), trace: trace}
}

// after schedules run after a delay in virtual time.
func (sim *simulation) after(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{at: sim.now + max(0, delay), sequence: sim.sequence, run: run})
}

// maxSteps bounds the events of a run, to detect endless message loops.
const maxSteps = 400_000

// runUntil runs events up to the time end, or until done returns true.
func (sim *simulation) runUntil(end time.Duration, done func() bool) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		if done != nil && done() {
			return
		}
		if sim.stopAtFirst && len(sim.violations) > 0 {
			return
		}
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		sim.steps++
		if sim.steps > maxSteps {
			sim.violate(invariantSteps, "more than %d steps", maxSteps)
			sim.queue = nil
			return
		}
		next.run()
	}
	sim.now = max(sim.now, end)
}

// log adds a line to the trace and to its digest.
func (sim *simulation) log(format string, values ...any) {
	line := fmt.Sprintf("%12s  %s\n", sim.now, fmt.Sprintf(format, values...))
	_, _ = sim.digest.WriteString(line)
	if sim.trace != nil {
		_, _ = io.WriteString(sim.trace, line)
	}
}

// violate records a broken invariant.
func (sim *simulation) violate(invariant, format string, values ...any) {
	v := Violation{Invariant: invariant, At: sim.now, Detail: fmt.Sprintf(format, values...)}
	sim.violations = append(sim.violations, v)
	sim.log("VIOLATION %s: %s", v.Invariant, v.Detail)
}

// between returns a random duration in [low, high).
func (sim *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Int64N(int64(max(1, high-low))))
}

// chance returns true with probability p.
func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

// process is embedded in every simulated process. It holds the run state, the clock and
// the callbacks deferred while the process is frozen.
type process struct {
	simulation *simulation
	name       string
	zone       string

	running bool
	// generation counts the process runs; callbacks scheduled by an earlier run are
	// dropped.
	generation int
	startedAt  time.Duration
	// rate is the speed of the process's clock relative to virtual time.
	rate   float64
	frozen bool
	// deferred holds the callbacks that became due while the process was frozen.
	deferred []func()
}

func newProcess(sim *simulation, name, zone string, maxDrift float64) process {
	return process{simulation: sim, name: name, zone: zone, rate: 1 + (2*sim.random.Float64()-1)*maxDrift}
}

// clock reads the process's monotonic clock, which continues while it is frozen.
func (p *process) clock() time.Duration {
	return time.Duration(float64(p.simulation.now-p.startedAt) * p.rate)
}

func (p *process) startRun() {
	p.running = true
	p.frozen = false
	p.generation++
	p.startedAt = p.simulation.now
	p.deferred = nil
}

func (p *process) endRun() {
	p.running = false
	p.deferred = nil
}

// afterLocal schedules run after a delay on the process's own clock, in the current
// process run only.
func (p *process) afterLocal(delay time.Duration, run func()) {
	p.simulation.after(time.Duration(float64(delay)/p.rate), p.ifRunning(run))
}

// ifRunning returns a callback that does nothing after the current process run, and
// defers run while the process is frozen.
func (p *process) ifRunning(run func()) func() {
	generation := p.generation
	return func() {
		if !p.running || p.generation != generation {
			return
		}
		if p.frozen {
			p.deferred = append(p.deferred, run)
			return
		}
		run()
	}
}

func (p *process) freeze() { p.frozen = true }

func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	deferred := p.deferred
	p.deferred = nil
	for _, run := range deferred {
		if p.running && !p.frozen {
			run()
		}
	}
}
