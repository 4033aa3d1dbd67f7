package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bramblelift/pkg/bench/standin"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/gate"
	"bramblelift/pkg/link"
	"bramblelift/pkg/pipeline"
	"bramblelift/pkg/roundtrip"
	"bramblelift/pkg/routing"

	"github.com/matryer/is"
)

var rawHeaders = standin.RawHeaders{RequestID: "Call-Id", NotRun: "Not-Run"}

// scriptedBackend writes raw responses and counts the requests that it received.
type scriptedBackend struct {
	address string
	open    atomic.Int64
	mu      sync.Mutex
	next    standin.RawResponse
	// pieces is the time over which a response is written byte by byte, zero to write it at once.
	pieces time.Duration
	runs   map[string]int
}

func newScriptedBackend(t *testing.T, response standin.RawResponse) *scriptedBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	b := &scriptedBackend{address: listener.Addr().String(), next: response, runs: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *scriptedBackend) serve(conn net.Conn) {
	b.open.Add(1)
	defer b.open.Add(-1)
	standin.ServeRawConn(conn, func(conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("Call-Id")
		response, pieces := b.receive(id)
		if pieces > 0 {
			writeInPieces(conn, rawHeaders.Expand(response.First, id), pieces)
			return true
		}
		return response.Write(conn, rawHeaders, id)
	})
}

// writeInPieces writes byte by byte over the given time. A failed write shows at the next read.
func writeInPieces(conn net.Conn, text string, total time.Duration) {
	for i := range len(text) {
		_, _ = io.WriteString(conn, text[i:i+1])
		time.Sleep(total / time.Duration(len(text)))
	}
}

func (b *scriptedBackend) receive(id string) (response standin.RawResponse, pieces time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	return b.next, b.pieces
}

func (b *scriptedBackend) respondInPieces(total time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next.First = "HTTP/1.1 103 x\r\n\r\n" + b.next.First
	b.pieces = total
}

func (b *scriptedBackend) respondWith(r standin.RawResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next = r
}

func (b *scriptedBackend) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// responseStack is a node and a gate on real sockets, in front of a scriptedBackend.
type responseStack struct {
	backend *scriptedBackend
	gate    *gate.Gate
	node    *Handler
	address string
	// gateAddress is where the gate serves other nodes.
	gateAddress string
	mu          sync.Mutex
	// faults are the distinct faults that gate and node reported by request ID.
	faults map[string][]roundtrip.Fault
}

// gateKind is the gate in front of a back end.
type gateKind string

const (
	ownGate   gateKind = "own gate"
	otherGate gateKind = "gate of another node"
	noGate    gateKind = "no gate"
)

// newResponseStack returns a stack with a gate of the given kind, whose routes have a timeout.
func newResponseStack(t *testing.T, kind gateKind, timeout time.Duration, response standin.RawResponse) *responseStack {
	t.Helper()
	return newLinkedResponseStack(t, kind, timeout, 0, response)
}

// newLinkedResponseStack is newResponseStack for a node whose link has a capacity, zero for no limit.
func newLinkedResponseStack(t *testing.T, kind gateKind, timeout time.Duration, bytesPerSecond float64, response standin.RawResponse) *responseStack {
	t.Helper()
	s := &responseStack{backend: newScriptedBackend(t, response), faults: map[string][]roundtrip.Fault{}}
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	buffer := exchange.NewResponseBuffer(4 << 20)
	s.gate = gate.New(gate.Config{Headers: gatedHeaders, Now: now, ResponseBuffer: buffer, OnInvalidResponse: s.recordFault})
	s.gate.SetBackend(gate.Backend{ID: "e0", Address: s.backend.address, Capacity: 8})
	s.gateAddress = serveWithPipeline(t, s.gate)
	cfg := Config{Node: "n", Zone: "z", Now: now, Headers: gatedHeaders, Service: "shop", ResponseBuffer: buffer, OnInvalidResponse: s.recordFault}
	if kind == ownGate {
		cfg.GateAddress, cfg.Gate = s.gateAddress, s.gate.Do
	}
	if bytesPerSecond > 0 {
		cfg.Link = link.NewMeter(8 * bytesPerSecond)
		cfg.ResponsePacer = exchange.NewResponsePacer(8*bytesPerSecond, cfg.Link.UnpacedRate, now)
	}
	state := gatedState([]string{s.gateAddress}, []string{"z"})
	if kind == noGate {
		endpoint := state.Endpoints["s"]["e0"]
		endpoint.Gate, endpoint.Address = "", s.backend.address
		state.Endpoints["s"]["e0"] = endpoint
	}
	for i := range state.Active.Content.Routes {
		state.Active.Content.Routes[i].Timeout = bundle.Duration(timeout)
	}
	s.node = New(cfg)
	s.node.SetTable(routing.New(state))
	s.address = serveWithPipeline(t, s.node)
	return s
}

func serveWithPipeline(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := pipeline.New(pipeline.Config{Handler: handler, MaxConcurrent: 4, HeaderTimeout: time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func (s *responseStack) recordFault(v roundtrip.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.faults[v.RequestID], v.Fault) {
		s.faults[v.RequestID] = append(s.faults[v.RequestID], v.Fault)
	}
}

func (s *responseStack) faultsOf(id string) []roundtrip.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[id]
}

// result is what a caller received.
type result struct {
	status   int
	header   http.Header
	trailer  http.Header
	body     string
	complete bool
	took     time.Duration
}

const (
	invalidTimeout = 400 * time.Millisecond
	soundTimeout   = 5 * time.Second
	resultTimeout  = 8 * time.Second
	// maxKeptBody bounds the part of a body that result keeps.
	maxKeptBody = 4 << 20
)

// call sends a request on a connection of its own.
func (s *responseStack) call(t *testing.T, method, path, id string) result {
	t.Helper()
	return s.callWith(t, method, path, "HTTP/1.1", id)
}

// callWith is call with a version of HTTP.
func (s *responseStack) callWith(t *testing.T, method, path, version, id string) result {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	is.New(t).NoErr(err)
	defer conn.Close()
	began := time.Now()
	is.New(t).NoErr(conn.SetDeadline(began.Add(resultTimeout)))
	_, err = fmt.Fprintf(conn, "%s %s %s\r\nHost: shop.example\r\nCall-Id: %s\r\nContent-Length: 4\r\n\r\nbody", method, path, version, id)
	is.New(t).NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return result{took: time.Since(began)}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKeptBody))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return result{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: string(body), complete: err == nil, took: time.Since(began)}
}

// awaitIdle waits until gate and node have no call and the back end no connection.
func (s *responseStack) awaitIdle() error {
	deadline := time.Now().Add(500 * time.Millisecond)
	for s.gate.Report().Running > 0 || s.backend.open.Load() > 0 || s.inFlight() > 0 {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d slots and %d connections are taken, %d calls in flight at the node", s.gate.Report().Running, s.backend.open.Load(), s.inFlight())
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// inFlight returns how many calls the node counts at the back end.
func (s *responseStack) inFlight() int { return s.node.Pools()["s"][0].InFlight }

const (
	okHead      = standin.RawOK
	chunkedHead = standin.RawChunked
	soundBody   = standin.RawBody
)

var soundResponse = standin.RawResponse{First: okHead + soundBody}

func withStatus(status string) standin.RawResponse { return standin.RawStatus(status) }

// forEachGate runs a test with each kind of gate.
func forEachGate(t *testing.T, test func(t *testing.T, kind gateKind)) {
	for _, kind := range []gateKind{ownGate, otherGate, noGate} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			test(t, kind)
		})
	}
}
