package gate

import (
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// A back end that has not said anything since an earlier doubt, whose time has passed, is doubted again when
// it breaks off a call.
func TestBackEndIsDoubtedAgainAfterAnElapsedAssumption(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	g := New(Config{Now: func() time.Duration { return now }})
	g.SetColdBounds(ColdBounds{Start: 2 * time.Second, Rate: 20})
	g.SetBackend(Backend{ID: "i1", Capacity: 4})
	is.Equal(g.Report().Cold.Remaining, 2*time.Second)
	now = 3 * time.Second // no heartbeat came
	is.Equal(g.Report().Cold, exchange.Cold{})
	granted, reason := g.admitOne()
	is.Equal(reason, exchange.Reason(""))
	g.doubt(granted)
	is.Equal(g.Report().Cold.Remaining, 2*time.Second)
	now = 4 * time.Second
	g.doubt(granted) // another call of the same end
	is.Equal(g.Report().Cold.Remaining, time.Second)
}
