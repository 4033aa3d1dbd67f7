package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

func retryAfter(t *testing.T, response *http.Response) time.Duration {
	t.Helper()
	is.New(t).Equal(response.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.New(t).NoErr(err)
	return time.Duration(seconds * float64(time.Second))
}

// declining is a gate whose back end declines calls though it has room, and which reports that share
// of failures.
func declining(reason exchange.Reason, failing float64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		exchange.Report{Running: 3, Capacity: 8, Service: 10 * time.Millisecond, Failing: failing}.Set(w.Header())
		refusing(reason, NotRun)(w, nil)
	}
}

// A back end that declines some calls by chance will likely take the next one: its caller is told to
// come back at once, not after a third of the time that is left.
func TestCallerDeclinedByChanceComesBackAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		reason  exchange.Reason
		failing float64
		soon    bool
	}{
		"declines half":       {exchange.ReasonDeclined, 0.5, true},
		"declines nearly all": {exchange.ReasonDeclined, 0.9, false},
		"is full":             {exchange.ReasonFull, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := standInGate(t, declining(test.reason, test.failing))
			after := retryAfter(t, newGatedNode(t, 0, gate).call(t, "GET", "/safe/x", "", "Left-Ms", "300"))
			is.Equal(after <= 25*time.Millisecond, test.soon)
			is.True(after <= 110*time.Millisecond)
		})
	}
}
