// Package standin simulates the external parts of a deployment: back ends, the platform's
// machine list and the configuration source.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/bench/history"
)

// Request headers with which callers of the test tools control a simulated back end.
const (
	// HeaderCallID identifies a call in histories.
	HeaderCallID = "Call-Id"
	// HeaderWantBytes is the requested length of the response body in bytes.
	HeaderWantBytes = "Want-Bytes"
	// HeaderWorkMillis overrides the processing time of the call, in milliseconds.
	HeaderWorkMillis = "Work-Millis"
)

// BackendConfig configures a simulated back end.
type BackendConfig struct {
	// Listen is the address to listen on. If empty, a free port of 127.0.0.1 is used.
	Listen  string
	Name    string
	Service string
	Zone    string
	// Slots is the maximum number of calls processed concurrently; further calls are
	// declined.
	Slots int
	// Connections is the number of connections that the back end supports. It is not
	// enforced.
	Connections int
	// ConnectCost is the delay of accepting a connection.
	ConnectCost time.Duration
	// Work is the processing time of a call.
	Work time.Duration
	// ColdFor is the time after the start during which calls take three times as long.
	ColdFor time.Duration
	// LoadLag is the update period of the reported load; zero disables updates.
	LoadLag time.Duration
	// InvertLoad makes the back end report an inverted load.
	InvertLoad bool
}

// Backend is a running simulated back end.
type Backend struct {
	Config   BackendConfig
	history  *history.History
	server   *http.Server
	listener net.Listener
	started  time.Time

	inFlight    atomic.Int64
	connections atomic.Int64
	draining    atomic.Bool
	// reportedInFlight is the value of inFlight at the last load update.
	reportedInFlight atomic.Int64

	mu sync.Mutex
	// fault, if set, is called at each stage of a call and reports whether to abort its
	// connection.
	fault func(callID string, stage Stage) bool

	stop context.CancelFunc
}

// Stage is a point of call processing at which a crash can be injected.
type Stage int

const (
	// BeforeWork is after the call is received and before processing starts.
	BeforeWork Stage = iota
	// BeforeResponse is after processing and before the first byte of the response.
	BeforeResponse
	// DuringResponse is after half of the response body.
	DuringResponse
)

// StartBackend starts a back end that records its executions in the given history, which
// may be nil.
func StartBackend(config BackendConfig, callHistory *history.History) (*Backend, error) {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("start back end %s: %w", config.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Backend{Config: config, history: callHistory, listener: listener, started: time.Now(), stop: cancel}
	b.server = &http.Server{Handler: b, ConnState: b.countConnection}
	go func() { _ = b.server.Serve(&slowListener{Listener: listener, delay: config.ConnectCost}) }()
	go b.reportLoad(ctx)
	return b, nil
}

// Address returns the host:port that the back end listens on.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// SetFault sets the function that selects the calls and stages at which the connection is
// aborted. It must be safe for concurrent use.
func (b *Backend) SetFault(fault func(callID string, stage Stage) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = fault
}

// Drain makes the back end decline new calls and announce its departure in its responses.
// Calls in flight are completed.
func (b *Backend) Drain() {
	b.history.AddDeparture(history.Departure{Backend: b.Config.Name, At: time.Now()})
	b.draining.Store(true)
}

// DrainSilently records the departure in the history but does not announce it to callers.
// Only the platform's machine list shows it.
func (b *Backend) DrainSilently() {
	b.history.AddDeparture(history.Departure{Backend: b.Config.Name, At: time.Now()})
}

// Stop closes the listener and all connections immediately, like a crash.
func (b *Backend) Stop() {
	b.stop()
	_ = b.server.Close()
}

func (b *Backend) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		b.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		b.connections.Add(-1)
	}
}

// Connections returns the number of open connections.
func (b *Backend) Connections() int64 { return b.connections.Load() }

func (b *Backend) reportLoad(ctx context.Context) {
	if b.Config.LoadLag == 0 {
		return
	}
	ticker := time.NewTicker(b.Config.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.reportedInFlight.Store(b.inFlight.Load())
		}
	}
}

// ServeHTTP processes one call, or declines it if no slot is free or the back end drains.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderCallID)
	if b.draining.Load() {
		w.Header().Set("Backend-Draining", "1")
	}
	if b.inFlight.Add(1) > int64(b.Config.Slots) || b.draining.Load() {
		b.inFlight.Add(-1)
		decline(w)
		return
	}
	defer b.inFlight.Add(-1)
	b.crashIf(id, BeforeWork)
	b.history.AddExecution(history.Execution{CallID: id, Backend: b.Config.Name, Begun: time.Now()})
	if !b.work(r) {
		return
	}
	b.crashIf(id, BeforeResponse)
	b.respond(w, r, id)
}

func decline(w http.ResponseWriter) {
	w.Header().Set("Request-Outcome", "not-run")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// crashIf aborts the connection, like a crash, if the fault function selects this stage.
func (b *Backend) crashIf(id string, stage Stage) {
	b.mu.Lock()
	fault := b.fault
	b.mu.Unlock()
	if fault != nil && fault(id, stage) {
		panic(http.ErrAbortHandler)
	}
}

// work waits for the processing time of the call. It returns false if the caller
// disconnects first.
func (b *Backend) work(r *http.Request) bool {
	duration := b.Config.Work
	if millis, err := strconv.Atoi(r.Header.Get(HeaderWorkMillis)); err == nil {
		duration = time.Duration(millis) * time.Millisecond
	}
	if time.Since(b.started) < b.Config.ColdFor {
		duration *= 3
	}
	if duration == 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *Backend) respond(w http.ResponseWriter, r *http.Request, id string) {
	length, err := strconv.Atoi(r.Header.Get(HeaderWantBytes))
	if err != nil {
		length = len(id) + 1
	}
	body := ResponseBody(id, length)
	if id == "" {
		// A call without an ID comes from a person, for example with curl.
		body = fmt.Appendf(nil, "%s answers %s %s\n", b.Config.Name, r.Method, r.URL.Path)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Backend-Name", b.Config.Name)
	w.Header().Set("Backend-Load", b.loadReport())
	half := len(body) / 2
	if _, err := w.Write(body[:half]); err != nil {
		return
	}
	b.mu.Lock()
	hasFault := b.fault != nil
	b.mu.Unlock()
	if hasFault {
		_ = http.NewResponseController(w).Flush()
		b.crashIf(id, DuringResponse)
	}
	_, _ = w.Write(body[half:])
}

func (b *Backend) loadReport() string {
	load := float64(b.reportedInFlight.Load()) / float64(max(b.Config.Slots, 1))
	if b.Config.InvertLoad {
		load = 1 - min(load, 1)
	}
	return strconv.FormatFloat(min(load, 1), 'f', 2, 64)
}

// ResponseBody returns the expected response body of a call: its ID, repeated and truncated
// to length bytes.
func ResponseBody(id string, length int) []byte {
	text := id + ";"
	return []byte(strings.Repeat(text, length/len(text)+1)[:length])
}

// slowListener delays each accepted connection, to simulate the cost of new connections on
// real back ends.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept waits for a connection and then for the delay.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.delay > 0 {
		time.Sleep(l.delay)
	}
	return conn, err
}
