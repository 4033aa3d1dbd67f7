package stream

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// busyLinkDelays are delays of links that still count as usable.
var busyLinkDelays = []time.Duration{time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 225 * time.Millisecond}

// A node counts as connected again 3 s after its server was lost. It must then hold what was accepted 1 s after that.
func TestLostServerIsReplacedInTimeOverABusyLink(t *testing.T) {
	losses := map[string]func(*network, *networkServer){
		"silent":  func(_ *network, s *networkServer) { s.silence() },
		"cut off": func(n *network, s *networkServer) { s.cutOffSince.Store(int64(n.now())) },
	}
	for name, lose := range losses {
		for _, delay := range busyLinkDelays {
			t.Run(fmt.Sprintf("%s, %s", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testLostServer(t, delay, lose) })
			})
		}
	}
}

func testLostServer(t *testing.T, delay time.Duration, lose func(*network, *networkServer)) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	n, addresses := newNetworkOf(ctx, 4, stateAtRevision(1))
	target := &positionTarget{}
	client := n.addClient(t, link{delay: delay, bytesPerSecond: 40_000}, target, addresses...)
	awaitRevision(target, 1, 10*time.Second)
	time.Sleep(2 * time.Second)
	lost := n.servers[client.Server()]
	lose(n, lost)
	lostAt := time.Now()
	time.Sleep(time.Second)
	n.acceptAt(stateAtRevision(2), lost)
	awaitRevision(target, 2, 20*time.Second)
	took := time.Since(lostAt)
	cancel()
	time.Sleep(10 * time.Second)
	t.Log(took)
	is.True(took <= 3*time.Second)
}

// A node counts as connected again 3 s after a cut, and must hold then what was accepted 1 s after the cut.
func TestClientIsBackInTimeAfterACut(t *testing.T) {
	for cutFor := time.Second; cutFor <= 10*time.Second; cutFor += time.Second {
		t.Run(cutFor.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const clients = 100
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				n, addresses := newNetworkOf(ctx, 4, stateAtRevision(1))
				over := link{delay: 50 * time.Millisecond, bytesPerSecond: 100_000, cut: &atomic.Bool{}}
				var targets []*positionTarget
				for range clients {
					target := &positionTarget{}
					n.addClient(t, over, target, addresses...)
					targets = append(targets, target)
				}
				time.Sleep(5 * time.Second)
				over.cut.Store(true)
				time.Sleep(cutFor)
				over.cut.Store(false)
				healed := time.Now()
				time.Sleep(time.Second)
				n.acceptAt(stateAtRevision(2), nil)
				for _, target := range targets {
					awaitRevision(target, 2, 20*time.Second)
				}
				took := time.Since(healed)
				cancel()
				time.Sleep(20 * time.Second)
				t.Log(took)
				is.True(took <= 3*time.Second)
			})
		})
	}
}

// Dials on a saturated link take longer than a server that is down is worth waiting for.
func TestClientConnectsOverASaturatedLink(t *testing.T) {
	for _, delay := range []time.Duration{400 * time.Millisecond, 550 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				n, addresses := newNetworkOf(ctx, 1, stateAtRevision(1))
				target := &positionTarget{}
				n.addClient(t, link{delay: delay, bytesPerSecond: 40_000}, target, addresses...)
				took := awaitRevision(target, 1, time.Minute)
				cancel()
				time.Sleep(20 * time.Second)
				t.Log(took)
				is.True(took <= 4*time.Second)
			})
		})
	}
}
