package review

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Header names of the users' pages.
const (
	headerID       = "Bramblelift-Attempt-Id"
	headerDeadline = "Bramblelift-Deadline-Ms"
	headerExpect   = "Bramblelift-Expect-Instance"
	headerSeal     = "Bramblelift-Server-Seal"
	headerNotRun   = "Bramblelift-Not-Executed"
	headerInstance = "Bramblelift-Instance-Id"
	headerLoad     = "Bramblelift-Server-Load"
	headerLeaving  = "Server-Leaving"
)

// Backend is a stand-in for an application backend beside a node.
type Backend struct {
	ID string
	// Slots is how many requests it works on at once, Queue how many more it queues.
	Slots, Queue int
	// KeepsClosed is set for a back end that works on after the connection of a request has closed.
	KeepsClosed bool
	// RepeatsHealth is set for a faulty back end that sends one rejection of a health check twice, RepeatsRejection for one
	// that does so with a rejection of a request: the second copy arrives late, in the place of the next answer on the
	// connection.
	RepeatsHealth, RepeatsRejection bool
	// RejectsWithoutID is set for a back end whose rejections carry no id.
	RejectsWithoutID bool
	// Born is the start that it states, in Unix milliseconds.
	Born int64
	// Work returns how long a request takes.
	Work func(r *http.Request) time.Duration

	machine  *Machine
	record   *Record
	listener net.Listener
	slots    chan struct{}

	mu        sync.Mutex
	queued    int
	callCount int
	draining  bool
	gone      bool
	conns     map[net.Conn]bool
	second    int
	marked    bool
	// beats and acknowledged count its heartbeats.
	beats, acknowledged int
	cancel              context.CancelFunc
}

// DefaultWork is the time that a request takes: its path may name the milliseconds, as in /read/work-800.
func DefaultWork(r *http.Request) time.Duration {
	if _, text, found := strings.Cut(r.URL.Path, "/work-"); found {
		if millis, err := strconv.Atoi(strings.SplitN(text, "-", 2)[0]); err == nil {
			return time.Duration(millis) * time.Millisecond
		}
	}
	return 40 * time.Millisecond
}

// Start opens the back end's listener beside a node and starts its heartbeats.
func (b *Backend) Start(m *Machine) error {
	listener, err := net.Listen("tcp", m.App())
	if err != nil {
		return err
	}
	b.machine, b.record, b.listener = m, m.deployment.Record, listener
	b.slots = make(chan struct{}, b.Slots)
	b.conns = map[net.Conn]bool{}
	if b.Work == nil {
		b.Work = DefaultWork
	}
	if b.Born == 0 {
		b.Born = time.Now().UnixMilli()
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.record.Note("backend   %s starts beside %s at %s, born %d", b.ID, m.Name, m.App(), b.Born)
	go b.accept()
	go b.beat(ctx)
	return nil
}

// Stop ends the back end, as a crash or its planned end does.
func (b *Backend) Stop() {
	b.cancel()
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gone {
		return
	}
	b.gone = true
	for c := range b.conns {
		c.Close()
	}
	b.record.Note("backend   %s ended", b.ID)
}

// Held returns how many requests it works on and how many it has queued.
func (b *Backend) Held() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.slots), b.queued
}

// SentTwice returns how many second answers it has sent.
func (b *Backend) SentTwice() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.second
}

func (b *Backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.gone {
			conn.Close()
		} else {
			b.conns[conn] = true
		}
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// serve answers the requests of one connection, one at a time.
func (b *Backend) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var surplus []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if surplus != nil {
			b.sendSurplus(conn, request, surplus)
			surplus = nil
		}
		answer, rejected := b.handle(conn, reader, request, body)
		if answer == nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if rejected && b.repeats(request) {
			surplus = answer
		}
		if bytes.Contains(answer, []byte("Connection: close")) {
			return
		}
	}
}

// healthPath is the path of the health check in the configuration.
const healthPath = "/healthz"

