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
)

const (
	// readBuffer is for the heads of requests; longer ones get a larger buffer.
	readBuffer = 4 << 10
	// maxQueued bounds the requests of one connection that were read and not started.
	maxQueued = 32
	// lingerTime is for how long a connection that was closed towards the caller still reads:
	// closing with unread bytes would reset it and could destroy the last answer.
	lingerTime = 500 * time.Millisecond
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	rwc    net.Conn
	reader *bufio.Reader
	// ctx ends when the caller has left or the connection was killed.
	ctx    context.Context
	cancel context.CancelFunc
	// requests counts those under way.
	requests sync.WaitGroup

	mu sync.Mutex
	// queue are requests that were read and not started, running those under way, in the order
	// in which they came.
	queue   []*exchange
	running []*exchange
	// room wakes the reader when the queue has room again.
	room *sync.Cond
	// awaiting is set while the reader waits for the first byte of a request.
	awaiting bool
	// closing: the connection closes after the last request that was started; hungUp: it is
	// closed towards the caller; dead: it has ended.
	closing bool
	hungUp  bool
	dead    bool
}

func newConn(s *Server, rwc net.Conn) *conn {
	c := &conn{server: s, rwc: rwc, reader: bufio.NewReaderSize(rwc, readBuffer)}
	c.room = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the caller leaves or the connection closes.
func (c *conn) serve() {
	defer c.end()
	for {
		if err := c.readOne(); err != nil {
			if c.mayLinger(err) {
				_, _ = io.Copy(io.Discard, c.rwc)
			}
			return
		}
	}
}

// Why no further request is read.
var (
	errLast   = errors.New("the caller sends nothing behind this request")
	errClosed = errors.New("the connection closes")
	errNoBody = errors.New("a request's body was not read whole")
)

// readOne reads one request and hands it on.
func (c *conn) readOne() error {
	if err := c.awaitFirst(); err != nil {
		return err
	}
	x, err := c.readRequest()
	if err != nil {
		return err
	}
	c.requests.Add(1)
	if !c.enqueue(x) {
		c.requests.Done()
		return errClosed
	}
	if x.last {
		return errLast
	}
	if x.body != nil && !c.awaitBody(x) {
		return errNoBody
	}
	return nil
}

// awaitFirst waits for the first byte of a request.
func (c *conn) awaitFirst() error {
	if c.reader.Buffered() == 0 {
		if err := c.setAwaiting(); err != nil {
			return err
		}
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
	}
	return c.setReadDeadline()
}

// setAwaiting notes that the reader waits, as long as it takes while requests are under way.
func (c *conn) setAwaiting() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hungUp || c.dead {
		return errClosed
	}
	c.awaiting = true
	if len(c.running)+len(c.queue) > 0 {
		return c.rwc.SetReadDeadline(time.Time{})
	}
	c.nowIdle()
	return nil
}

// setReadDeadline starts the time for the rest of a head, or for the next bytes of a body.
func (c *conn) setReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	if c.hungUp || c.dead {
		return errClosed
	}
	return c.rwc.SetReadDeadline(time.Now().Add(c.server.cfg.HeaderTimeout))
}

// nowIdle starts the time that a connection may rest, or closes it; the mutex is held. It does
// neither while a request is being read.
func (c *conn) nowIdle() {
	if !c.awaiting || c.hungUp || c.dead {
		return
	}
	if c.closing {
		c.hangUp()
		return
	}
	_ = c.rwc.SetReadDeadline(time.Now().Add(c.server.cfg.IdleTimeout))
}

// awaitBody waits until a request's body was read: the next request comes behind it.
func (c *conn) awaitBody(x *exchange) bool {
	select {
	case <-x.body.read:
	case <-x.done:
	case <-c.ctx.Done():
	}
	return x.body.complete()
}

// awaitTurn waits until all answers before this one are written. It returns false if the
// connection ended first.
func (c *conn) awaitTurn(x *exchange) bool {
	select {
	case <-x.turn:
		return c.ctx.Err() == nil
	case <-c.ctx.Done():
		return false
	}
}

// drain closes the connection as soon as nothing is under way.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if len(c.running) == 0 && len(c.queue) == 0 {
		c.nowIdle()
	}
}

// hangUp closes the connection towards the caller, and leaves what came behind the last answer
// unread; the mutex is held.
func (c *conn) hangUp() {
	if c.hungUp || c.dead {
		return
	}
	c.hungUp = true
	c.dropQueue()
	if half, ok := c.rwc.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.rwc.SetReadDeadline(time.Now().Add(lingerTime))
	c.room.Signal()
}

// dropQueue forgets the requests that were not started; the mutex is held.
func (c *conn) dropQueue() {
	for range c.queue {
		c.requests.Done()
	}
	c.queue = nil
}

// mayLinger reports whether the connection is still read, though for no request: to notice a
// caller that leaves while its last requests are under way, and so that a closed connection is
// not reset. If not, the caller has left.
func (c *conn) mayLinger(cause error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.dead:
		return false
	case c.hungUp:
		return true
	case errors.Is(cause, errLast) || errors.Is(cause, errNoBody):
	case os.IsTimeout(cause):
		// Nothing came in time.
		c.closing = true
	default:
		return false
	}
	c.awaiting = true
	_ = c.rwc.SetReadDeadline(time.Time{})
	if c.closing && len(c.running)+len(c.queue) == 0 {
		c.hangUp()
	}
	return true
}

// end lets the handlers know that the caller has left, and waits for them.
func (c *conn) end() {
	c.kill()
	c.requests.Wait()
	c.server.forget(c)
}

// kill ends the connection at once.
func (c *conn) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return
	}
	c.dead = true
	c.cancel()
	c.dropQueue()
	c.rwc.Close()
	c.room.Signal()
}

// Write sends a part of an answer.
func (c *conn) Write(p []byte) (int, error) {
	if c.server.cfg.WriteTimeout > 0 {
		if err := c.rwc.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.rwc.Write(p)
	if err != nil {
		c.kill()
	}
	return n, err
}
