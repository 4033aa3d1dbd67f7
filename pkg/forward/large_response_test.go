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

// Gates receive the expected response size only if the route's responses were large.
func TestGatesReceiveTheExpectedSizeOfLargeResponses(t *testing.T) {
	for size, wantHeader := range map[int]string{50_000: "50000", 1000: ""} {
		is := is.New(t)
		var expected atomic.Pointer[string]
		gate, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
			header := r.Header.Get(exchange.HeaderExpectedResponse)
			expected.Store(&header)
			w.Header().Set(exchange.HeaderWork, "1000")
			w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
		n := newGatedNode(t, 0, gate)
		is.Equal(n.call(t, "GET", "/safe/x", "").StatusCode, http.StatusOK)
		is.Equal(*expected.Load(), "") // the response size is not known yet
		is.Equal(n.call(t, "GET", "/safe/x", "", exchange.HeaderExpectedResponse, "7").StatusCode, http.StatusOK)
		is.Equal(*expected.Load(), wantHeader) // the caller's header is dropped
	}
}

// slowResponse is a gate that sends a response slowly and closes disconnected when its client leaves.
func slowResponse(size int, disconnected chan struct{}) http.HandlerFunc {
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
				close(disconnected)
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		if r.Context().Err() != nil {
			close(disconnected)
		}
	}
}

// Guards against a transfer between nodes that continues after the caller has disconnected, for both
// buffered and streamed responses.
func TestDisconnectedCallerStopsTheTransferFromTheGate(t *testing.T) {
	for name, size := range map[string]int{"held": 500_000, "passed on": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			disconnected := make(chan struct{})
			gate, _ := fakeGate(t, slowResponse(size, disconnected))
			n := newGatedNode(t, 0, gate)
			r, err := http.NewRequest(http.MethodGet, n.URL+"/safe/x", nil)
			is.NoErr(err)
			r.Host = "shop.example:80"
			r.Header.Set("Call-Id", "x")
			client := &http.Client{Timeout: 100 * time.Millisecond}
			if response, err := client.Do(r); err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				is.True(err != nil) // the response is incomplete
				response.Body.Close()
			}
			select {
			case <-disconnected:
			case <-time.After(200 * time.Millisecond): // well before the route's timeout
				t.Fatal("the gate still sends after the caller disconnected")
			}
		})
	}
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedLargeResponseNeverLooksComplete(t *testing.T) {
	for name, size := range map[string]int{"held": 500_000, "passed on": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, _ := fakeGate(t, func(w http.ResponseWriter, r *http.Request) {
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

// A large response from the own back end crosses the link once, from another one twice. Only calls
// that expect a large response wait at the own gate before others are attempted.
func TestCallsWithLargeResponsesWaitAtTheOwnGate(t *testing.T) {
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
