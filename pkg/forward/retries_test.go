package forward

import (
	"net/http"
	"net/netip"
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/retry"

	"github.com/matryer/is"
)

// Calls of a back end that is at work on repeats are repeats of the service that they go to. They are counted
// against its budget, so that along a chain of services the repeats of one do not add to those of the next. The
// gate is told which calls are repeats.
func TestCallsOfRepeatsAreCharged(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		host  string
		share float64
		least int64
		most  int64
	}{{"127.0.0.1", 0, 20, 30}, {"127.0.0.1", 0.2, 0, 3}, {"10.0.0.9", 0.2, 20, 30}} {
		marked := int64(0)
		declining := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(exchange.HeaderRetry) != "" {
				marked++
			}
			refusing(exchange.ReasonDeclined, NotRun)(w, r)
		}
		gate, calls := standInGate(t, declining)
		other, otherCalls := standInGate(t, declining)
		n := newGatedNodeWith(t, func(cfg *Config) {
			cfg.Retry = retry.Config{Ratio: 0.2, Max: 6}
			cfg.BackendHost, cfg.RetryShare = netip.MustParseAddr(test.host), func() float64 { return test.share }
		}, []string{"z", "other"}, gate, other)
		for range 100 {
			n.call(t, http.MethodGet, "/safe/1", "")
		}
		repeats := calls.Load() + otherCalls.Load() - 100
		is.True(repeats >= test.least && repeats <= test.most)
		is.Equal(marked, repeats)
	}
}
