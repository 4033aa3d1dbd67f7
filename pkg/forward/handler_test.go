package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

// startNode serves one service by the given back ends, with one ordinary route and one whose calls
// must run at most once (Route.Once).
func startNode(t *testing.T, addresses ...string) *httptest.Server {
	t.Helper()
	started := time.Now()
	handler := New(Config{Node: "n", Now: func() time.Duration { return time.Since(started) }, Retry: retry.DefaultConfig(), DeclinedRetries: retry.DeclinedRetriesConfig()})
	handler.SetTable(newTable(addresses...))
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

func newTable(addresses ...string) *routing.Table {
	endpoints := distribution.EndpointTable{"s": {}}
	for i, address := range addresses {
		id := fmt.Sprintf("e%d", i)
		endpoints["s"][id] = distribution.Endpoint{Service: "s", ID: id, Incarnation: 1, Address: address}
	}
	return routing.New(&distribution.State{
		Active: &bundle.Signed{Manifest: bundle.Manifest{Version: 1}, Content: bundle.Content{
			Services: []bundle.Service{{Name: "s"}},
			Secrets:  []bundle.Secret{{Name: "token", Value: "credential"}},
			Routes: []bundle.Route{
				{Name: "plain", PathPrefix: "/", Service: "s", Secret: "token", Timeout: bundle.Duration(3 * time.Second)},
				{Name: "once", PathPrefix: "/once", Service: "s", Once: true, Timeout: bundle.Duration(3 * time.Second)},
			},
		}},
		Endpoints: endpoints,
	})
}

// rawBackend serves each connection with a function that may write partial responses.
func rawBackend(t *testing.T, serve func(conn net.Conn, request *http.Request, number int64) (keep bool)) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	requests = &atomic.Int64{}
	go standin.ServeRaw(listener, func(conn net.Conn, request *http.Request) bool { return serve(conn, request, requests.Add(1)) })
	return listener.Addr().String(), requests
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func send(t *testing.T, server *httptest.Server, method, path string, header http.Header, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	is.New(t).NoErr(err)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := server.Client().Do(request)
	is.New(t).NoErr(err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func outcome(response *http.Response) string { return response.Header.Get(HeaderOutcome) }

// Guards against the retries of net/http when a kept connection breaks: a POST with an Idempotency-Key
// counts as replayable there.
func TestTransportNeverRetriesAnUnsafeCall(t *testing.T) {
	for name, header := range map[string]http.Header{
		"plain": {}, "idempotency key": {"Idempotency-Key": {"k"}}, "x idempotency key": {"X-Idempotency-Key": {"k"}},
	} {
		for _, path := range []string{"/once/order", "/order"} {
			for _, body := range []string{"", "two wardrobes"} {
				t.Run(fmt.Sprintf("%s %s %q", name, path, body), func(t *testing.T) {
					is := is.New(t)
					address, requests := rawBackend(t, func(conn net.Conn, _ *http.Request, number int64) bool {
						if number > 1 {
							return false
						}
						_, _ = io.WriteString(conn, okResponse)
						return true
					})
					server := startNode(t, address)
					is.Equal(send(t, server, http.MethodPost, path, header, body).StatusCode, http.StatusOK)
					second := send(t, server, http.MethodPost, path, header, body)
					is.Equal(outcome(second), string(Unknown)) // it may have run
					is.Equal(requests.Load(), int64(2))        // and was not sent again
				})
			}
		}
	}
}

// Guards against retrying a GET of a once route because its method is safe.
func TestOnceRouteIsNeverRetried(t *testing.T) {
	is := is.New(t)
	crash := func(net.Conn, *http.Request, int64) bool { return false }
	first, firstRequests := rawBackend(t, crash)
	second, secondRequests := rawBackend(t, crash)
	response := send(t, startNode(t, first, second), http.MethodGet, "/once/x", nil, "")
	is.Equal(outcome(response), string(Unknown))
	is.Equal(firstRequests.Load()+secondRequests.Load(), int64(1))
}

func TestSafeCallIsRetriedAtAnotherBackEnd(t *testing.T) {
	is := is.New(t)
	crashing, _ := rawBackend(t, func(net.Conn, *http.Request, int64) bool { return false })
	good, _ := rawBackend(t, func(conn net.Conn, request *http.Request, _ int64) bool {
		_, _ = io.WriteString(conn, okResponse)
		return true
	})
	server := startNode(t, crashing, good)
	for range 10 {
		is.Equal(send(t, server, http.MethodGet, "/x", nil, "").StatusCode, http.StatusOK)
	}
}

// Guards against reporting not-run after a first attempt that may have run.
func TestNotRunIsReportedOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	is := is.New(t)
	decline := func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRequest-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	began := 0
	for range 20 {
		crashing, ran := rawBackend(t, func(net.Conn, *http.Request, int64) bool { return false })
		first, _ := rawBackend(t, decline)
		second, _ := rawBackend(t, decline)
		third, _ := rawBackend(t, decline)
		response := send(t, startNode(t, crashing, first, second, third), http.MethodGet, "/x", nil, "")
		if ran.Load() > 0 {
			began++
			is.Equal(outcome(response), string(Unknown))
		}
	}
	is.True(began > 0)
}

func TestRetryIsMarkedAndNotMultiplied(t *testing.T) {
	is := is.New(t)
	marks := make(chan string, 10)
	decline := func(conn net.Conn, request *http.Request, _ int64) bool {
		marks <- request.Header.Get(HeaderRetry)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nRequest-Outcome: not-run\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	first, _ := rawBackend(t, decline)
	second, _ := rawBackend(t, decline)
	server := startNode(t, first, second)
	response := send(t, server, http.MethodPost, "/once/x", nil, "body")
	is.Equal(outcome(response), string(NotRun)) // declined by both back ends
	is.Equal(response.Header.Get("Retry-After"), "2")
	is.Equal(<-marks, "")
	is.Equal(<-marks, "1") // the second attempt is marked as a retry
	response = send(t, server, http.MethodPost, "/x", http.Header{HeaderRetry: {"1"}}, "body")
	is.Equal(outcome(response), string(NotRun))
	is.Equal(response.Header.Get("Retry-After"), "7") // the back end's own Retry-After is forwarded
	is.Equal(len(marks), 1)                           // a call that an earlier hop retries is not retried here
}

func TestTruncatedResponseIsAnErrorForTheCaller(t *testing.T) {
	for name, partial := range map[string]string{
		"with length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part",
		"chunked":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := rawBackend(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
				_, _ = io.WriteString(conn, partial)
				return false
			})
			request, err := http.NewRequest(http.MethodGet, startNode(t, address).URL+"/x", nil)
			is.NoErr(err)
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			is.True(err != nil) // never a complete response
		})
	}
}

