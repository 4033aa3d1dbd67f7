package exchange

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// dialFunc opens connections for a transport.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn counts the writes of which any byte was handed to the kernel, or may be just now.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. It counts first: the peer may answer before the kernel has returned.
func (c *countedConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(data)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// CountWrites returns a dial function whose connections count their writes, so that a Delivery can tell
// whether any byte of a request was sent on them.
func CountWrites(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// Delivery tells whether a request may have reached its peer. A connection that was kept open may turn
// out to be closed only when the next request is written to it, and that one has not been sent then.
// Its zero value is ready for one request.
type Delivery struct {
	mu sync.Mutex
	// conn is the latest connection, nil for none; before is how many writes it had before the request.
	conn   *countedConn
	before int64
	// arrived is set once an earlier connection took some of the request, or if the writes of one were not
	// counted.
	arrived bool
}

// Trace returns the trace to put into the request's context.
func (d *Delivery) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { d.use(info.Conn) }}
}

// use notes the connection that the transport tries next.
func (d *Delivery) use(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counted, ok := conn.(*countedConn)
	if !ok {
		d.arrived = true
		return
	}
	d.arrived = d.mayHaveArrived()
	d.conn, d.before = counted, counted.writes.Load()
}

// MayHaveArrived reports whether the peer may have seen any of the request.
func (d *Delivery) MayHaveArrived() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mayHaveArrived()
}

func (d *Delivery) mayHaveArrived() bool {
	return d.arrived || (d.conn != nil && d.conn.writes.Load() > d.before)
}
