package forward

import (
	"sync"
	"time"
)

// workWeight is how much each newer answer counts in a route's service time.
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
	held, found := w.routes[route]
	if !found {
		w.routes[route] = routeWork{work: work, answer: float64(answer)}
		return
	}
	held.work += time.Duration(workWeight * float64(work-held.work))
	held.answer += workWeight * (float64(answer) - held.answer)
	w.routes[route] = held
}

// keep forgets the routes that a table no longer has.
func (w *workTimes) keep(known func(route string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for route := range w.routes {
		if !known(route) {
			delete(w.routes, route)
		}
	}
}
