package balancer

import (
	"errors"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

const coldInterval = 50 * time.Millisecond

// cool lets gates report that their back ends are cold for a second more.
func cool(p *Pool, room time.Duration, ids ...string) {
	for _, e := range p.endpoints {
		for _, id := range ids {
			if e.target.ID == id {
				e.gate.report.Cold = exchange.Cold{Remaining: time.Second, Room: room, Interval: coldInterval}
			}
		}
	}
}

// A cold back end gets fewer calls than a warm one, but some; once it is warm it gets its full share.
func TestColdBackEndGetsFewerCalls(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, nil)
	cool(p, 0, "a")
	counts := chosen(t, p, 0, 12, GateRequest{Patience: 200 * time.Millisecond})
	is.True(counts["a"] >= 1)
	is.True(counts["a"] <= 4)
	p = gatedPool(t, []string{"z", "z"}, nil)
	cool(p, 0, "a")
	is.Equal(chosen(t, p, time.Second, 12, GateRequest{Patience: 200 * time.Millisecond})["a"], 6)
}

// One without room for the call is not asked while others have some.
func TestColdBackEndWithoutRoomIsLeftOut(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "other"}, nil)
	cool(p, 300*time.Millisecond, "a")
	is.Equal(chosen(t, p, 0, 8, GateRequest{Patience: 200 * time.Millisecond})["a"], 0)
	is.True(chosen(t, p, 300*time.Millisecond, 8, GateRequest{Patience: 200 * time.Millisecond})["a"] > 0)
}

// When all are cold they are filled as far as calls may wait, then nobody is asked any more.
func TestAllCold(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, nil)
	cool(p, 0, "a", "b")
	request := GateRequest{Patience: 100 * time.Millisecond}
	_, wait, err := p.AcquireGate(0, request)
	is.NoErr(err)
	is.Equal(wait, request.Patience) // the gate decides
	counts := chosen(t, p, 0, 5, request)
	is.Equal(counts["a"]+counts["b"], 5) // with the first, three each: at 0, 50 and 100 ms
	_, _, err = p.AcquireGate(0, request)
	var cold *ColdError
	is.True(errors.As(err, &cold))
	is.Equal(cold.WarmIn, time.Second)
	_, _, err = p.AcquireGate(60*time.Millisecond, request)
	is.NoErr(err) // room again
}

// The back end beside the node goes first while cold, too, unless the call would wait there.
func TestOwnColdBackEnd(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, nil)
	p.config.OwnGate = p.endpoints[1].target.Gate
	request := GateRequest{OwnWork: 100 * time.Millisecond, Patience: 200 * time.Millisecond}
	cool(p, 0, "b")
	is.Equal(chosen(t, p, 0, 1, request)["b"], 1)
	is.Equal(chosen(t, p, 0, 1, request)["a"], 1)
}

// A cold back end without a bound is only slower.
func TestColdWithoutBoundIsSlower(t *testing.T) {
	is := is.New(t)
	p := gatedPool(t, []string{"z", "z"}, nil)
	p.endpoints[0].gate.report.Cold = exchange.Cold{Remaining: time.Second}
	is.Equal(chosen(t, p, 0, 3, GateRequest{})["b"], 3)
	is.True(chosen(t, p, 0, 3, GateRequest{})["a"] > 0)
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
