package sim

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap of events by time, then by order of scheduling.
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

// world is virtual time with its random numbers, its trace and its findings.
type world struct {
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

func newWorld(seed uint64, trace io.Writer) *world {
	return &world{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), digest: xxhash.New(), trace: trace}
}

// after schedules something.
func (w *world) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + max(0, delay), sequence: w.sequence, run: run})
}

// maxSteps bounds a run; a usual one takes some 20,000.
const maxSteps = 400_000

// runUntil runs events up to a time, or until done says so.
func (w *world) runUntil(end time.Duration, done func() bool) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		if done != nil && done() {
			return
		}
		if w.stopAtFirst && len(w.violations) > 0 {
			return
		}
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		w.steps++
		if w.steps > maxSteps {
			w.violate(invariantSteps, "more than %d steps", maxSteps)
			w.queue = nil
			return
		}
		next.run()
	}
	w.now = max(w.now, end)
}

// log adds a line to the trace and its digest.
func (w *world) log(format string, values ...any) {
	line := fmt.Sprintf("%12s  %s\n", w.now, fmt.Sprintf(format, values...))
	_, _ = w.digest.WriteString(line)
	if w.trace != nil {
		_, _ = io.WriteString(w.trace, line)
	}
}

// violate notes a broken invariant.
func (w *world) violate(invariant, format string, values ...any) {
	v := Violation{Invariant: invariant, At: w.now, Detail: fmt.Sprintf(format, values...)}
	w.violations = append(w.violations, v)
	w.log("VIOLATION %s: %s", v.Invariant, v.Detail)
}

// between returns a random duration in [low, high).
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(max(1, high-low))))
}

// chance reports true with probability p.
func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// process is what all simulated processes share: a life, a clock, and a way to stop
// and go on.
type process struct {
	world *world
	name  string
	zone  string

	alive bool
	// generation tells the lives of a process apart; what an earlier life
	// scheduled does not reach a later one.
	generation int
	startedAt  time.Duration
	// rate is the speed of the process's clock.
	rate   float64
	frozen bool
	// deferred waits for a frozen process.
	deferred []func()
}

func newProcess(w *world, name, zone string, maxDrift float64) process {
	return process{world: w, name: name, zone: zone, rate: 1 + (2*w.random.Float64()-1)*maxDrift}
}

// clock reads the process's monotonic clock, which goes on while it is frozen.
func (p *process) clock() time.Duration {
	return time.Duration(float64(p.world.now-p.startedAt) * p.rate)
}

func (p *process) begin() {
	p.alive = true
	p.frozen = false
	p.generation++
	p.startedAt = p.world.now
	p.deferred = nil
}

func (p *process) end() {
	p.alive = false
	p.deferred = nil
}

// later schedules something in this life of the process, by its own clock.
func (p *process) later(delay time.Duration, run func()) {
	p.world.after(time.Duration(float64(delay)/p.rate), p.guarded(run))
}

// guarded makes run happen only in this life, and only when not frozen.
func (p *process) guarded(run func()) func() {
	generation := p.generation
	return func() {
		if !p.alive || p.generation != generation {
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
	waiting := p.deferred
	p.deferred = nil
	for _, run := range waiting {
		if p.alive && !p.frozen {
			run()
		}
	}
}
