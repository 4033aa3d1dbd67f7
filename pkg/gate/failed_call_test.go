package gate

import (
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// A failed call must mark the back end cold again if an earlier assumption has elapsed and the back
// end has not reported its state since.
func TestFailedCallMakesBackendColdAfterElapsedAssumption(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	g := New(Config{Now: func() time.Duration { return now }})
	g.SetColdBounds(ColdBounds{Start: 2 * time.Second, Rate: 20})
	g.SetBackend(Backend{ID: "i1", Capacity: 4})
	is.Equal(g.Report().Cold.Remaining, 2*time.Second)
	now = 3 * time.Second // no heartbeat arrived
	is.Equal(g.Report().Cold, exchange.Cold{})
	adm, reason := g.admitOne()
	is.Equal(reason, exchange.Reason(""))
	g.assumeColdAfterFailure(adm)
	is.Equal(g.Report().Cold.Remaining, 2*time.Second)
	now = 4 * time.Second
	g.assumeColdAfterFailure(adm) // another call that failed in the same crash
	is.Equal(g.Report().Cold.Remaining, time.Second)
}