// repeats reports whether the rejection of a request is sent a second time, which happens once.
func (b *Backend) repeats(r *http.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	flag := &b.RepeatsRejection
	if r.URL.Path == healthPath {
		flag = &b.RepeatsHealth
	}
	repeated := *flag
	*flag = false
	b.marked = b.marked || repeated
	return repeated
}

// Marked reports whether a rejection is to be sent a second time, or was.
func (b *Backend) Marked() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.marked
}

func (b *Backend) sendSurplus(conn net.Conn, request *http.Request, surplus []byte) {
	b.mu.Lock()
	b.second++
	b.mu.Unlock()
	b.record.Note("backend   %s sends its earlier rejection a second time, in the place of the answer to %s", b.ID, request.Header.Get(headerID))
	_, _ = conn.Write(surplus)
	// The answer to the request itself follows when the work is done.
}

// handle returns the answer to a request, nil for none; rejected is set if it turned the request away because it is full.
func (b *Backend) handle(conn net.Conn, reader *bufio.Reader, r *http.Request, body []byte) (answer []byte, rejected bool) {
	id := r.Header.Get(headerID)
	health := r.URL.Path == healthPath
	if expected := r.Header.Get(headerExpect); expected != "" && expected != b.ID {
		return b.answer(http.StatusMisdirectedRequest, id, nil, headerInstance, b.ID), false
	}
	if id == "" && !health {
		return b.answer(http.StatusBadRequest, "", nil, headerNotRun, "1"), false
	}
	deadline := time.NewTimer(workLimit(r))
	defer deadline.Stop()
	closed, stopWatch := watchClose(conn, reader)
	defer stopWatch()
	if b.KeepsClosed {
		closed = nil
	}
	switch b.takeSlot(closed, deadline.C) {
	case slotClosed:
		return nil, false
	case slotFull:
		b.record.Note("backend   %s is full and turns away %s %s", b.ID, r.URL.Path, id)
		if b.RejectsWithoutID {
			id = ""
		}
		return b.answer(http.StatusServiceUnavailable, id, nil, headerNotRun, "1"), true
	}
	defer func() { <-b.slots }()
	if health {
		running, queued := b.Held()
		return b.answer(http.StatusOK, "", nil, headerInstance, b.ID, headerLoad, fmt.Sprintf("%d,%d,%d", running, queued, b.Slots)), false
	}
	b.record.addRun(Run{At: time.Now(), Backend: b.ID, ID: id, Unsafe: r.Method == http.MethodPost})
	select {
	case <-time.After(b.Work(r)):
	case <-deadline.C:
		return b.answer(http.StatusGatewayTimeout, id, nil), false
	case <-closed:
		return nil, false
	}
	text := "answer to " + id + " " + string(body)
	return b.answer(http.StatusOK, id, []byte(text), headerSeal, seal(id, text)), false
}

// workLimit returns how long the sender of a request waits for its answer.
func workLimit(r *http.Request) time.Duration {
	if millis, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		return time.Duration(millis) * time.Millisecond
	}
	return time.Minute
}

// slotResult is the outcome of the wait for a slot.
type slotResult int

const (
	slotTaken slotResult = iota
	slotFull
	slotClosed
)

// takeSlot waits for a free slot in the queue. It returns slotFull if the queue is full or the deadline passes.
func (b *Backend) takeSlot(closed <-chan struct{}, deadline <-chan time.Time) slotResult {
	select {
	case b.slots <- struct{}{}:
		return slotTaken
	default:
	}
	b.mu.Lock()
	if b.queued >= b.Queue {
		b.mu.Unlock()
		return slotFull
	}
	b.queued++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.queued--
		b.mu.Unlock()
	}()
	select {
	case b.slots <- struct{}{}:
		return slotTaken
	case <-deadline:
		return slotFull
	case <-closed:
		return slotClosed
	}
}

