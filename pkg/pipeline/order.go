package pipeline

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// noticeableWait is from which wait on a handler is told of it.
const noticeableWait = time.Millisecond

type waitedKey struct{}

// Waited returns for how long a request waited behind others of its connection before its handler
// was called.
func Waited(r *http.Request) time.Duration {
	waited, _ := r.Context().Value(waitedKey{}).(time.Duration)
	return waited
}

// exchange is one request and its answer.
type exchange struct {
	conn    *conn
	request *http.Request
	// handler answers the request: the server's, or one that refuses a request which could
	// not be read.
	handler http.Handler
	arrived time.Time
	// concurrent requests are handled beside others.
	concurrent bool
	// last is set if the caller sends nothing behind the request.
	last bool
	body *requestBody
	// turn is closed when all answers before this one are written, done when this one is.
	turn chan struct{}
	done chan struct{}
	// closeAfter is set once the answer says that the connection closes; it is the last one.
	closeAfter bool
}

// enqueue takes in a request that was read. It waits while too many are ahead of it, and
// returns false if the connection takes no more.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxQueued && !c.hungUp && !c.dead {
		c.room.Wait()
	}
	if c.hungUp || c.dead {
		return false
	}
	c.queue = append(c.queue, x)
	c.dispatch()
	return true
}

// dispatch starts the requests whose time has come; the mutex is held. A connection that is
// about to close starts one more only if nothing is under way that could say so.
func (c *conn) dispatch() {
	for len(c.queue) > 0 && c.mayStart(c.queue[0]) {
		x := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		c.running = append(c.running, x)
		if len(c.running) == 1 {
			close(x.turn)
		}
		go x.run()
	}
	c.room.Signal()
}

func (c *conn) mayStart(x *exchange) bool {
	switch {
	case c.hungUp || c.dead:
		return false
	case len(c.running) == 0:
		return true
	case c.closing:
		return false
	}
	return x.concurrent && c.running[0].concurrent && len(c.running) < c.server.cfg.MaxConcurrent
}

// commitClose decides, when an answer's head is written, whether the connection closes after it.
// The wish to close is kept until the last request that was started is answered: those under way
// behind this one are answered, too.
func (c *conn) commitClose(x *exchange, wish bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || wish
	x.closeAfter = c.closing && len(c.running) == 1
	return x.closeAfter
}

// finish ends an exchange and lets the next ones go on.
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
		c.hangUp()
		return
	}
	c.dispatch()
	if len(c.running) == 0 && len(c.queue) == 0 {
		c.nowIdle()
	}
}

// run handles the request and completes its answer.
func (x *exchange) run() {
	c := x.conn
	defer c.requests.Done()
	defer c.finish(x)
	if waited := time.Since(x.arrived); waited >= noticeableWait {
		x.request = x.request.WithContext(context.WithValue(c.ctx, waitedKey{}, waited))
	}
	// What nobody waits for must not reach a back end: a node that stood still finds requests whose callers
	// have left meanwhile, and starts them before its reader is at the end of their connections. The look
	// is one system call.
	if c.callerLeft() {
		c.kill()
		return
	}
	w := newResponse(x)
	if !x.handle(w) {
		c.kill()
		return
	}
	if err := w.finish(); err != nil {
		c.kill()
	}
}

// handle calls the handler. It returns false if the handler gave up.
func (x *exchange) handle(w http.ResponseWriter) (complete bool) {
	defer func() {
		if complete {
			return
		}
		value := recover()
		if value != http.ErrAbortHandler && x.conn.server.cfg.OnPanic != nil {
			x.conn.server.cfg.OnPanic(value)
		}
		// Answers before this one are still whole.
		x.conn.awaitTurn(x)
	}()
	x.handler.ServeHTTP(w, x.request)
	return true
}
