package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/roundtrip"
	"bramblelift/pkg/settings"

	"github.com/matryer/is"
)

var testHeaders = settings.Headers{
	RequestID: "Call-Id", Deadline: "Left-Ms", ExpectedInstance: "Want", NotRun: "Not-Run", Caller: "From",
}

// newGateFor returns a gate whose back end has the given address and capacity.
func newGateFor(address string, capacity int) *Gate {
	started := time.Now()
	g := New(Config{Headers: testHeaders, Now: func() time.Duration { return time.Since(started) }})
	g.SetBackend(Backend{ID: "b1", Address: address, Capacity: capacity})
	return g
}

func newCall(t *testing.T, method, id string, header ...string) *http.Request {
	t.Helper()
	request := httptest.NewRequest(method, "http://host.example/path/x?q=1", strings.NewReader("body"))
	request.Header.Set("Call-Id", id)
	request.Header.Set("Left-Ms", "2000")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return request
}

// do sends a call as the gate's own node does, without a buffered body.
func do(g *Gate, r *http.Request) *http.Response { return g.Do(r, &exchange.Body{}) }

func reasonOf(response *http.Response) exchange.Reason {
	return exchange.Reason(response.Header.Get(exchange.HeaderReason))
}

// scriptedBackend handles each call with serve and counts the calls.
func scriptedBackend(t *testing.T, serve func(conn net.Conn, request *http.Request, number int64) (keep bool)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	var calls atomic.Int64
	go standin.ServeRaw(listener, func(conn net.Conn, request *http.Request) bool { return serve(conn, request, calls.Add(1)) })
	return listener.Addr().String(), &calls
}

func writeResponse(conn net.Conn, id, rest string) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nCall-Id: "+id+"\r\n"+rest)
}

// blockingBackend responds to a call for each value received from release, or to all once it is
// closed.
func blockingBackend(t *testing.T) (address string, release chan struct{}, calls *atomic.Int64) {
	release = make(chan struct{})
	var counted atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted.Add(1)
		<-release
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), release, &counted
}

func TestNoMoreThanCapacityReachesTheBackend(t *testing.T) {
	is := is.New(t)
	address, release, calls := blockingBackend(t)
	g := newGateFor(address, 2)
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() { do(g, newCall(t, "GET", "a")).Body.Close() })
	}
	for calls.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	third := do(g, newCall(t, "GET", "c")) // it is not allowed to wait
	is.Equal(third.StatusCode, http.StatusServiceUnavailable)
	is.Equal(third.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.Equal(reasonOf(third), exchange.ReasonFull)
	report, ok := exchange.ParseReport(third.Header.Get(exchange.HeaderReport))
	is.True(ok)
	is.Equal(report.Running, 2)
	is.Equal(report.Capacity, 2)
	close(release)
	group.Wait()
	is.Equal(calls.Load(), int64(2))
}

