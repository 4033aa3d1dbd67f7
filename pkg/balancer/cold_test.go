package balancer

import (
	"errors"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

const coldInterval = 50 * time.Millisecond

// setCold sets the reports of the given back ends: cold for one more second, next admission after admitIn.
func setCold(p *Pool, admitIn time.Duration, ids ...string) {
	for _, e := range p.endpoints {
		for _, id := range ids {
			if e.target.ID == id {
				e.gate.report.Cold = exchange.Cold{Remaining: time.Second, AdmissionDelay: admitIn, AdmissionInterval: coldInterval}
			}
		}
	}
}

// A cold back end gets some calls, fewer than a warm one, and its full share once it is warm.
func TestColdBackEndGetsFewerCalls(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, nil)
	setCold(p, 0, "a")
	counts := countAcquired(t, p, 0, 12, GateRequest{Patience: 200 * time.Millisecond})
	is.True(counts["a"] >= 1)
	is.True(counts["a"] <= 4)
	p = gatedPool(t, []string{"z", "z"}, nil)
	setCold(p, 0, "a")
	is.Equal(countAcquired(t, p, time.Second, 12, GateRequest{Patience: 200 * time.Millisecond})["a"], 6)
}

// A cold back end that cannot admit the call in time is not chosen while others can.
func TestColdBackEndWithoutFreeCapacityIsNotChosen(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "other"}, nil)
	setCold(p, 300*time.Millisecond, "a")
	is.Equal(countAcquired(t, p, 0, 8, GateRequest{Patience: 200 * time.Millisecond})["a"], 0)
	is.True(countAcquired(t, p, 300*time.Millisecond, 8, GateRequest{Patience: 200 * time.Millisecond})["a"] > 0)
}

// Cold back ends get calls only up to what they can admit within the patience; the rest fail with ColdError.
func TestAllBackEndsColdReturnsColdError(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, nil)
	setCold(p, 0, "a", "b")
	request := GateRequest{Patience: 100 * time.Millisecond}
	_, wait, err := p.AcquireGate(0, request)
	is.NoErr(err)
	is.Equal(wait, request.Patience) // the gate may queue the call
	counts := countAcquired(t, p, 0, 5, request)
	is.Equal(counts["a"]+counts["b"], 5) // including the first call, each back end admits three: at 0, 50 and 100 ms
	_, _, err = p.AcquireGate(0, request)
	var cold *ColdError
	is.True(errors.As(err, &cold))
	is.Equal(cold.WarmIn, time.Second)
	_, _, err = p.AcquireGate(60*time.Millisecond, request)
	is.NoErr(err) // capacity is free again
}

// The back end beside the node is preferred even while cold, unless the call would wait there.
func TestOwnColdBackEndIsPreferredUnlessTheCallWaits(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, nil)
	p.config.OwnGate = p.endpoints[1].target.Gate
	request := GateRequest{OwnGateMaxService: 100 * time.Millisecond, Patience: 200 * time.Millisecond}
	setCold(p, 0, "b")
	is.Equal(countAcquired(t, p, 0, 1, request)["b"], 1)
	is.Equal(countAcquired(t, p, 0, 1, request)["a"], 1)
}

// A cold back end without a rate limit is chosen less often, but still chosen.
func TestColdBackEndWithoutRateLimitIsRatedSlower(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, nil)
	p.endpoints[0].gate.report.Cold = exchange.Cold{Remaining: time.Second}
	is.Equal(countAcquired(t, p, 0, 3, GateRequest{})["b"], 3)
	is.True(countAcquired(t, p, 0, 3, GateRequest{})["a"] > 0)
}

func BenchmarkAcquireGate(b *testing.B) {
	zones := make([]string, subsetSize)
	for i := range zones {
		zones[i] = []string{"z", "other"}[i%2]
	}
	p := gatedPool(&testing.T{}, zones, nil)
	b.ReportAllocs()
	for b.Loop() {
		ticket, _, err := p.AcquireGate(0, GateRequest{Patience: time.Second, LocalWait: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		ticket.Done(0, Answered)
		ticket.endpoint.gate.sent = 0
	}
}