// Guards against the late response of a canceled call reaching the next caller.
func TestLateResponseIsNotReturnedToTheNextCall(t *testing.T) {
	is := is.New(t)
	address, _ := rawBackend(t, func(conn net.Conn, request *http.Request, _ int64) bool {
		if request.URL.Path == "/slow" {
			time.Sleep(150 * time.Millisecond)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		return true
	})
	server := startNode(t, address)
	for round := range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Millisecond)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/slow", nil)
		is.NoErr(err)
		_, err = server.Client().Do(request)
		is.True(err != nil)
		cancel()
		path := fmt.Sprintf("/own/%d", round)
		body, err := io.ReadAll(send(t, server, http.MethodGet, path, nil, "").Body)
		is.NoErr(err)
		is.Equal(string(body), path)
	}
}

func TestDeadlineIsForwardedAndEnforced(t *testing.T) {
	is := is.New(t)
	timeouts := make(chan string, 1)
	address, _ := rawBackend(t, func(conn net.Conn, request *http.Request, _ int64) bool {
		timeouts <- request.Header.Get(HeaderTimeout)
		time.Sleep(time.Second)
		return false
	})
	server := startNode(t, address)
	started := time.Now()
	response := send(t, server, http.MethodPost, "/x", http.Header{HeaderTimeout: {"80"}}, "x")
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.Equal(outcome(response), string(Unknown))
	is.True(time.Since(started) < 700*time.Millisecond)
	var passed int
	_, err := fmt.Sscan(<-timeouts, &passed)
	is.NoErr(err)
	is.True(passed > 0 && passed <= 80)
	response = send(t, server, http.MethodPost, "/x", http.Header{HeaderTimeout: {"0"}}, "x")
	is.Equal(outcome(response), string(NotRun)) // the deadline has passed
}

