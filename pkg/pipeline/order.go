package pipeline

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// minReportedWait is the shortest wait that Waited reports.
const minReportedWait = time.Millisecond

type waitedKey struct{}

// Waited returns how long a request waited behind others of its connection before its handler was called, zero
// if the wait was below a millisecond.
func Waited(r *http.Request) time.Duration {
	waited, _ := r.Context().Value(waitedKey{}).(time.Duration)
	return waited
}

// exchange is one request and its response.
type exchange struct {
	conn    *conn
	request *http.Request
	// handler is the server's handler, or one that responds with an error to an invalid request.
	handler http.Handler
	readAt  time.Time
	// concurrent is set if the request may run at the same time as others.
	concurrent bool
	// last is set if no further request is read after this one.
	last bool
	body *requestBody
	// turn is closed when all earlier responses are written, done when the exchange has ended.
	turn chan struct{}
	done chan struct{}
	// closeAfter is set if this response is the last of the connection and announces the close.
	closeAfter bool
}

// enqueue queues a request, after waiting while the queue is full. It returns false if the connection is closed.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxQueued && !c.writeClosed && !c.closed {
		c.queueNotFull.Wait()
	}
	if c.writeClosed || c.closed {
		return false
	}
	c.receiving = !x.last && x.body == nil && c.reader.Buffered() > 0
	c.closableAt = x.readAt
	c.queue = append(c.queue, x)
	c.dispatch()
	return true
}

// dispatch starts the queued requests that may run; the mutex is held.
func (c *conn) dispatch() {
	for len(c.queue) > 0 && c.canStart(c.queue[0]) {
		x := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		c.running = append(c.running, x)
		if len(c.running) == 1 {
			close(x.turn)
		}
		go x.run()
	}
	c.queueNotFull.Signal()
}

// canStart reports whether the next queued request may run. No request starts after a response that announced the
// close.
func (c *conn) canStart(x *exchange) bool {
	switch {
	case c.writeClosed || c.closed:
		return false
	case len(c.running) == 0:
		return true
	case c.running[0].closeAfter:
		return false
	}
	return x.concurrent && c.running[0].concurrent && len(c.running) < c.server.cfg.MaxConcurrent
}

// commitClose decides, when a response's head is written, whether the connection closes after it. The close is
// deferred until no other request was received, so that all of them get a response.
func (c *conn) commitClose(x *exchange, wantClose bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || wantClose || c.server.closing.Load()
	x.closeAfter = c.closing && !c.receivedBehind(x)
	return x.closeAfter
}

// receivedBehind reports whether a request was received behind a running one, if only by the kernel; the mutex is held.
func (c *conn) receivedBehind(x *exchange) bool {
	switch {
	case len(c.running) > 1 || len(c.queue) > 0 || c.receiving:
		return true
	case c.requestCtx.Err() != nil:
		// What was not read yet is not handled any more.
		return false
	case x.last || (x.body != nil && !x.body.ended.Load()):
		return false
	}
	return c.inputPending()
}

// finish ends an exchange, unblocks the next response and starts queued requests.
func (c *conn) finish(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(x.done)
	if at := slices.Index(c.running, x); at >= 0 {
		c.running = slices.Delete(c.running, at, at+1)
		if at == 0 && len(c.running) > 0 {
			close(c.running[0].turn)
		}
	}
	if x.closeAfter {
		c.closeWriteSide()
		return
	}
	c.dispatch()
	if len(c.running) == 0 && len(c.queue) == 0 {
		c.onIdle()
	}
}

// run handles the request and completes its response.
func (x *exchange) run() {
	c := x.conn
	defer c.requests.Done()
	defer c.finish(x)
	if waited := time.Since(x.readAt); waited >= minReportedWait {
		x.request = x.request.WithContext(context.WithValue(c.requestCtx, waitedKey{}, waited))
	}
	// After a pause of the process the caller may have disconnected without the reader having noticed. Such a
	// request must not reach a back end.
	if c.callerDisconnected() {
		c.abort()
		return
	}
	w := newResponse(x)
	if !x.handle(w) {
		x.breakOff(w, errHandlerAborted)
		return
	}
	if err := w.finish(); err != nil {
		x.breakOff(w, err)
	}
}

// breakOff ends the connection after an incomplete response.
func (x *exchange) breakOff(w *response, err error) {
	if w.endsWithConnection() {
		x.conn.reset()
	} else {
		x.conn.breakOff()
	}
	x.conn.server.reportIncomplete(x.request, err)
}

// handle calls the handler. It returns false if the handler panicked.
func (x *exchange) handle(w http.ResponseWriter) (complete bool) {
	defer func() {
		if complete {
			return
		}
		value := recover()
		if value != http.ErrAbortHandler && x.conn.server.cfg.OnPanic != nil {
			x.conn.server.cfg.OnPanic(value)
		}
		// Earlier responses must be complete before the connection is aborted.
		x.conn.awaitTurn(x)
	}()
	x.handler.ServeHTTP(w, x.request)
	return true
}
