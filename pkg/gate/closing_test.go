package gate

import (
	"context"
	"testing"
	"time"

	"bramblelift/pkg/eligibility"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/orders"

	"github.com/matryer/is"
)

func evacuated(zones ...string) *eligibility.Rules {
	var table *orders.Table
	for _, zone := range zones {
		table = table.With(orders.Change{Evacuate: &orders.Evacuation{Zone: zone}}, 1)
	}
	return eligibility.New(table, nil)
}

// closings collects what a gate tells of its closings.
type closings struct{ told []ClosingChange }

func (c *closings) take(closing ClosingChange) { c.told = append(c.told, closing) }

// zoneGate is a gate of zone a with a back end that works on one call at once.
func zoneGate(now *time.Duration, c *closings) *Gate {
	g := New(Config{Now: func() time.Duration { return *now }, OnClosing: c.take})
	g.SetBackend(Backend{ID: "i1", Capacity: 1, Zone: "a"})
	return g
}

func (g *Gate) admitOne() (admittance, exchange.Reason) {
	return g.admit(context.Background(), request{instance: "i1", deadline: time.Hour, wait: time.Minute, early: time.Minute})
}

// What waits is let go and what is new refused, with the reason that sends them elsewhere; what is at work
// is finished and then told.
func TestEvacuatedGateFinishesWhatItHasAndTakesNothingNew(t *testing.T) {
	is := is.New(t)
	now, told := time.Duration(0), closings{}
	g := zoneGate(&now, &told)
	g.SetRules(evacuated("b"))
	is.Equal(len(told.told), 0) // another zone
	atWork, reason := g.admitOne()
	is.Equal(reason, exchange.Reason(""))
	waited := make(chan exchange.Reason, 1)
	go func() {
		_, reason := g.admitOne()
		waited <- reason
	}()
	for g.Report().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	g.SetRules(evacuated("a", "b"))
	is.Equal(<-waited, exchange.ReasonEvacuated)
	_, reason = g.admitOne()
	is.Equal(reason, exchange.ReasonEvacuated)
	is.Equal(g.expectBody(request{instance: "i1", deadline: time.Hour}), exchange.ReasonEvacuated)
	is.Equal(g.Closed(), exchange.ReasonEvacuated)
	is.Equal(g.Sender(), "") // nobody is told that it has room
	now = 3 * time.Second
	g.release(atWork, ending{service: time.Second})
	is.Equal(told.told, []ClosingChange{
		{Backend: "i1", Reason: exchange.ReasonEvacuated, Dropped: 1, Running: 1},
		{Backend: "i1", Reason: exchange.ReasonEvacuated, Quiet: true, Took: 3 * time.Second},
	})
	g.SetRules(evacuated("a")) // other orders change: no news for this gate
	is.Equal(len(told.told), 2)
	now = 5 * time.Second
	g.SetRules(evacuated())
	is.Equal(told.told[2], ClosingChange{Backend: "i1", Took: 5 * time.Second})
	_, reason = g.admitOne()
	is.Equal(reason, exchange.Reason(""))
}

// A back end that starts in an evacuated zone, or takes another's place there, gets nothing either.
func TestBackendsThatComeToAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	now, told := time.Duration(0), closings{}
	g := New(Config{Now: func() time.Duration { return now }, OnClosing: told.take})
	g.SetRules(evacuated("a"))
	is.Equal(g.Closed(), exchange.Reason("")) // there is none
	g.SetBackend(Backend{ID: "i1", Capacity: 1, Zone: "a"})
	_, reason := g.admitOne()
	is.Equal(reason, exchange.ReasonEvacuated)
	g.SetBackend(Backend{ID: "i2", Capacity: 1, Zone: "a"})
	is.Equal(g.Closed(), exchange.ReasonEvacuated)
	_, reason = g.admitOne()
	is.Equal(reason, exchange.ReasonLeft) // i1 is gone for good: that goes first
	g.RemoveBackend("i2")                 // drains beside the evacuation
	is.Equal(g.Closed(), exchange.Reason(""))
	g.SetBackend(Backend{ID: "i3", Capacity: 1, Zone: "b"}) // it says that it runs elsewhere
	is.Equal(g.Closed(), exchange.Reason(""))
}

// A gate that was started again does not know the orders at first; its node's state tells it.
func TestGateStartedAgainInMidEvacuation(t *testing.T) {
	is := is.New(t)
	now, told := time.Duration(0), closings{}
	g := zoneGate(&now, &told)
	granted, reason := g.admitOne()
	is.Equal(reason, exchange.Reason(""))
	g.SetRules(evacuated("a"))
	_, reason = g.admitOne()
	is.Equal(reason, exchange.ReasonEvacuated)
	g.release(granted, ending{})
	is.True(told.told[len(told.told)-1].Quiet)
}
