package balancer

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// A back end refused by an order gets no calls until the order ends, with or without gates, and the error
// names the reason.
func TestRefusedBackEndsGetNoCalls(t *testing.T) {
	is := is.New(t)
	p := NewPool(Config{Node: "n", Zone: "a", Random: rand.New(rand.NewPCG(1, 2)).IntN})
	service := func(refused ...exchange.Reason) routing.Service {
		s := routing.Service{Name: "s"}
		for i, reason := range refused {
			s.Endpoints = append(s.Endpoints, routing.Endpoint{ID: string(rune('a' + i)), Incarnation: 1, RejectReason: reason})
		}
		return s
	}
	now := func() time.Duration { return 0 }
	p.Update(0, service(exchange.ReasonEvacuated, ""))
	for range 20 {
		ticket, err := p.Acquire(nil, now, 0, nil, nil)
		is.NoErr(err)
		is.Equal(ticket.ID, "b")
		ticket.Done(0, Answered)
	}
	p.Update(0, service(exchange.ReasonEvacuated, exchange.ReasonEvacuated))
	_, err := p.Acquire(nil, now, time.Second, nil, nil) // immediately, not after the patience
	is.True(errors.Is(err, ErrNoEndpoint))
	is.Equal(err.Error(), "no back end takes calls: of 2, 2 evacuated")
	_, _, err = p.AcquireGate(0, GateRequest{})
	is.True(errors.Is(err, ErrNoEndpoint))
	p.Update(0, service("", ""))
	_, err = p.Acquire(nil, now, 0, nil, nil)
	is.NoErr(err)
}
