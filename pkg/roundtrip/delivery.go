package roundtrip

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// dialFunc opens connections for a transport.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn counts the writes that passed any byte to the kernel, including one in progress, and copies what it reads
// while a response is awaited.
type countedConn struct {
	net.Conn
	writes  atomic.Int64
	retired atomic.Bool
	// requests counts the requests that were assigned to the connection.
	requests atomic.Int64
	// awaited receives a copy of what is read, nil for none.
	awaited atomic.Pointer[receivedHead]
}

var errRetired = errors.New("the connection is retired")

// Write implements net.Conn. It counts before it writes, since the peer may respond before the
// write returns.
func (c *countedConn) Write(data []byte) (int, error) {
	if c.retired.Load() {
		return 0, errRetired
	}
	c.writes.Add(1)
	n, err := c.Conn.Write(data)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if head := c.awaited.Load(); head != nil {
		head.add(p[:n])
	}
	return n, err
}

// countWrites returns a dial function whose connections count their writes, as Delivery requires.
func countWrites(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// Delivery detects whether a request may have reached its peer. A write to an idle connection that
// the peer has closed fails before any byte is sent; such a request can be retried safely. The zero
// value is ready for one request.
type Delivery struct {
	// Rewind, if set, returns the request's body from its start. It allows to send the request over another connection
	// if the one that it was assigned to turns out to be retired.
	Rewind func() io.ReadCloser

	mu sync.Mutex
	// conn is the latest connection, nil for none; writesBefore is its write count before the
	// request, and requestNumber counts the requests assigned to it up to this one.
	conn          *countedConn
	writesBefore  int64
	requestNumber int64
	// arrivedEarlier is set if an earlier connection wrote part of the request, or if the writes of
	// a connection were not counted.
	arrivedEarlier bool
	// resends counts the connections used after the request may have arrived over an earlier one.
	resends int
	// responding is set once the first byte of a response was received.
	responding bool
	// head is what conn has received.
	head receivedHead
}

// trace returns the trace to attach to the request's context.
func (d *Delivery) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { d.recordConn(info.Conn) },
		GotFirstResponseByte: d.recordResponse,
	}
}

func (d *Delivery) recordResponse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.responding = true
}

// responseBegan reports whether the first byte of a response was received.
func (d *Delivery) responseBegan() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.responding
}

// recordConn records the connection that the transport uses next.
func (d *Delivery) recordConn(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counted, ok := conn.(*countedConn)
	if !ok {
		d.arrivedEarlier = true
		return
	}
	d.arrivedEarlier = d.mayHaveArrived()
	if d.arrivedEarlier {
		d.resends++
	}
	d.stopRecording()
	d.head.reset()
	d.conn, d.writesBefore, d.requestNumber = counted, counted.writes.Load(), counted.requests.Add(1)
	counted.awaited.Store(&d.head)
}

// stopRecording ends the copies of what conn reads; mu must be held.
func (d *Delivery) stopRecording() {
	if d.conn != nil {
		d.conn.awaited.CompareAndSwap(&d.head, nil)
	}
}

// endHead releases what was received of the head.
func (d *Delivery) endHead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopRecording()
	d.head.close()
}

// Resends returns how many more times the transport sent the request after it may have arrived.
func (d *Delivery) Resends() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resends
}

// nameConn adds the addresses of the connection that the request used last to an error that names none, such as io.EOF.
func (d *Delivery) nameConn(err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var named *net.OpError
	if d.conn == nil || isContextError(err) || errors.As(err, &named) {
		return err
	}
	return &net.OpError{Op: "exchange", Net: "tcp", Source: d.conn.LocalAddr(), Addr: d.conn.RemoteAddr(), Err: err}
}

// RetireConn makes the connection that the request used last reject later requests before any byte is sent, so that
// the transport sends them over another one. It returns true if this was the connection's first request: then a response
// that names no request cannot be a surplus one to an earlier request.
func (d *Delivery) RetireConn() (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return true
	}
	return !d.conn.retired.Swap(true) && d.writesBefore == 0
}

// RejectedByRetired reports whether the request was not sent since its connection was retired.
func (d *Delivery) RejectedByRetired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejectedByRetired()
}

// rejectedByRetired is RejectedByRetired with mu held.
func (d *Delivery) rejectedByRetired() bool {
	return !d.mayHaveArrived() && d.conn != nil && d.conn.retired.Load()
}

// forgetRetired forgets the connection if the request was not sent since it was retired, and reports whether that was so.
func (d *Delivery) forgetRetired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.rejectedByRetired() {
		return false
	}
	d.stopRecording()
	d.conn = nil
	return true
}

// discardConn retires the connection that the request used last, and closes it unless a later request uses it.
func (d *Delivery) discardConn() {
	d.RetireConn()
	d.CloseRetired()
}

// CloseRetired closes the connection that the request used last if it is retired. The response must not be read any
// more. A connection to which the transport has assigned a later request is left open: that request may have been sent
// before the connection was retired, and otherwise fails before any byte is sent.
func (d *Delivery) CloseRetired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && d.conn.retired.Load() && d.conn.requests.Load() == d.requestNumber {
		d.conn.Close()
	}
}

// MayHaveArrived reports whether the peer may have received any part of the request.
func (d *Delivery) MayHaveArrived() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mayHaveArrived()
}

// mayHaveArrived is MayHaveArrived with mu held.
func (d *Delivery) mayHaveArrived() bool {
	return d.arrivedEarlier || (d.conn != nil && d.conn.writes.Load() > d.writesBefore)
}
