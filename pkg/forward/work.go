package forward

import (
	"maps"
	"sync"
	"time"
)

// workWeight is how much each newer answer counts in a route's service time, once there were so
// many that it is less than an equal share.
const workWeight = 0.05

// workTimes remembers how long the calls of each route take at back ends, without waiting,
// and how long their answers are in bytes.
type workTimes struct {
	mu     sync.Mutex
	routes map[string]routeWork
}

type routeWork struct {
	work   time.Duration
	answer float64
	// count is how many answers there were.
	count int
}

func newWorkTimes() *workTimes { return &workTimes{routes: map[string]routeWork{}} }

// of returns a route's service time and the bytes of its answers, zero if not known.
func (w *workTimes) of(route string) (work time.Duration, answer int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.routes[route]
	return held.work, int(held.answer)
}

func (w *workTimes) note(route string, work time.Duration, answer int) {
	if work <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.routes[route]
	held.count++
	// The first answers count alike: with workWeight alone the very first one, which may be of a
	// cold back end, would stand for seconds.
	weight := max(workWeight, 1/float64(held.count))
	held.work += time.Duration(weight * float64(work-held.work))
	held.answer += weight * (float64(answer) - held.answer)
	w.routes[route] = held
}

// keep forgets the routes that a table no longer has.
func (w *workTimes) keep(known func(route string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.routes, func(route string, _ routeWork) bool { return !known(route) })
}