func TestQueuedCallsAreAdmittedByPriorityThenDeadline(t *testing.T) {
	is := is.New(t)
	address, release, calls := blockingBackend(t)
	g := newGateFor(address, 1)
	var group sync.WaitGroup
	group.Go(func() { do(g, newCall(t, "GET", "first")).Body.Close() })
	for calls.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	var mu sync.Mutex
	var order []string
	for _, waiter := range [][]string{{"low", "2", "900"}, {"high late", "1", "900"}, {"high soon", "1", "800"}} {
		group.Go(func() {
			do(g, newCall(t, "GET", waiter[0], exchange.HeaderPriority, waiter[1], "Left-Ms", waiter[2], exchange.HeaderWait, "700")).Body.Close()
			mu.Lock()
			order = append(order, waiter[0])
			mu.Unlock()
		})
	}
	for g.Report().Queued < 3 {
		time.Sleep(time.Millisecond)
	}
	for range 4 {
		release <- struct{}{}
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	is.Equal(order, []string{"high soon", "high late", "low"})
}

// A leaving back end must get no new calls, neither queued ones nor those of senders that still
// know it.
func TestNoNewCallReachesALeavingBackend(t *testing.T) {
	is := is.New(t)
	address, release, calls := blockingBackend(t)
	g := newGateFor(address, 1)
	var group sync.WaitGroup
	group.Go(func() {
		is.Equal(do(g, newCall(t, "GET", "running")).StatusCode, http.StatusOK) // running calls may finish
	})
	for calls.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	waiting := make(chan exchange.Reason, 1)
	group.Go(func() { waiting <- reasonOf(do(g, newCall(t, "GET", "waits", exchange.HeaderWait, "1000"))) })
	for g.Report().Queued < 1 {
		time.Sleep(time.Millisecond)
	}
	g.RemoveBackend("other")
	is.Equal(g.Report().Queued, 1) // removing another back end has no effect
	g.RemoveBackend("b1")
	is.Equal(<-waiting, exchange.ReasonNoBackend)
	is.Equal(reasonOf(do(g, newCall(t, "GET", "new", "Want", "b1"))), exchange.ReasonRemoved)
	close(release)
	group.Wait()
	is.Equal(calls.Load(), int64(1))
}

// Addresses are reused: a call for another back end must not reach this one.
func TestOnlyTheExpectedInstanceIsReached(t *testing.T) {
	is := is.New(t)
	address, calls := scriptedBackend(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		writeResponse(conn, r.Header.Get("Call-Id"), "Content-Length: 0\r\n\r\n")
		return true
	})
	g := newGateFor(address, 2)
	is.Equal(reasonOf(do(g, newCall(t, "GET", "a", "Want", "b0"))), exchange.ReasonNoBackend)
	is.Equal(do(g, newCall(t, "GET", "a", "Want", "b1")).StatusCode, http.StatusOK)
	g.SetBackend(Backend{ID: "b2", Address: address, Capacity: 2})
	is.Equal(reasonOf(do(g, newCall(t, "GET", "a", "Want", "b1"))), exchange.ReasonRemoved)
	is.Equal(calls.Load(), int64(1))
}

// Invalid output of a faulty back end must never reach a caller as a response.
func TestInvalidResponsesHaveUnknownOutcome(t *testing.T) {
	for name, serve := range map[string]func(net.Conn, *http.Request, int64) bool{
		"another call's": func(conn net.Conn, _ *http.Request, _ int64) bool {
			writeResponse(conn, "other", "Content-Length: 2\r\n\r\nok")
			return true
		},
		"cut off": func(conn net.Conn, r *http.Request, _ int64) bool {
			writeResponse(conn, r.Header.Get("Call-Id"), "Content-Length: 20\r\n\r\nhalf")
			return false
		},
		"not an answer": func(conn net.Conn, _ *http.Request, _ int64) bool {
			_, _ = io.WriteString(conn, "garbage\r\n\r\n")
			return false
		},
		"none": func(net.Conn, *http.Request, int64) bool { return false },
		"without length, reset": func(conn net.Conn, r *http.Request, _ int64) bool {
			writeResponse(conn, r.Header.Get("Call-Id"), "\r\nsome")
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, calls := scriptedBackend(t, serve)
			g := newGateFor(address, 2)
			response := do(g, newCall(t, "POST", "a"))
			is.Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.Unknown))
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(reasonOf(response), exchange.ReasonBroken)
			is.Equal(calls.Load(), int64(1)) // never sent again
			is.Equal(g.Report().Running, 0)  // the slot is free again
		})
	}
}

// A second response to one call must not be taken for the response to the next one.
func TestSurplusResponseIsNotGivenToTheNextCall(t *testing.T) {
	is := is.New(t)
	address, _ := scriptedBackend(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		writeResponse(conn, r.Header.Get("Call-Id"), "Content-Length: 2\r\n\r\nok")
		time.Sleep(5 * time.Millisecond)
		writeResponse(conn, r.Header.Get("Call-Id"), "Content-Length: 2\r\n\r\nok")
		return true
	})
	g := newGateFor(address, 2)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		response := do(g, newCall(t, "GET", id))
		if response.Header.Get(exchange.HeaderOutcome) == "" {
			is.Equal(response.Header.Get("Call-Id"), id)
		}
	}
}

