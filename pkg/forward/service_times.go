package forward

import (
	"maps"
	"sync"
	"time"
)

// serviceTimeWeight is the minimum weight of a new sample; the first samples have equal weights.
const serviceTimeWeight = 0.05

// serviceTimes holds the mean service time, without waiting, and response size of each route's calls.
type serviceTimes struct {
	mu     sync.Mutex
	routes map[string]routeServiceTime
}

type routeServiceTime struct {
	serviceTime   time.Duration
	responseBytes float64
	// count is the number of samples.
	count int
}

func newServiceTimes() *serviceTimes { return &serviceTimes{routes: map[string]routeServiceTime{}} }

// get returns a route's service time and response size in bytes, zero if unknown.
func (s *serviceTimes) get(route string) (serviceTime time.Duration, responseBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stat := s.routes[route]
	return stat.serviceTime, int(stat.responseBytes)
}

func (s *serviceTimes) record(route string, serviceTime time.Duration, responseBytes int) {
	if serviceTime <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stat := s.routes[route]
	stat.count++
	// Equal weights at first keep a single sample of a cold back end from dominating the mean.
	weight := max(serviceTimeWeight, 1/float64(stat.count))
	stat.serviceTime += time.Duration(weight * float64(serviceTime-stat.serviceTime))
	stat.responseBytes += weight * (float64(responseBytes) - stat.responseBytes)
	s.routes[route] = stat
}

// prune drops the routes that the table does not have.
func (s *serviceTimes) prune(known func(route string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.routes, func(route string, _ routeServiceTime) bool { return !known(route) })
}
