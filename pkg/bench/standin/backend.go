// Package standin holds what the system meets but does not own: back ends, the
// platform's list of machines and the configuration source.
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

// Headers that callers and back ends of the bench use among themselves.
const (
	// HeaderCallID names a call in the histories.
	HeaderCallID = "Call-Id"
	// HeaderWantBytes is how long the answer must be.
	HeaderWantBytes = "Want-Bytes"
	// HeaderWorkMillis asks for a call that takes that long.
	HeaderWorkMillis = "Work-Millis"
)

// BackendConfig describes a back end.
type BackendConfig struct {
	// Listen is where it listens; empty for a free port of 127.0.0.1.
	Listen  string
	Name    string
	Service string
	Zone    string
	// Slots is how many calls it works on at a time; more are declined.
	Slots int
	// Connections is how many connections it keeps.
	Connections int
	// ConnectCost is added to each new connection.
	ConnectCost time.Duration
	// Work is how long a call takes.
	Work time.Duration
	// ColdFor is how long after its start calls take three times as long.
	ColdFor time.Duration
	// LoadLag is how old the reported load is.
	LoadLag time.Duration
	// Lies makes the reported load nonsense.
	Lies bool
}

// Backend is one running back end.
type Backend struct {
	Config   BackendConfig
	history  *history.History
	server   *http.Server
	listener net.Listener
	started  time.Time

	busy        atomic.Int64
	connections atomic.Int64
	draining    atomic.Bool
	reported    atomic.Int64

	// Fault, if set, may end a call by force: it is asked before the call begins,
	// before and in the middle of the answer.
	mu    sync.Mutex
	fault func(callID string, stage Stage) bool

	stop context.CancelFunc
}

// Stage is a point in a call's life at which a back end may die.
type Stage int

const (
	// BeforeWork is after the call arrived and before it counts as begun.
	BeforeWork Stage = iota
	// BeforeAnswer is after the work and before the first byte of the answer.
	BeforeAnswer
	// InAnswer is after half of the answer.
	InAnswer
)

// StartBackend starts a back end.
func StartBackend(config BackendConfig, record *history.History) (*Backend, error) {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("start back end %s: %w", config.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Backend{Config: config, history: record, listener: listener, started: time.Now(), stop: cancel}
	b.server = &http.Server{Handler: b, ConnState: b.countConnection}
	go func() { _ = b.server.Serve(&costlyListener{Listener: listener, cost: config.ConnectCost}) }()
	go b.reportLoad(ctx)
	return b, nil
}

// Address returns where the back end listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// SetFault makes calls end by force where fault says so.
func (b *Backend) SetFault(fault func(callID string, stage Stage) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = fault
}

// Drain makes the back end finish what it has and say that it leaves.
func (b *Backend) Drain() {
	b.history.AddDeparture(history.Departure{Backend: b.Config.Name, At: time.Now()})
	b.draining.Store(true)
}

// DrainSilently records the departure without saying so to callers: only the
// platform's list tells.
func (b *Backend) DrainSilently() {
	b.history.AddDeparture(history.Departure{Backend: b.Config.Name, At: time.Now()})
}

// Stop ends the back end at once, as a crash would.
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

// Connections returns how many connections are open.
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
			b.reported.Store(b.busy.Load())
		}
	}
}

// ServeHTTP works on one call.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderCallID)
	if b.draining.Load() {
		w.Header().Set("Backend-Draining", "1")
	}
	if b.busy.Add(1) > int64(b.Config.Slots) || b.draining.Load() {
		b.busy.Add(-1)
		decline(w)
		return
	}
	defer b.busy.Add(-1)
	b.dieIf(id, BeforeWork)
	b.history.AddExecution(history.Execution{CallID: id, Backend: b.Config.Name, Begun: time.Now()})
	if !b.work(r) {
		return
	}
	b.dieIf(id, BeforeAnswer)
	b.answer(w, r, id)
}

func decline(w http.ResponseWriter) {
	w.Header().Set("Request-Outcome", "not-run")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// dieIf breaks the connection as a dying process would.
func (b *Backend) dieIf(id string, stage Stage) {
	b.mu.Lock()
	fault := b.fault
	b.mu.Unlock()
	if fault != nil && fault(id, stage) {
		panic(http.ErrAbortHandler)
	}
}

// work takes the call's time; it ends early when the caller leaves.
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

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, id string) {
	length, err := strconv.Atoi(r.Header.Get(HeaderWantBytes))
	if err != nil {
		length = len(id) + 1
	}
	body := AnswerBody(id, length)
	if id == "" {
		// Somebody tries things out by hand.
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
	faulty := b.fault != nil
	b.mu.Unlock()
	if faulty {
		_ = http.NewResponseController(w).Flush()
		b.dieIf(id, InAnswer)
	}
	_, _ = w.Write(body[half:])
}

func (b *Backend) loadReport() string {
	load := float64(b.reported.Load()) / float64(max(b.Config.Slots, 1))
	if b.Config.Lies {
		load = 1 - min(load, 1)
	}
	return strconv.FormatFloat(min(load, 1), 'f', 2, 64)
}

// AnswerBody is the only right answer to a call: its ID over and over, cut to length.
func AnswerBody(id string, length int) []byte {
	text := id + ";"
	return []byte(strings.Repeat(text, length/len(text)+1)[:length])
}

// costlyListener makes each new connection cost time, as accepting does on real
// back ends.
type costlyListener struct {
	net.Listener
	cost time.Duration
}

// Accept implements net.Listener.
func (l *costlyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.cost > 0 {
		time.Sleep(l.cost)
	}
	return conn, err
}