// watchClose returns a channel that is closed when the other end closes the connection, and a function that ends the watch.
// No further request comes before the answer.
func watchClose(conn net.Conn, reader *bufio.Reader) (closed <-chan struct{}, stop func()) {
	ended, left := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		var timeout net.Error
		if _, err := reader.Peek(1); err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			close(left)
		}
	}()
	return left, func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// answer returns the bytes of an answer, which echoes the id of the request if it had one.
func (b *Backend) answer(status int, id string, body []byte, headers ...string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&out, "%s: %s\r\n", headerID, id)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&out, "%s: %s\r\n", headers[i], headers[i+1])
	}
	b.mu.Lock()
	if b.draining {
		fmt.Fprintf(&out, "%s: 1\r\nConnection: close\r\n", headerLeaving)
	}
	b.mu.Unlock()
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	return out.Bytes()
}

// seal stands for the signature of a back end.
func seal(id, text string) string {
	sum := fnv.New64()
	_, _ = io.WriteString(sum, id+"\x00"+text)
	return strconv.FormatUint(sum.Sum64(), 16)
}

// beat sends heartbeats to the node beside the back end until the context ends.
func (b *Backend) beat(ctx context.Context) {
	for {
		b.Heartbeat()
		select {
		case <-ctx.Done():
			return
		case <-time.After(HeartbeatPeriod):
		}
	}
}

// Heartbeat sends one heartbeat and reports whether it was acknowledged.
func (b *Backend) Heartbeat() bool {
	b.mu.Lock()
	gone := b.gone
	b.mu.Unlock()
	if gone {
		return false
	}
	acknowledged := b.call(http.MethodPut, b.heartbeat())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.beats++
	if acknowledged {
		b.acknowledged++
	}
	return acknowledged
}

// Beats returns how many heartbeats it has sent, and how many of them were acknowledged.
func (b *Backend) Beats() (sent, acknowledged int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.beats, b.acknowledged
}

// Drain reports that the back end drains, and says so in its answers from then on. It returns whether that was acknowledged.
func (b *Backend) Drain() bool {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	acknowledged := b.Heartbeat()
	b.record.Note("backend   %s reports draining, acknowledged: %t", b.ID, acknowledged)
	return acknowledged
}

// Leave deregisters the back end, which sends no more heartbeats and says in its answers that it leaves. It returns whether
// that was acknowledged.
func (b *Backend) Leave() bool {
	b.cancel()
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	acknowledged := b.call(http.MethodDelete, nil)
	b.record.Note("backend   %s deregisters at %s, acknowledged: %t", b.ID, b.machine.Name, acknowledged)
	return acknowledged
}

var registrationClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (b *Backend) call(method string, body []byte) bool {
	request, err := http.NewRequest(method, "http://"+b.machine.ControlPlane()+"/api/instances/"+b.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := registrationClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && len(text) <= 4<<10 && response.StatusCode/100 == 2
}

// DelayedHeartbeat returns a function that delivers a heartbeat of the present, which arrives when it is called, and
// reports whether it was acknowledged.
func (b *Backend) DelayedHeartbeat() func() bool {
	body := b.heartbeat()
	b.record.Note("backend   %s sends a heartbeat that is delayed", b.ID)
	return func() bool { return b.call(http.MethodPut, body) }
}

// heartbeat returns the body of the next heartbeat.
func (b *Backend) heartbeat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callCount++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": b.machine.Service, "address": b.machine.App(), "zone": b.machine.Zone, "version": "v1", "capacity": b.Slots,
		"state": state, "cold_remaining_ms": 0, "call_count": b.callCount, "born": b.Born,
	})
	return body
}

// StrayHeartbeat sends a heartbeat of another writer, without some of its fields, to a node. It names no back end to use.
func StrayHeartbeat(node *Machine) bool {
	body, _ := json.Marshal(map[string]any{"service": node.Service, "address": node.App(), "capacity": 6, "state": "ready"})
	stray := &Backend{ID: "i-stray-" + node.Name, machine: node}
	return stray.call(http.MethodPut, body)
}
