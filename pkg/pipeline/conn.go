package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the initial size of the read buffer, in bytes; longer heads get a larger one.
	readBufferSize = 4 << 10
	// maxQueued bounds the requests of one connection that were read but not started.
	maxQueued = 32
	// lingerTime is how long a connection is still read after its sending direction was closed: closing with
	// unread bytes would reset it, and the caller could lose the last response. It is extended while the caller
	// has not acknowledged all output, up to maxLingerTime.
	lingerTime    = 500 * time.Millisecond
	maxLingerTime = 30 * time.Second
	// firstRequestTime is how long after it was accepted a connection without a request is not closed.
	firstRequestTime = 100 * time.Millisecond
	// drainHeaderTimeout bounds the head of a request while the server shuts down.
	drainHeaderTimeout = time.Second
	// maxNoticeBacklog is how many bytes of output may be unacknowledged, in bytes, for a close notice to be sent: a socket
	// with more might take it in part only.
	maxNoticeBacklog = 16 << 10
)

// conn is the server side of a caller's connection.
type conn struct {
	server *Server
	rwc    net.Conn
	reader *bufio.Reader
	// ctx is canceled when the caller has disconnected or the connection was aborted; requestCtx, the parent of the
	// requests' contexts, also by cancelRequests.
	ctx            context.Context
	cancel         context.CancelFunc
	requestCtx     context.Context
	cancelRequests context.CancelFunc
	// requests counts the queued and running requests.
	requests sync.WaitGroup

	mu sync.Mutex
	// queue holds the requests that were read but not started, running those in flight, both in order of
	// arrival.
	queue   []*exchange
	running []*exchange
	// queueNotFull wakes the reader when the queue has a free slot.
	queueNotFull *sync.Cond
	// awaitingRequest is set while the reader waits for the first byte of a request.
	awaitingRequest bool
	// receiving is set from the first byte of a request until it is queued.
	receiving bool
	// discarding is set once no further request is read.
	discarding bool
	// closableAt is when the connection may be closed for want of a request.
	closableAt time.Time
	// closing is set when the connection closes after a response with no request behind it, writeClosed when its
	// sending direction is closed, closed when both directions are.
	closing       bool
	writeClosed   bool
	writeClosedAt time.Time
	closed        bool
}

func newConn(s *Server, rwc net.Conn) *conn {
	c := &conn{server: s, rwc: rwc, closableAt: time.Now().Add(firstRequestTime)}
	c.reader = bufio.NewReaderSize(input{c}, readBufferSize)
	c.queueNotFull = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.requestCtx, c.cancelRequests = context.WithCancel(c.ctx)
	return c
}

// serve reads requests until the caller disconnects or the connection closes.
func (c *conn) serve() {
	defer c.abortAndWait()
	for {
		if err := c.readNext(); err != nil {
			if c.startDiscarding(err) {
				c.linger()
			}
			return
		}
	}
}

// Reasons to read no further request, or not to start it.
var (
	errLastRequest = errors.New("the caller sends no further request")
	errConnClosing = errors.New("the connection is closing")
	errBodyUnread  = errors.New("the request body was not read completely")
	errCanceled    = errors.New("the requests of the server are canceled")
	errDropped     = errors.New("the request was not started before its connection closed")
)

// readNext reads one request and queues it.
func (c *conn) readNext() error {
	if err := c.awaitRequest(); err != nil {
		return err
	}
	x, err := c.readRequest()
	if err != nil {
		return err
	}
	c.requests.Add(1)
	if !c.enqueue(x) {
		c.requests.Done()
		return errConnClosing
	}
	if x.last {
		return errLastRequest
	}
	if x.body != nil && !c.awaitBody(x) {
		return errBodyUnread
	}
	return nil
}

// awaitRequest waits until the first byte of a request is buffered.
func (c *conn) awaitRequest() error {
	for {
		if c.reader.Buffered() == 0 {
			if err := c.awaitInput(); err != nil {
				return err
			}
		}
		if err := c.startReceiving(); err != nil {
			return err
		}
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		c.skipEmptyLines()
		if c.reader.Buffered() > 0 {
			return nil
		}
	}
}

