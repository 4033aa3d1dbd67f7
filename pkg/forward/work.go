package forward

import (
	"sync"
	"time"
)

// workWeight is how much each newer answer counts in a route's service time.
const workWeight = 0.05

// workTimes remembers how long the calls of each route take at back ends, without waiting.
type workTimes struct {
	mutex  sync.Mutex
	routes map[string]time.Duration
}

func newWorkTimes() *workTimes { return &workTimes{routes: map[string]time.Duration{}} }

// of returns a route's service time, zero if it is not known.
func (w *workTimes) of(route string) time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.routes[route]
}

func (w *workTimes) note(route string, work time.Duration) {
	if work <= 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	held, found := w.routes[route]
	if !found {
		w.routes[route] = work
		return
	}
	w.routes[route] = held + time.Duration(workWeight*float64(work-held))
}

// keep forgets the routes that a table no longer has.
func (w *workTimes) keep(known func(route string) bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for route := range w.routes {
		if !known(route) {
			delete(w.routes, route)
		}
	}
}
