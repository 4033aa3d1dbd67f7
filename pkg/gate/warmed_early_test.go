package gate

import (
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// A queued call must be admitted when the back end becomes warm, even if that is reported after the
// call was queued.
func TestQueuedCallIsAdmittedWhenBackendWarmsEarlier(t *testing.T) {
	is := is.New(t)
	b := newColdBackend(t, 0)
	g := b.newGate(1)
	g.SetColdRemaining("b1", time.Minute)
	do(g, newCall(t, "POST", "first")).Body.Close()
	began := sinceStart()
	waited := make(chan time.Duration, 1)
	call := newCall(t, "POST", "second", exchange.HeaderWait, "1500")
	go func() {
		do(g, call).Body.Close()
		waited <- sinceStart() - began
	}()
	for g.Report().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	g.SetColdRemaining("b1", 100*time.Millisecond)
	is.True(<-waited < 600*time.Millisecond) // the rate alone would admit it after a second
}