func TestRejectionsAreImmediateWithRetryAfter(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	closed := listener.Addr().String()
	listener.Close()
	for name, server := range map[string]*httptest.Server{
		"no back end": startNode(t), "connection refused": startNode(t, closed),
		"no configuration": httptest.NewServer(New(Config{Now: func() time.Duration { return 0 }, Retry: retry.DefaultConfig(), DeclinedRetries: retry.DeclinedRetriesConfig()})),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			started := time.Now()
			response := send(t, server, http.MethodPost, "/once/x", nil, "body")
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(outcome(response), string(NotRun))
			is.True(response.Header.Get("Retry-After") != "")
			is.True(time.Since(started) < time.Second)
		})
	}
}

// awaitCalls waits until the back ends together have received so many calls.
func awaitCalls(t *testing.T, wanted int64, counts ...*atomic.Int64) {
	t.Helper()
	for range 500 {
		got := int64(0)
		for _, count := range counts {
			got += count.Load()
		}
		if got >= wanted {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("back ends did not receive %d calls", wanted)
}

// A call that finds no free slot waits once for a short time and is then rejected.
func TestCallIsRejectedAfterAShortWaitIfSaturated(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	var addresses []string
	var inFlight []*atomic.Int64
	for range 2 {
		address, calls := rawBackend(t, func(net.Conn, *http.Request, int64) bool {
			<-release
			return false
		})
		addresses = append(addresses, address)
		inFlight = append(inFlight, calls)
	}
	server := startNode(t, addresses...)
	for range 2 * 64 { // the limit of a back end for which the bundle sets none
		go func() {
			response, err := http.Post(server.URL+"/once/x", "text/plain", strings.NewReader("x"))
			if err == nil {
				response.Body.Close()
			}
		}()
	}
	awaitCalls(t, 2*64, inFlight...)
	started := time.Now()
	response := send(t, server, http.MethodPost, "/once/x", nil, "body")
	is.Equal(outcome(response), string(NotRun))
	is.Equal(response.Header.Get("Retry-After"), "1")
	is.True(time.Since(started) < 2*maxSlotWait)
}

func TestCallerHeadersAndCredential(t *testing.T) {
	is := is.New(t)
	seen := make(chan http.Header, 1)
	address, _ := rawBackend(t, func(conn net.Conn, request *http.Request, _ int64) bool {
		seen <- request.Header
		_, _ = io.WriteString(conn, okResponse)
		return true
	})
	send(t, startNode(t, address), http.MethodGet, "/x", http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Kept": {"2"}, "Authorization": {"stolen"}}, "")
	header := <-seen
	is.Equal(header.Get("X-Hop"), "") // a hop-by-hop header
	is.Equal(header.Get("X-Kept"), "2")
	is.Equal(header.Get("Authorization"), "Bearer credential") // the bundle's, not the caller's
}

func TestMayRetry(t *testing.T) {
	base := RetryState{Outcome: NotRun, BodyReplayable: true, Attempts: 1}
	for name, test := range map[string]struct {
		change func(*RetryState)
		want   bool
	}{
		"not run":           {func(*RetryState) {}, true},
		"unknown":           {func(s *RetryState) { s.Outcome = Unknown }, false},
		"unknown but safe":  {func(s *RetryState) { s.Outcome = Unknown; s.Repeatable = true }, true},
		"body gone":         {func(s *RetryState) { s.BodyReplayable = false }, false},
		"earlier hop":       {func(s *RetryState) { s.RetriedBefore = true }, false},
		"out of time":       {func(s *RetryState) { s.Expired = true }, false},
		"too many attempts": {func(s *RetryState) { s.Attempts = maxAttempts }, false},
	} {
		state := base
		test.change(&state)
		if got := MayRetry(state); got != test.want {
			t.Errorf("%s: MayRetry = %t, want %t", name, got, test.want)
		}
	}
}