func TestResponseWithoutLengthIsCompleteAtEOF(t *testing.T) {
	is := is.New(t)
	address, _ := scriptedBackend(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		writeResponse(conn, r.Header.Get("Call-Id"), "\r\nall of it")
		return false
	})
	response := do(newGateFor(address, 1), newCall(t, "GET", "a"))
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(data), "all of it")
}

// A call that the back end declines must be reported as not run, although it reached the back end.
func TestDeclinedCallIsNotRunButReachedTheBackend(t *testing.T) {
	is := is.New(t)
	address, _ := scriptedBackend(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	response := do(newGateFor(address, 1), newCall(t, "GET", "a"))
	is.Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.True(reasonOf(response).Reached())
}

func TestCallToUnreachableBackendIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	response := do(newGateFor(address, 1), newCall(t, "POST", "a"))
	is.Equal(response.Header.Get(exchange.HeaderOutcome), string(exchange.NotRun))
	is.Equal(reasonOf(response), exchange.ReasonUnreachable)
	is.True(!reasonOf(response).Reached())
}

// The forwarded deadline must not include the time that the call has waited in the queue.
func TestDeadlineShrinksWhileWaiting(t *testing.T) {
	is := is.New(t)
	left := make(chan time.Duration, 2)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value, _ := exchange.ReadMillis(r.Header, "Left-Ms")
		left <- value
		time.Sleep(60 * time.Millisecond)
		w.Header().Set("Call-Id", r.Header.Get("Call-Id"))
	}))
	defer server.Close()
	g := newGateFor(server.Listener.Addr().String(), 1)
	go do(g, newCall(t, "GET", "a"))
	is.True(<-left > 1900*time.Millisecond)
	go do(g, newCall(t, "GET", "b", exchange.HeaderWait, "1000"))
	is.True(<-left <= 1950*time.Millisecond)
}

// A canceled call must be canceled at the back end too, also when it came from another node.
func TestCanceledCallIsCanceledAtTheBackend(t *testing.T) {
	is := is.New(t)
	started, canceled := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(canceled)
	}))
	defer server.Close()
	front := httptest.NewServer(newGateFor(server.Listener.Addr().String(), 1))
	defer front.Close()
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "GET", front.URL, nil)
	is.NoErr(err)
	request.Header.Set("Call-Id", "a")
	go func() { _, _ = http.DefaultClient.Do(request) }()
	<-started
	cancel()
	select {
	case <-canceled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the back end still handles the call half a second after its caller canceled it")
	}
}

// A rejected call with a large body must cost only its header.
func TestBodyIsSentOnlyOnceAdmitted(t *testing.T) {
	is := is.New(t)
	g := newGateFor("127.0.0.1:1", 1)
	g.Stop()
	front := httptest.NewServer(g)
	defer front.Close()
	var read atomic.Bool
	request, err := http.NewRequest("POST", front.URL, readerFunc(func([]byte) (int, error) {
		read.Store(true)
		return 0, io.EOF
	}))
	is.NoErr(err)
	request.ContentLength = 100_000
	request.Header.Set("Expect", "100-continue")
	response, err := (&http.Transport{ExpectContinueTimeout: time.Minute}).RoundTrip(request)
	is.NoErr(err)
	is.Equal(reasonOf(response), exchange.ReasonStopping)
	is.True(!read.Load())
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(buffer []byte) (int, error) { return f(buffer) }

// Guards against a call of another node that fails because the response before it on the connection was invalid.
func TestCallAfterRetiredConnectionIsServed(t *testing.T) {
	is := is.New(t)
	address, _ := scriptedBackend(t, func(conn net.Conn, r *http.Request, _ int64) bool {
		writeResponse(conn, r.Header.Get("Call-Id"), "Content-Length: 2\r\n\r\nok")
		return true
	})
	g := newGateFor(address, 2)
	request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	is.NoErr(err)
	var delivery roundtrip.Delivery
	response, err := g.transport.Send(t.Context(), request, &delivery)
	is.NoErr(err)
	_, err = roundtrip.ReadAll(response, 1<<10)
	is.NoErr(err)
	is.True(delivery.RetireConn()) // left open, as net/http keeps it for a moment
	is.Equal(g.serve(newCall(t, "POST", "a")).StatusCode, http.StatusOK)
}
