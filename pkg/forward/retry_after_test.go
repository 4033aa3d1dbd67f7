package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
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

// largeRefusing answers one call with a large answer and refuses all later ones, since its link is taken
// for so long.
func largeRefusing(wait time.Duration) http.HandlerFunc {
	var served atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if served.CompareAndSwap(false, true) {
			w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
			w.Header().Set(exchange.HeaderWork, "1000")
			_, _ = io.WriteString(w, strings.Repeat("x", 50_000))
			return
		}
		exchange.Report{Capacity: 8, Service: 10 * time.Millisecond, LinkWait: wait}.Set(w.Header())
		refusing(exchange.ReasonLink, NotRun)(w, nil)
	}
}

// A caller whose answer has no room on a link is told to come back when there will be some, and no later
// than after a third of its time, also if no gate said when.
func TestCallerWithoutRoomOnTheLinkComesBackWhenThereIsSome(t *testing.T) {
	for wait, after := range map[time.Duration]time.Duration{60 * time.Millisecond: 60 * time.Millisecond, 9 * time.Second: 100 * time.Millisecond, 0: 100 * time.Millisecond} {
		is := is.New(t)
		gate, _ := standInGate(t, largeRefusing(wait))
		n := newGatedNode(t, 0, gate)
		is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK) // shows how large the answers are
		told := retryAfter(t, n.call(t, "GET", "/safe/x", "", "Left-Ms", "300"))
		is.True(told <= after && told >= after-20*time.Millisecond)
	}
}
