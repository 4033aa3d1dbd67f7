package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/exchange"

	"github.com/matryer/is"
)

// Gates are told how long an answer is expected to be once the route's answers were large, and only then.
func TestGatesAreToldOfLargeAnswers(t *testing.T) {
	for size, told := range map[int]string{50_000: "50000", 1000: ""} {
		is := is.New(t)
		var expected atomic.Pointer[string]
		gate, _ := standInGate(t, func(w http.ResponseWriter, r *http.Request) {
			header := r.Header.Get(exchange.HeaderExpectedAnswer)
			expected.Store(&header)
			w.Header().Set(exchange.HeaderWork, "1000")
			w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
		n := newGatedNode(t, 0, gate)
		is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK)
		is.Equal(*expected.Load(), "") // nothing is known yet
		is.Equal(n.call(t, "GET", "/safe/x", "", exchange.HeaderExpectedAnswer, "7").StatusCode, http.StatusOK)
		is.Equal(*expected.Load(), told) // callers have no say in it
	}
}

// slowAnswer is a gate that sends an answer of so many bytes bit by bit, and tells when it was left.
func slowAnswer(size int, left chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		piece := strings.Repeat("x", size/100)
		for range 100 {
			if _, err := io.WriteString(w, piece); err != nil {
				break
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				close(left)
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		if r.Context().Err() != nil {
			close(left)
		}
	}
}

// A caller that leaves in the middle of a large answer ends its transfer between the nodes, whether the
// node holds the answer whole or passes it on as it comes.
func TestCallerThatLeavesEndsTheTransferFromTheGate(t *testing.T) {
	for name, size := range map[string]int{"held": 500_000, "passed on": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			left := make(chan struct{})
			gate, _ := standInGate(t, slowAnswer(size, left))
			n := newGatedNode(t, 0, gate)
			r, err := http.NewRequest(http.MethodGet, n.URL+"/safe/x", nil)
			is.NoErr(err)
			r.Host = "shop.example:80"
			r.Header.Set("Call-Id", "x")
			client := &http.Client{Timeout: 100 * time.Millisecond}
			if response, err := client.Do(r); err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				is.True(err != nil) // what came is not whole
				response.Body.Close()
			}
			select {
			case <-left:
			case <-time.After(200 * time.Millisecond): // well before the route's time is up
				t.Fatal("the gate still sends")
			}
		})
	}
}

// An answer that breaks off between the nodes never looks whole to the caller.
func TestLargeAnswerThatBreaksOffNeverLooksWhole(t *testing.T) {
	for name, size := range map[string]int{"held": 500_000, "passed on": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := standInGate(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
				w.Header().Set("Content-Length", strconv.Itoa(size))
				_, _ = io.WriteString(w, strings.Repeat("x", size-1000))
			})
			r, err := http.NewRequest(http.MethodGet, newGatedNode(t, 0, gate).URL+"/safe/x", nil)
			is.NoErr(err)
			r.Host = "shop.example:80"
			r.Header.Set("Call-Id", "x")
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				return
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			is.True(err != nil || response.StatusCode == http.StatusBadGateway)
		})
	}
}

// A large answer of the caller's own back end crosses the link once, that of another twice: a call whose
// answer will be large may wait there for a slot before others are asked, any other may not.
func TestLargeAnswersWaitAtTheOwnBackend(t *testing.T) {
	for size, waits := range map[int]bool{50_000: true, 100: false} {
		is := is.New(t)
		wait := time.Duration(-1)
		own := func(r *http.Request, _ *exchange.Body) *http.Response {
			wait, _ = exchange.ReadMillis(r.Header, exchange.HeaderWait)
			recorder := httptest.NewRecorder()
			recorder.Header().Set("Call-Id", r.Header.Get("Call-Id"))
			recorder.Header().Set(exchange.HeaderWork, "1000")
			_, _ = io.WriteString(recorder, strings.Repeat("x", size))
			return recorder.Result()
		}
		const ownGate = "10.0.0.9:1"
		n := newGatedNodeWith(t, func(cfg *Config) { cfg.GateAddress, cfg.Gate = ownGate, own }, []string{"z"}, ownGate)
		for range 2 {
			is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK)
		}
		is.Equal(wait > 20*time.Millisecond, waits)
		is.True(wait <= 50*time.Millisecond) // a quarter of the target latency
	}
}
