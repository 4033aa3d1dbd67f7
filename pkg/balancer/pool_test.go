package balancer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

func testService(count int) routing.Service {
	service := routing.Service{Name: "s", MaxConcurrency: 2}
	for i := range count {
		service.Endpoints = append(service.Endpoints, routing.Endpoint{ID: fmt.Sprintf("e%d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	return service
}

func testPool(service routing.Service) *Pool {
	p := NewPool(Config{Node: "n", Random: rand.New(rand.NewPCG(1, 2)).IntN})
	p.Update(0, service)
	return p
}

func acquire(p *Pool, excluded ...string) (*Ticket, error) {
	return p.Acquire(nil, func() time.Duration { return 0 }, 0, excluded, nil)
}

// A back end that reported leaving must not return through an outdated list, only with a new incarnation.
func TestLeavingBackEndReturnsOnlyWithANewIncarnation(t *testing.T) {
	is := is.New(t)
	service := testService(2)
	p := testPool(service)
	ticket, err := acquire(p, "e1")
	is.NoErr(err)
	ticket.Report(-1, true) // reported by the back end itself
	ticket.Done(0, Answered)
	p.Update(0, service) // the platform's list is outdated and shows it as live
	service.Endpoints[0].Address = "10.9.9.9:80"
	p.Update(0, service) // at another address
	_, err = acquire(p, "e1")
	is.True(errors.Is(err, ErrNoEndpoint))
	p.Update(0, testService(0)) // removed and listed again
	p.Update(0, testService(2))
	_, err = acquire(p, "e1")
	is.True(errors.Is(err, ErrNoEndpoint))
	service.Endpoints[0].Incarnation = 2
	p.Update(0, service)
	ticket, err = acquire(p, "e1")
	is.NoErr(err)
	is.Equal(ticket.Incarnation, uint64(2))
}

// Refusals must reduce the concurrency limit, but not below one.
func TestConcurrencyLimitIsEnforcedAndReducedByRefusals(t *testing.T) {
	is := is.New(t)
	p := testPool(testService(1))
	first, err := acquire(p)
	is.NoErr(err)
	second, err := acquire(p)
	is.NoErr(err)
	_, err = acquire(p)
	is.True(errors.Is(err, ErrSaturated)) // limit of two
	first.Done(0, Refused)
	second.Done(0, Refused)
	_, err = acquire(p)
	is.NoErr(err)
	_, err = acquire(p)
	is.True(errors.Is(err, ErrSaturated)) // reduced to one
}

func TestWaitingCallGetsAFreedSlot(t *testing.T) {
	is := is.New(t)
	p := testPool(testService(1))
	first, err := acquire(p)
	is.NoErr(err)
	_, err = acquire(p)
	is.NoErr(err)
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	time.AfterFunc(20*time.Millisecond, func() { first.Done(now(), Answered) })
	_, err = p.Acquire(nil, now, 5*time.Second, nil, nil)
	is.NoErr(err)
	disconnected := make(chan struct{})
	close(disconnected)
	_, err = p.Acquire(disconnected, now, 5*time.Second, nil, nil)
	is.True(errors.Is(err, ErrSaturated)) // a disconnected caller does not wait
}

// eject fails the back end that is not in others until it is ejected.
func eject(t *testing.T, p *Pool, others ...string) {
	t.Helper()
	for range failuresToEject {
		ticket, err := acquire(p, others...)
		is.New(t).NoErr(err)
		ticket.Done(0, Failed)
	}
}

// Ejections must be ignored when too few back ends would remain.
func TestFailingBackEndsAreEjectedUnlessTooFewRemain(t *testing.T) {
	is := is.New(t)
	p := testPool(testService(3))
	eject(t, p, "e1", "e2")
	for range 10 {
		ticket, err := acquire(p)
		is.NoErr(err)
		is.True(ticket.ID != "e0") // ejected
		ticket.Done(0, Answered)
	}
	for range 10 {
		ticket, err := acquire(p, "e1")
		is.NoErr(err)
		is.Equal(ticket.ID, "e2") // a retry avoids the ejected one, too
		ticket.Done(0, Answered)
	}
	ticket, err := acquire(p, "e1", "e2")
	is.NoErr(err)
	is.Equal(ticket.ID, "e0") // unless all others are excluded
	ticket.Done(0, Answered)
	eject(t, p, "e0", "e2")
	seen := map[string]bool{}
	for range 10 {
		ticket, err := acquire(p)
		is.NoErr(err)
		seen[ticket.ID] = true
		ticket.Done(0, Answered)
	}
	is.Equal(len(seen), 3) // one usable of three is below panicThreshold
}

// A back end added later must ramp up; those of the first update start at full weight.
func TestNewBackEndsRampUp(t *testing.T) {
	is := is.New(t)
	p := testPool(testService(1))
	p.Update(time.Second, testService(2))
	added := p.endpoints[1]
	is.True(added.weight(time.Second) < 0.3)
	is.Equal(added.weight(time.Second+rampTime), 1.0)
	is.Equal(p.endpoints[0].weight(time.Second), 1.0) // present from the first update
}

// The nodes' subsets together must cover all back ends about evenly.
func TestSubsetsSpreadOverAllBackEnds(t *testing.T) {
	is := is.New(t)
	const endpoints, nodes = 240, 200
	service := testService(endpoints)
	used := map[string]int{}
	for node := range nodes {
		p := NewPool(Config{Node: fmt.Sprintf("node-%d", node)})
		p.Update(0, service)
		is.Equal(len(p.endpoints), subsetSize)
		for _, e := range p.endpoints {
			used[e.target.ID]++
		}
	}
	is.Equal(len(used), endpoints) // each back end is used by some node
	for id, count := range used {
		if count > 3*nodes*subsetSize/endpoints {
			t.Errorf("%s is used by %d nodes", id, count)
		}
	}
}