// awaitInput waits until the kernel holds input. Nothing is read, so that a request is either held by the kernel or marked
// as being received.
func (c *conn) awaitInput() error {
	if err := c.startAwaiting(); err != nil {
		return err
	}
	err := c.awaitReadable()
	for isTimeout(err) && c.resumeReading() {
		err = c.awaitReadable()
	}
	return err
}

// resumeReading reports whether input arrived before the read deadline expired, and extends the deadline then. A
// process short of processor time may notice the deadline first.
func (c *conn) resumeReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed || c.closed || !c.inputPending() {
		return false
	}
	return c.rwc.SetReadDeadline(time.Now().Add(c.server.cfg.HeaderTimeout)) == nil
}

// expireReading lets reads return only what the kernel holds.
func (c *conn) expireReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeClosed && !c.closed {
		_ = c.rwc.SetReadDeadline(time.Now())
	}
}

// input is what a connection's reader reads. It returns input that arrived before the read deadline expired also after
// that.
type input struct{ conn *conn }

// Read implements io.Reader.
func (r input) Read(p []byte) (int, error) {
	n, err := r.conn.rwc.Read(p)
	if n > 0 || !isTimeout(err) || !r.conn.resumeReading() {
		return n, err
	}
	n, err = r.conn.rwc.Read(p)
	r.conn.expireReading()
	return n, err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// startReceiving marks a request as being received.
func (c *conn) startReceiving() error {
	timeout := c.server.cfg.HeaderTimeout
	if c.server.isDraining() {
		timeout = min(timeout, drainHeaderTimeout)
	}
	if err := c.extendReadDeadline(timeout); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestCtx.Err() != nil {
		return errCanceled
	}
	c.receiving = true
	return nil
}

// markReceiving records whether bytes of a further request are buffered.
func (c *conn) markReceiving(buffered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = buffered
}

// startAwaiting marks the reader as waiting for a request: without a limit while requests are in flight, otherwise
// up to the idle timeout.
func (c *conn) startAwaiting() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed || c.closed:
		return errConnClosing
	case c.requestCtx.Err() != nil:
		return errCanceled
	}
	c.awaitingRequest, c.receiving = true, false
	if len(c.running)+len(c.queue) > 0 {
		return c.rwc.SetReadDeadline(time.Time{})
	}
	c.onIdle()
	return nil
}

// setReadDeadline applies HeaderTimeout to the next bytes of a body.
func (c *conn) setReadDeadline() error { return c.extendReadDeadline(c.server.cfg.HeaderTimeout) }

// extendReadDeadline bounds the time until more of a request arrives.
func (c *conn) extendReadDeadline(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = false
	if c.writeClosed || c.closed {
		return errConnClosing
	}
	return c.rwc.SetReadDeadline(time.Now().Add(timeout))
}

// onIdle starts the idle timeout, or closes a closing connection; the mutex is held. It does nothing while a
// request is being read.
func (c *conn) onIdle() {
	switch {
	case !c.awaitingRequest || c.writeClosed || c.closed:
	case c.closing && c.discarding:
		c.closeIdle()
	case c.closing:
		// Only the reader knows whether a request has arrived meanwhile, so it closes the connection.
		_ = c.rwc.SetReadDeadline(c.closableAt)
	default:
		_ = c.rwc.SetReadDeadline(time.Now().Add(c.server.cfg.IdleTimeout))
	}
}

// awaitBody waits until a request's body has ended, and reports whether it was read completely.
func (c *conn) awaitBody(x *exchange) bool {
	select {
	case <-x.body.readDone:
	case <-x.done:
	case <-c.ctx.Done():
	}
	return x.body.complete()
}

// awaitTurn waits until all earlier responses are written. It returns false if the connection closes first.
func (c *conn) awaitTurn(x *exchange) bool {
	select {
	case <-x.turn:
		return c.ctx.Err() == nil
	case <-c.ctx.Done():
		return false
	}
}

// drain closes the connection once no request is queued or running.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if len(c.running) == 0 && len(c.queue) == 0 {
		c.onIdle()
	}
}

