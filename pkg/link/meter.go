// Package link counts the bytes that a node moves over its machine's link, by who is at the other
// end. On a narrow link operators need to know what fills it, and large bodies get only what calls,
// answers and configuration leave.
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

// Peer is who is at the other end of a connection.
type Peer uint8

const (
	// Callers send calls; those of the back end beside the node are counted with them.
	Callers Peer = iota
	// Nodes pass calls on to each other.
	Nodes
	// Control sends configuration.
	Control
	peers
)

// String names the peer in metrics.
func (p Peer) String() string { return [peers]string{"callers", "nodes", "control"}[p] }

const (
	// rateInterval is the least time that a rate is measured over, rateHalfLife after how long a
	// measurement counts half: long enough for some calls, short against a burst.
	rateInterval = 100 * time.Millisecond
	rateHalfLife = 500 * time.Millisecond
)

// Meter counts the bytes of connections. It is safe for concurrent use; nil counts nothing.
type Meter struct {
	// capacity is the link's in bytes a second each way, zero if it is not known.
	capacity       float64
	received, sent [peers]atomic.Int64
	// bodies counts what of the received bytes were large bodies that came when the node asked
	// for them.
	bodies atomic.Int64
	// answers counts what of the sent bytes were large answers, booked those of them that the node's
	// gate had booked.
	answers, booked atomic.Int64

	mu                                  sync.Mutex
	in, out, unasked, unbooked, unpaced rate
}

// NewMeter returns a meter of a link of so many bits a second each way, zero if that is not known.
func NewMeter(bitsPerSecond float64) *Meter { return &Meter{capacity: bitsPerSecond / 8} }

// Capacity returns the link's in bytes a second each way, zero if it is not known.
func (m *Meter) Capacity() float64 {
	if m == nil {
		return 0
	}
	return m.capacity
}

// Received returns the bytes that came from a kind of peer.
func (m *Meter) Received(p Peer) int64 { return m.received[p].Load() }

// Sent returns the bytes that went to a kind of peer.
func (m *Meter) Sent(p Peer) int64 { return m.sent[p].Load() }

// BodyReceived notes that some of the bytes were a large body that the node had asked for.
func (m *Meter) BodyReceived(size int64) {
	if m != nil {
		m.bodies.Add(size)
	}
}

// UnaskedRate returns how many bytes a second come beside large bodies that the node asked for, at
// a moment on the process's monotonic clock.
func (m *Meter) UnaskedRate(now time.Duration) float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unasked.at(now, sum(&m.received)-m.bodies.Load())
}

// Answer counts a large answer as it is sent; booked says that the node's gate has booked the link for it.
func (m *Meter) Answer(body io.ReadCloser, booked bool) io.ReadCloser {
	if m == nil {
		return body
	}
	counted := &countedAnswer{ReadCloser: body, sent: &m.answers}
	if booked {
		counted.booked = &m.booked
	}
	return counted
}

// countedAnswer is a large answer on its way.
type countedAnswer struct {
	io.ReadCloser
	sent *atomic.Int64
	// booked is nil for an answer that was not booked.
	booked *atomic.Int64
}

// Read implements io.Reader.
func (c *countedAnswer) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.sent.Add(int64(n))
	if c.booked != nil {
		c.booked.Add(int64(n))
	}
	return n, err
}

// AnswersSent returns the bytes of large answers.
func (m *Meter) AnswersSent() int64 { return m.answers.Load() }

// BodiesReceived returns the bytes of large bodies that came when the node asked for them.
func (m *Meter) BodiesReceived() int64 { return m.bodies.Load() }

// UnbookedRate returns how many bytes a second are sent beside large answers that were booked, at a
// moment on the process's monotonic clock.
func (m *Meter) UnbookedRate(now time.Duration) float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unbooked.at(now, sum(&m.sent)-m.booked.Load())
}

// UnpacedRate returns how many bytes a second are sent beside large answers, at a moment on the
// process's monotonic clock.
func (m *Meter) UnpacedRate(now time.Duration) float64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unpaced.at(now, sum(&m.sent)-m.answers.Load())
}

// Load returns which share of the link is used in the direction that is used more, zero if the
// link's capacity is not known.
func (m *Meter) Load(now time.Duration) float64 {
	if m == nil || m.capacity == 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.in.at(now, sum(&m.received)), m.out.at(now, sum(&m.sent))) / m.capacity
}

func sum(counters *[peers]atomic.Int64) int64 {
	total := int64(0)
	for p := range counters {
		total += counters[p].Load()
	}
	return total
}

// rate is how fast a counter grows, smoothed.
type rate struct {
	perSecond float64
	// read is when the counter was read last, count what it showed.
	read  time.Duration
	count int64
}

// at reads the counter at a moment and returns its rate.
func (r *rate) at(now time.Duration, count int64) float64 {
	elapsed := now - r.read
	if elapsed < rateInterval {
		return r.perSecond
	}
	measured := max(0, float64(count-r.count)/elapsed.Seconds())
	r.perSecond += (1 - clock.Kept(elapsed, rateHalfLife)) * (measured - r.perSecond)
	r.read, r.count = now, count
	return r.perSecond
}

// Conn counts a connection's bytes.
func (m *Meter) Conn(p Peer, conn net.Conn) net.Conn {
	if m == nil {
		return conn
	}
	return &countedConn{Conn: conn, received: &m.received[p], sent: &m.sent[p]}
}

// Listener counts the bytes of the connections that a listener accepts.
func (m *Meter) Listener(p Peer, l net.Listener) net.Listener {
	return &countedListener{Listener: l, meter: m, peer: p}
}

// Dial is a function that opens a connection, as http.Transport takes it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer counts the bytes of the connections that are dialled.
func (m *Meter) Dialer(p Peer, dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(p, conn), nil
	}
}

// countedListener counts the bytes of what it accepts.
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

// countedConn counts its bytes.
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

// SyscallConn gives access to the connection's socket, if it has one.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite ends the sending direction, if the connection can.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
