package standins

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is a request as a back end received it.
type Call struct {
	ID, Method, Host, Path, Caller string
	Header                         http.Header
	Body                           []byte
	Backend                        *Backend
	At                             time.Time
	// Earlier is how many requests came on the connection before.
	Earlier int
}

// Reply is how a back end ends a call.
type Reply struct {
	// Late is written before the work begins: a surplus answer, late, in the place of the answer to this call.
	Late []byte
	// After is how long the back end works on the call first.
	After time.Duration
	// Raw, if set, is written instead of an answer; the connection closes after an empty one.
	Raw []byte
	// Keep leaves the connection open and silent after Raw.
	Keep bool
	// Crash ends the back end's process: its listener and all its connections.
	Crash bool
}

// Backend is a stand-in for an application back end: it works on up to Capacity requests at once and declines others.
type Backend struct {
	ID, Service string
	Machine     *Machine
	Capacity    int
	// Decide returns how a call ends, after it has begun to run.
	Decide func(Call) Reply

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     time.Time
	beats    int
	running  int
	stop     chan struct{}
}

// Start makes the back end listen and send heartbeats, as a new incarnation under its id.
func (b *Backend) Start() error {
	listener, err := net.Listen("tcp", b.Machine.App())
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener, b.conns, b.born, b.beats, b.running, b.stop = listener, map[net.Conn]bool{}, time.Now(), 0, 0, make(chan struct{})
	stop := b.stop
	b.mu.Unlock()
	b.Machine.d.Record.Line("back end %s of %s starts beside %s", b.ID, b.Service, b.Machine.Name)
	go b.accept(listener)
	go b.sendHeartbeats(stop)
	return nil
}

// Crash ends the back end without a word.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stop:
		return
	default:
	}
	close(b.stop)
	b.listener.Close()
	for conn := range b.conns {
		conn.Close()
	}
	b.Machine.d.Record.Line("back end %s crashes", b.ID)
}

func (b *Backend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *Backend) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for earlier := 0; ; earlier++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !b.answer(conn, request, body, earlier) {
			return
		}
	}
}

// answer handles one request and reports whether the connection goes on.
func (b *Backend) answer(conn net.Conn, request *http.Request, body []byte, earlier int) bool {
	id := request.Header.Get(HeaderID)
	if request.URL.Path == HealthPath {
		return b.write(conn, http.StatusOK, http.Header{"Bramblelift-Instance-Id": {b.ID}}, nil)
	}
	call := Call{
		ID: id, Method: request.Method, Host: request.Host, Path: request.RequestURI, Caller: request.Header.Get(HeaderCaller),
		Header: request.Header, Body: body, Backend: b, At: time.Now(), Earlier: earlier,
	}
	if expected := request.Header.Get(HeaderExpect); expected != "" && expected != b.ID {
		return b.write(conn, http.StatusMisdirectedRequest, http.Header{HeaderID: {id}, HeaderNotRun: {"1"}}, nil)
	}
	b.mu.Lock()
	full := b.running >= b.Capacity
	if !full {
		b.running++
	}
	b.mu.Unlock()
	if full {
		b.Machine.d.Record.Line("declined %s at %s: full", id, b.ID)
		return b.write(conn, http.StatusServiceUnavailable, http.Header{HeaderID: {id}, HeaderNotRun: {"1"}}, nil)
	}
	b.Machine.d.Record.Line("runs %s %s %s at %s of %s", id, call.Method, call.Path, b.ID, b.Service)
	reply := b.Decide(call)
	_, _ = conn.Write(reply.Late)
	time.Sleep(reply.After)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	switch {
	case reply.Crash:
		b.Crash()
		return false
	case reply.Raw != nil:
		_, err := conn.Write(reply.Raw)
		if reply.Keep {
			_, _ = io.Copy(io.Discard, conn)
		}
		return err == nil && len(reply.Raw) > 0 && !reply.Keep
	}
	return b.write(conn, http.StatusOK, http.Header{HeaderID: {id}, HeaderSeal: {"seal." + id}}, []byte("answer to "+id))
}

// HealthPath is the health path of the services in Config.
const HealthPath = "/healthz"

func (b *Backend) write(conn net.Conn, status int, header http.Header, body []byte) bool {
	b.mu.Lock()
	header.Set(HeaderLoad, fmt.Sprintf("%d,0,%d", b.running, b.Capacity))
	b.mu.Unlock()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_ = header.Write(&out)
	out.WriteString("\r\n")
	out.Write(body)
	_, err := conn.Write(out.Bytes())
	return err == nil
}

func (b *Backend) sendHeartbeats(stop chan struct{}) {
	for {
		b.sendHeartbeat()
		select {
		case <-stop:
			return
		case <-time.After(HeartbeatTime):
		}
	}
}

func (b *Backend) sendHeartbeat() {
	b.mu.Lock()
	b.beats++
	document, _ := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Machine.App(), "zone": b.Machine.Zone, "version": "v1", "capacity": b.Capacity,
		"state": "ready", "cold_remaining_ms": 0, "call_count": b.beats, "born": b.born.UnixMilli(),
	})
	b.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, "http://"+b.Machine.Control()+"/api/instances/"+b.ID, bytes.NewReader(document))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Do(request); err == nil {
		response.Body.Close()
	}
}
