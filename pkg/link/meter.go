// Package link counts the bytes that a node receives and sends over its machine's link, by kind of peer, and
// measures the queueing delay of paths to other regions. Gates use the rates to give large bodies and
// responses only the capacity that other traffic leaves.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramblelift/pkg/clock"
)

// Peer is the kind of process at the other end of a connection.
type Peer uint8

const (
	// Callers are clients that send calls, including the back end beside the node.
	Callers Peer = iota
	// Nodes are other nodes, which forward calls to each other.
	Nodes
	// Control is the control plane, which sends configuration.
	Control
	peerCount
)

// String returns the peer's name in metrics.
func (p Peer) String() string { return [peerCount]string{"callers", "nodes", "control"}[p] }

const (
	// rateInterval is the minimum time between two samples of a counter, rateHalfLife the half-life of a
	// sample in the smoothed rate.
	rateInterval = 100 * time.Millisecond
	rateHalfLife = 500 * time.Millisecond
)

// Meter counts the bytes of connections. It is safe for concurrent use. A nil Meter may wrap connections and
// listeners and reports rates of zero; its counters must not be read.
type Meter struct {
	// capacity is the link's capacity in bytes per second in each direction, zero if unknown.
	capacity       float64
	received, sent [peerCount]atomic.Int64
	// scheduledBodyBytes counts the received bytes of large request bodies whose transfer the node's gate scheduled.
	scheduledBodyBytes atomic.Int64
	// largeResponses counts the sent bytes of large responses, reserved those for which the node's gate
	// had reserved the link.
	largeResponses, reserved atomic.Int64

	mu sync.Mutex
	// unscheduledIn is the rate of UnscheduledRate, unreservedOut that of UnreservedRate, unpacedOut that of
	// UnpacedRate.
	in, out, unscheduledIn, unreservedOut, unpacedOut rate
}

// NewMeter returns a meter for a link with a capacity of bitsPerSecond in each direction, zero if unknown.
func NewMeter(bitsPerSecond float64) *Meter { return &Meter{capacity: bitsPerSecond / 8} }

// Capacity returns the link's capacity in bytes per second in each direction, zero if unknown.
func (m *Meter) Capacity() float64 {
	if m == nil {
		return 0
	}
	return m.capacity
}

// Received returns the bytes received from a kind of peer.
func (m *Meter) Received(p Peer) int64 { return m.received[p].Load() }

// Sent returns the bytes sent to a kind of peer.
func (m *Meter) Sent(p Peer) int64 { return m.sent[p].Load() }

// ScheduledBodyReceived records that size of the received bytes were a large request body whose transfer the
// node's gate scheduled.
func (m *Meter) ScheduledBodyReceived(size int64) {
	if m != nil {
		m.scheduledBodyBytes.Add(size)
	}
}

// UnscheduledRate returns the receive rate in bytes per second without large request bodies whose transfer the
// node's gate scheduled. The current time now is on the process's monotonic clock.
func (m *Meter) UnscheduledRate(now time.Duration) float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unscheduledIn.sample(now, sum(&m.received)-m.scheduledBodyBytes.Load())
}

// WrapResponse wraps the body of a large response to count its bytes as they are sent; reserved is set if the node's
// gate has reserved the link for it.
func (m *Meter) WrapResponse(body io.ReadCloser, reserved bool) io.ReadCloser {
	if m == nil {
		return body
	}
	counted := &countedResponse{ReadCloser: body, sent: &m.largeResponses}
	if reserved {
		counted.reserved = &m.reserved
	}
	return counted
}

// countedResponse counts the bytes read from the body of a large response.
type countedResponse struct {
	io.ReadCloser
	sent *atomic.Int64
	// reserved is nil if the gate has not reserved the link for the response.
	reserved *atomic.Int64
}

// Read implements io.Reader.
func (c *countedResponse) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.sent.Add(int64(n))
	if c.reserved != nil {
		c.reserved.Add(int64(n))
	}
	return n, err
}

// LargeResponseBytesSent returns the number of bytes of large responses sent.
func (m *Meter) LargeResponseBytesSent() int64 { return m.largeResponses.Load() }

// ScheduledBodyBytesReceived returns the bytes received of large request bodies whose transfer the node's gate
// scheduled.
func (m *Meter) ScheduledBodyBytesReceived() int64 { return m.scheduledBodyBytes.Load() }

// UnreservedRate returns the send rate in bytes per second without large responses for which the gate reserved
// the link. The current time now is on the process's monotonic clock.
func (m *Meter) UnreservedRate(now time.Duration) float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreservedOut.sample(now, sum(&m.sent)-m.reserved.Load())
}

// UnpacedRate returns the send rate in bytes per second without large responses, which are paced. The current
// time now is on the process's monotonic clock.
func (m *Meter) UnpacedRate(now time.Duration) float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unpacedOut.sample(now, sum(&m.sent)-m.largeResponses.Load())
}

// Load returns the utilization of the link in its busier direction, as a fraction of its capacity; zero if the
// capacity is unknown.
func (m *Meter) Load(now time.Duration) float64 {
	if m == nil || m.capacity == 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.in.sample(now, sum(&m.received)), m.out.sample(now, sum(&m.sent))) / m.capacity
}

func sum(counters *[peerCount]atomic.Int64) int64 {
	total := int64(0)
	for p := range counters {
		total += counters[p].Load()
	}
	return total
}

// rate is the exponentially smoothed growth rate of a counter.
type rate struct {
	perSecond float64
	// sampledAt is the time of the last sample, count its value.
	sampledAt time.Duration
	count     int64
}

// sample adds the counter's value at now, if rateInterval has passed, and returns the rate per second.
func (r *rate) sample(now time.Duration, count int64) float64 {
	elapsed := now - r.sampledAt
	if elapsed < rateInterval {
		return r.perSecond
	}
	measured := max(0, float64(count-r.count)/elapsed.Seconds())
	r.perSecond += (1 - clock.DecayFactor(elapsed, rateHalfLife)) * (measured - r.perSecond)
	r.sampledAt, r.count = now, count
	return r.perSecond
}

// Conn wraps a connection to count its bytes.
func (m *Meter) Conn(p Peer, conn net.Conn) net.Conn {
	if m == nil {
		return conn
	}
	return &countedConn{Conn: conn, received: &m.received[p], sent: &m.sent[p]}
}

// Listener wraps a listener to count the bytes of the connections that it accepts.
func (m *Meter) Listener(p Peer, l net.Listener) net.Listener {
	return &countedListener{Listener: l, meter: m, peer: p}
}

// DialFunc opens a connection; it has the type of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer wraps dial to count the bytes of the connections that it opens.
func (m *Meter) Dialer(p Peer, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(p, conn), nil
	}
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	meter *Meter
	peer  Peer
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(l.peer, conn), nil
}

// SetDeadline bounds Accept if the listener supports it.
func (l *countedListener) SetDeadline(t time.Time) error {
	if bounded, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return bounded.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// SyscallConn returns the raw connection of the underlying socket, or errors.ErrUnsupported if there is none.
func (l *countedListener) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := l.Listener.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// countedConn counts the bytes that it reads and writes.
type countedConn struct {
	net.Conn
	received, sent *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// SyscallConn returns the raw connection of the underlying socket, or errors.ErrUnsupported if there is none.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite shuts down the sending direction if the connection supports it; otherwise it does nothing.
func (c *countedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
