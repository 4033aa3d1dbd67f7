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

func targets(count int) routing.Service {
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

func acquire(p *Pool, tried ...string) (*Ticket, error) {
	return p.Acquire(nil, func() time.Duration { return 0 }, 0, tried, nil)
}

func TestLeavingHasNoWayBackButANewLife(t *testing.T) {
	is := is.New(t)
	service := targets(2)
	p := testPool(service)
	ticket, err := acquire(p, "e1")
	is.NoErr(err)
	ticket.Report(-1, true) // the back end's own word
	ticket.Done(0, Answered)
	p.Update(0, service) // the platform's list lags and shows it live
	service.Endpoints[0].Address = "10.9.9.9:80"
	p.Update(0, service) // even at another address
	_, err = acquire(p, "e1")
	is.True(errors.Is(err, ErrNoEndpoint))
	p.Update(0, targets(0)) // gone and listed again
	p.Update(0, targets(2))
	_, err = acquire(p, "e1")
	is.True(errors.Is(err, ErrNoEndpoint))
	service.Endpoints[0].Incarnation = 2
	p.Update(0, service)
	ticket, err = acquire(p, "e1")
	is.NoErr(err)
	is.Equal(ticket.Incarnation, uint64(2))
}

func TestLimitsHoldAndShrink(t *testing.T) {
	is := is.New(t)
	p := testPool(targets(1))
	first, err := acquire(p)
	is.NoErr(err)
	second, err := acquire(p)
	is.NoErr(err)
	_, err = acquire(p)
	is.True(errors.Is(err, ErrSaturated)) // two slots
	first.Done(0, Refused)
	second.Done(0, Refused)
	_, err = acquire(p)
	is.NoErr(err)
	_, err = acquire(p)
	is.True(errors.Is(err, ErrSaturated)) // refusals shrink the limit, but not to nothing
}

func TestWaitingCallGetsAFreedSlot(t *testing.T) {
	is := is.New(t)
	p := testPool(targets(1))
	first, err := acquire(p)
	is.NoErr(err)
	_, err = acquire(p)
	is.NoErr(err)
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	time.AfterFunc(20*time.Millisecond, func() { first.Done(now(), Answered) })
	_, err = p.Acquire(nil, now, 5*time.Second, nil, nil)
	is.NoErr(err)
	left := make(chan struct{})
	close(left)
	_, err = p.Acquire(left, now, 5*time.Second, nil, nil)
	is.True(errors.Is(err, ErrSaturated)) // a caller that leaves does not wait
}

// eject makes a back end fail as often as it takes; keep names the others.
func eject(t *testing.T, p *Pool, keep ...string) {
	t.Helper()
	for range failuresToEject {
		ticket, err := acquire(p, keep...)
		is.New(t).NoErr(err)
		ticket.Done(0, Failed)
	}
}

func TestFailingBackEndsAreEjectedButNeverMost(t *testing.T) {
	is := is.New(t)
	p := testPool(targets(3))
	eject(t, p, "e1", "e2")
	for range 10 {
		ticket, err := acquire(p)
		is.NoErr(err)
		is.True(ticket.ID != "e0") // left out
		ticket.Done(0, Answered)
	}
	for range 10 {
		ticket, err := acquire(p, "e1")
		is.NoErr(err)
		is.Equal(ticket.ID, "e2") // a retry does not go to the ejected one either
		ticket.Done(0, Answered)
	}
	ticket, err := acquire(p, "e1", "e2")
	is.NoErr(err)
	is.Equal(ticket.ID, "e0") // unless nobody else is left
	ticket.Done(0, Answered)
	eject(t, p, "e0", "e2")
	seen := map[string]bool{}
	for range 10 {
		ticket, err := acquire(p)
		is.NoErr(err)
		seen[ticket.ID] = true
		ticket.Done(0, Answered)
	}
	is.Equal(len(seen), 3) // one of three is too few: nobody is left out
}

func TestColdBackEndsRampUp(t *testing.T) {
	is := is.New(t)
	p := testPool(targets(1))
	p.Update(time.Second, targets(2))
	cold := p.endpoints[1]
	is.True(cold.weight(time.Second) < 0.3)
	is.Equal(cold.weight(time.Second+rampTime), 1.0)
	is.Equal(p.endpoints[0].weight(time.Second), 1.0) // those there from the start carry all
}

func TestSubsetsAreStableAndSpread(t *testing.T) {
	is := is.New(t)
	const endpoints, nodes = 240, 200
	service := targets(endpoints)
	used := map[string]int{}
	for node := range nodes {
		p := NewPool(Config{Node: fmt.Sprintf("node-%d", node)})
		p.Update(0, service)
		is.Equal(len(p.endpoints), subsetSize)
		for _, e := range p.endpoints {
			used[e.target.ID]++
		}
	}
	is.Equal(len(used), endpoints) // everybody is used by somebody
	for id, count := range used {
		if count > 3*nodes*subsetSize/endpoints {
			t.Errorf("%s is used by %d nodes", id, count)
		}
	}
}
