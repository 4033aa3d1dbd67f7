package exchange

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// dialFunc opens connections for a transport.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn counts the bytes that were handed to the kernel.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// CountWrites makes the connections of a transport such that a Delivery can tell whether any byte of a
// request was sent on them.
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
	got atomic.Pointer[gotConn]
}

type gotConn struct {
	// counted is nil for a connection that does not count.
	counted *countedConn
	before  int64
}

// Trace is for the request's context.
func (d *Delivery) Trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		got := &gotConn{}
		if counted, ok := info.Conn.(*countedConn); ok {
			got.counted, got.before = counted, counted.written.Load()
		}
		d.got.Store(got)
	}}
}

// MayHaveArrived reports whether the peer may have seen any of the request.
func (d *Delivery) MayHaveArrived() bool {
	got := d.got.Load()
	if got == nil {
		return false
	}
	return got.counted == nil || got.counted.written.Load() > got.before
}
