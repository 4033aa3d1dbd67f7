package forward

import (
	"net/http"
	"net/netip"
	"testing"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/retry"

	"github.com/matryer/is"
)

// Guards against retries that multiply along a chain of services: calls that a back end makes for
// retries are charged to the budget. Gates receive a mark on retries.
func TestCallsMadeForRetriesAreCharged(t *testing.T) {
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
			rejectWith(exchange.ReasonDeclined, NotRun)(w, r)
		}
		gate, calls := fakeGate(t, declining)
		other, otherCalls := fakeGate(t, declining)
		n := newGatedNodeWith(t, func(cfg *Config) {
			cfg.Retry = retry.Config{Ratio: 0.2, Max: 6}
			cfg.BackendHost, cfg.RetryShare = netip.MustParseAddr(test.host), func() float64 { return test.share }
		}, []string{"z", "other"}, gate, other)
		for range 100 {
			n.call(t, http.MethodGet, "/safe/1", "")
		}
		retries := calls.Load() + otherCalls.Load() - 100
		is.True(retries >= test.least && retries <= test.most)
		is.Equal(marked, retries)
	}
}