// closeIdle closes the sending direction of a connection without a request in flight, after the close notice; the mutex
// is held.
func (c *conn) closeIdle() {
	if notice := c.server.closeNotice; notice != nil {
		if n, known := c.unacknowledged(); !known || n <= maxNoticeBacklog {
			c.sendAtOnce(notice)
		}
	}
	c.closeWriteSide()
}

// closeWriteSide closes the sending direction and drops the queued requests; the mutex is held.
func (c *conn) closeWriteSide() {
	if c.writeClosed || c.closed {
		return
	}
	c.writeClosed, c.writeClosedAt = true, time.Now()
	c.dropQueue()
	if w, ok := c.rwc.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = c.rwc.SetReadDeadline(time.Now().Add(lingerTime))
	c.queueNotFull.Signal()
}

// dropQueue discards the requests that were not started; the mutex is held.
func (c *conn) dropQueue() {
	for _, x := range c.queue {
		close(x.done)
		c.requests.Done()
		c.server.reportIncomplete(x.request, errDropped)
	}
	c.queue = nil
}

// startDiscarding prepares to discard further input and reports whether the connection must still be read: to notice
// that the caller disconnects during its last requests, and to avoid a reset after closing. False means that the
// caller has disconnected or the connection is closed.
func (c *conn) startDiscarding(cause error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.writeClosed:
		return true
	case errors.Is(cause, errLastRequest) || errors.Is(cause, errBodyUnread):
	case isTimeout(cause) || errors.Is(cause, errCanceled):
		// No request arrived in time, or none is handled any more.
		c.closing = true
	default:
		return false
	}
	c.awaitingRequest, c.discarding, c.receiving = true, true, false
	_ = c.rwc.SetReadDeadline(time.Time{})
	if c.closing && len(c.running)+len(c.queue) == 0 {
		c.closeIdle()
	}
	return true
}

// linger discards input until the caller has closed its side, or has acknowledged all output and lingerTime is over.
func (c *conn) linger() {
	for {
		_, err := io.Copy(io.Discard, c.rwc)
		if !isTimeout(err) || !c.extendLinger() {
			return
		}
	}
}

// extendLinger extends the read deadline while output is unacknowledged, and reports whether it did.
func (c *conn) extendLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || time.Since(c.writeClosedAt) >= maxLingerTime {
		return false
	}
	if n, known := c.unacknowledged(); !known || n == 0 {
		return false
	}
	return c.rwc.SetReadDeadline(time.Now().Add(lingerTime)) == nil
}

// cancelAll cancels the contexts of the requests and returns how many there are.
func (c *conn) cancelAll() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRequests()
	if len(c.running)+len(c.queue) == 0 {
		c.onIdle()
	}
	return len(c.running) + len(c.queue)
}

// addPending adds what the connection has received and not completed.
func (c *conn) addPending(all *Pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all.Connections++
	all.Requests += len(c.running) + len(c.queue)
	if c.receiving || (c.awaitingRequest && !c.discarding && c.inputPending()) {
		all.Receiving++
	}
	if len(c.running)+len(c.queue) > 0 {
		return
	}
	if n, known := c.unacknowledged(); known && n > 0 {
		all.Unacknowledged++
	}
}

// abortAndWait aborts the connection, waits for its handlers and removes it from the server.
func (c *conn) abortAndWait() {
	c.abort()
	c.requests.Wait()
	c.server.removeConn(c)
}

// abort closes the connection immediately and cancels its requests' contexts.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.cancel()
	c.dropQueue()
	c.rwc.Close()
	c.queueNotFull.Signal()
}

// breakOff ends a connection whose response is incomplete, and cancels its requests' contexts. Earlier responses stay
// intact: input is still read, since closing with unread bytes would reset the connection.
func (c *conn) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	c.closeWriteSide()
}

// reset aborts the connection in a way that its caller cannot take for the end of a response.
func (c *conn) reset() {
	_ = c.controlSocket(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	c.abort()
}

// Write sends part of a response, within WriteTimeout. A failed write aborts the connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.server.cfg.WriteTimeout > 0 {
		if err := c.rwc.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.rwc.Write(p)
	if err != nil {
		c.abort()
	}
	return n, err
}
