package link

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBytesAreCountedByPeerAndDirection(t *testing.T) {
	is := is.New(t)
	var m Meter
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := m.Listener(Callers, inner)
	defer l.Close()
	dial := m.Dialer(Nodes, (&net.Dialer{}).DialContext)
	client, err := dial(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer client.Close()
	server, err := l.Accept()
	is.NoErr(err)
	defer server.Close()
	_, err = client.Write([]byte("twelve bytes"))
	is.NoErr(err)
	is.NoErr(client.(interface{ CloseWrite() error }).CloseWrite())
	data, err := io.ReadAll(server) // returns because the sending direction is closed
	is.NoErr(err)
	is.Equal(string(data), "twelve bytes")
	is.Equal(m.Sent(Nodes), int64(12))
	is.Equal(m.Received(Callers), int64(12))
	is.Equal(m.Sent(Callers)+m.Received(Nodes)+m.Received(Control), int64(0))
	_, err = dial(context.Background(), "tcp", "127.0.0.1:1")
	is.True(err != nil)
}

// UnscheduledRate must not include large bodies that the node's gate scheduled.
func TestUnscheduledRateExcludesScheduledBodies(t *testing.T) {
	is := is.New(t)
	var m Meter
	for i := range 50 { // ten seconds of 100,000 bytes a second, half of them scheduled bodies
		m.received[Nodes].Add(20_000)
		m.ScheduledBodyReceived(10_000)
		m.UnscheduledRate(time.Duration(i+1) * 200 * time.Millisecond)
	}
	rate := m.UnscheduledRate(10 * time.Second)
	is.True(rate > 49_900 && rate < 50_100)
	m.received[Callers].Add(1 << 20)
	is.Equal(m.UnscheduledRate(10*time.Second+rateInterval/2), rate) // before the next sample
	is.True(m.UnscheduledRate(11*time.Second) > rate)
	is.True(m.UnscheduledRate(30*time.Second) < 100) // the burst has decayed
	var nilMeter *Meter
	nilMeter.ScheduledBodyReceived(1)
	is.Equal(nilMeter.UnscheduledRate(time.Second), 0.0)
}

// Load must be that of the busier direction, not of both together.
func TestLoadIsThatOfTheBusierDirection(t *testing.T) {
	is := is.New(t)
	m := NewMeter(8e6) // a megabyte a second
	is.Equal(m.Load(time.Second), 0.0)
	m.received[Callers].Add(200_000)
	m.sent[Nodes].Add(300_000)
	m.sent[Control].Add(100_000)
	load := m.Load(21 * time.Second)
	is.True(load > 0.019 && load < 0.021) // 400 kB in 20 s
	is.Equal(NewMeter(0).Load(time.Second), 0.0)
	var nilMeter *Meter
	is.Equal(nilMeter.Load(time.Second), 0.0)
}

// UnpacedRate must exclude all large responses, UnreservedRate only those with a reservation.
func TestSendRatesExcludeLargeResponses(t *testing.T) {
	is := is.New(t)
	var m Meter
	send := func(reserved bool) {
		body := m.WrapResponse(io.NopCloser(io.LimitReader(zeros{}, 5_000)), reserved)
		_, err := io.Copy(io.Discard, body)
		is.NoErr(err)
		is.NoErr(body.Close())
	}
	for i := range 100 { // twenty seconds of 100,000 bytes a second, a quarter of them large responses with a reservation, a quarter without
		m.sent[Nodes].Add(20_000)
		send(true)
		send(false)
		now := time.Duration(i+1) * 200 * time.Millisecond
		m.UnreservedRate(now)
		m.UnpacedRate(now)
	}
	unreserved, unpaced := m.UnreservedRate(20*time.Second), m.UnpacedRate(20*time.Second)
	is.True(unreserved > 74_900 && unreserved < 75_100)
	is.True(unpaced > 49_900 && unpaced < 50_100)
	is.Equal(m.LargeResponseBytesSent(), int64(1_000_000))
	var nilMeter *Meter
	is.Equal(nilMeter.UnreservedRate(0)+nilMeter.UnpacedRate(0), 0.0)
	is.NoErr(nilMeter.WrapResponse(io.NopCloser(zeros{}), true).Close())
}

// zeros is an endless body of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a counted connection that cannot be reset, so that its peer takes the end of a cut response for a whole one.
func TestCountedConnectionCanBeReset(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counted := NewMeter(0).Listener(Callers, listener)
	defer counted.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer peer.Close()
	conn, err := counted.Accept()
	is.NoErr(err)
	raw, err := conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		is.NoErr(syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1}))
	}))
	is.NoErr(conn.Close())
	_, err = peer.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}
