package wire

import (
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	slowTimeout = 1200 * time.Millisecond
	largeLimit  = 1 << 20
)

// slowConn passes written bytes on at a limited rate, like a connection over a narrow link.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c slowConn) Write(data []byte) (int, error) {
	const packet = 1400
	for written := 0; written < len(data); {
		part := data[written:min(len(data), written+packet)]
		time.Sleep(time.Duration(len(part)) * time.Second / time.Duration(c.bytesPerSecond))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return len(data), nil
}

// slowPair returns two ends of a connection; what the sender writes arrives at bytesPerSecond.
func slowPair(bytesPerSecond int) (sender, receiver *Conn) {
	left, right := net.Pipe()
	return NewConn(slowConn{left, bytesPerSecond}, largeLimit, slowTimeout, nil), NewConn(right, largeLimit, slowTimeout, nil)
}

func largeMessage() message { return message{Name: strings.Repeat("r", 100_000)} }

// sendLargeMessage sends a large message in the background.
func sendLargeMessage(sender *Conn) <-chan error {
	sent := make(chan error, 1)
	go func() { sent <- sender.Send(testKind, largeMessage()) }()
	return sent
}

func TestLargeFrameOnASlowConnectionIsReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender, receiver := slowPair(25_000)
		sent := sendLargeMessage(sender)
		_, err := receiver.Receive(slowTimeout)
		receiver.Close()
		sendErr := <-sent
		is.NoErr(err)
		is.NoErr(sendErr)
		var got message
		is.NoErr(receiver.Decode(&got))
		is.Equal(got, largeMessage())
	})
}

func TestFrameThatStopsInTheMiddleIsGivenUpAfterTheSilenceTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		left, right := net.Pipe()
		defer left.Close()
		receiver := NewConn(right, largeLimit, slowTimeout, nil)
		go func() {
			time.Sleep(time.Second)
			_, _ = left.Write([]byte{100, byte(testKind), 1, 2, 3})
		}()
		began := time.Now()
		_, err := receiver.Receive(slowTimeout)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.True(strings.Contains(err.Error(), "after 3 of 100 bytes"))
		is.Equal(time.Since(began), time.Second+slowTimeout)
	})
}

func TestFrameThatThePeerDoesNotTakeIsGivenUpAfterTheWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		left, right := net.Pipe()
		defer right.Close()
		sender := NewConn(left, largeLimit, slowTimeout, nil)
		began := time.Now()
		is.True(errors.Is(sender.Send(testKind, largeMessage()), os.ErrDeadlineExceeded))
		is.Equal(time.Since(began), slowTimeout)
	})
}

func TestHandshakeFrameHasATimeoutAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender, receiver := slowPair(25_000)
		began := time.Now()
		sent := sendLargeMessage(sender)
		_, err := receiver.ReceiveAtMost(slowTimeout, largeLimit)
		took := time.Since(began)
		receiver.Close()
		<-sent
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(took, slowTimeout)
	})
}
