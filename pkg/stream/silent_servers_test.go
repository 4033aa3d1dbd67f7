package stream

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against nodes that try the same silent servers again and again and never reach a sound one.
func TestSoundServerIsFoundBehindManySilentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silent, clients, inForce = 8, 30, 8 * time.Second
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		n, addresses := newNetworkOf(ctx, silent+1, stateAtRevision(1))
		for i := range silent {
			n.servers[addresses[i]].silence()
		}
		var targets []*positionTarget
		for range clients {
			target := &positionTarget{}
			n.addClient(t, link{delay: time.Millisecond, bytesPerSecond: 100_000}, target, addresses...)
			targets = append(targets, target)
		}
		time.Sleep(inForce)
		late := 0
		for _, target := range targets {
			if target.Position().Revision == 0 {
				late++
			}
		}
		cancel()
		time.Sleep(30 * time.Second)
		is.Equal(fmt.Sprintf("%d of %d late", late, clients), fmt.Sprintf("0 of %d late", clients))
	})
}
