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

// decliningGate is a gate with free capacity whose back end declines calls, and which reports
// failureRate.
func decliningGate(reason exchange.Reason, failureRate float64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		exchange.Report{Running: 3, Capacity: 8, ServiceTime: 10 * time.Millisecond, FailureRate: failureRate}.Set(w.Header())
		rejectWith(reason, NotRun)(w, nil)
	}
}

// Guards against a long Retry-After where a back end declines calls at random and a retry will probably
// succeed.
func TestRetryAfterIsMinimalAfterRandomDeclines(t *testing.T) {
	for name, test := range map[string]struct {
		reason      exchange.Reason
		failureRate float64
		soon        bool
	}{
		"declines half":       {exchange.ReasonDeclined, 0.5, true},
		"declines nearly all": {exchange.ReasonDeclined, 0.9, false},
		"is full":             {exchange.ReasonFull, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := fakeGate(t, decliningGate(test.reason, test.failureRate))
			after := retryAfter(t, newGatedNode(t, 0, gate).call(t, "GET", "/safe/x", "", "Left-Ms", "300"))
			is.Equal(after <= 25*time.Millisecond, test.soon)
			is.True(after <= 110*time.Millisecond)
		})
	}
}

// largeThenRejecting serves one call with a large response and rejects later ones with a link wait.
func largeThenRejecting(wait time.Duration) http.HandlerFunc {
	var served atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if served.CompareAndSwap(false, true) {
			w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
			w.Header().Set(exchange.HeaderWork, "1000")
			_, _ = io.WriteString(w, strings.Repeat("x", 50_000))
			return
		}
		exchange.Report{Capacity: 8, ServiceTime: 10 * time.Millisecond, LinkWait: wait}.Set(w.Header())
		rejectWith(exchange.ReasonLink, NotRun)(w, nil)
	}
}

// A call rejected by a full link gets the gate's link wait as Retry-After, at most a third of its time.
func TestRetryAfterFollowsTheLinkWait(t *testing.T) {
	for wait, after := range map[time.Duration]time.Duration{60 * time.Millisecond: 60 * time.Millisecond, 9 * time.Second: 100 * time.Millisecond, 0: 100 * time.Millisecond} {
		is := is.New(t)
		gate, _ := fakeGate(t, largeThenRejecting(wait))
		n := newGatedNode(t, 0, gate)
		is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK) // the response size is now known
		got := retryAfter(t, n.call(t, "GET", "/safe/x", "", "Left-Ms", "300"))
		is.True(got <= after && got >= after-20*time.Millisecond)
	}
}
