package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testKind Kind = 5

const testLimit = 4096

type message struct {
	Name  string
	Count uint64
	Lines []string
}

// memoryConn is a connection that reads from a given input.
type memoryConn struct {
	net.Conn
	input io.Reader
}

func (m memoryConn) Read(data []byte) (int, error)   { return m.input.Read(data) }
func (m memoryConn) SetReadDeadline(time.Time) error { return nil }
func (m memoryConn) RemoteAddr() net.Addr            { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 9} }

func connReading(data []byte) *Conn {
	return NewConn(memoryConn{input: bytes.NewReader(data)}, testLimit, time.Second, nil)
}

func TestFramesRoundTripAndAreObserved(t *testing.T) {
	is := is.New(t)
	left, right := net.Pipe()
	defer left.Close()
	defer right.Close()
	sent, received := 0, 0
	sender := NewConn(left, testLimit, time.Second, func(_ Kind, _ Direction, size int) { sent += size })
	receiver := NewConn(right, testLimit, time.Second, func(_ Kind, _ Direction, size int) { received += size })
	want := []message{{Name: "first", Count: 1}, {Name: "second", Lines: []string{"a", "b"}}, {Name: "third"}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, m := range want {
			_ = sender.Send(testKind, m)
		}
	}()
	for _, m := range want {
		kind, err := receiver.Receive(time.Second)
		is.NoErr(err)
		is.Equal(kind, testKind)
		var got message
		is.NoErr(receiver.Decode(&got))
		is.Equal(got, m)
	}
	<-done
	is.Equal(sent, received)
}

func TestMalformedFramesAreRejected(t *testing.T) {
	huge := append(binary.AppendUvarint(nil, testLimit+1), byte(testKind))
	for name, test := range map[string]struct {
		data []byte
		want error
	}{
		"too large": {huge, ErrFrameTooLarge},
		"empty":     {[]byte{0, 5}, ErrFrameTooLarge},
		"cut":       {[]byte{9, 5, 1, 2}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := connReading(test.data).Receive(0)
			is.New(t).True(errors.Is(err, test.want) || errors.Is(err, io.ErrUnexpectedEOF))
		})
	}
}

func TestTrailingBytesInFrameAreAnError(t *testing.T) {
	is := is.New(t)
	var recorded bytes.Buffer
	left, right := net.Pipe()
	go func() {
		_ = NewConn(left, testLimit, time.Second, nil).Send(testKind, message{Name: "x"})
		left.Close()
	}()
	_, _ = io.Copy(&recorded, right)
	frame := recorded.Bytes()
	longer := append([]byte{frame[0] + 1}, append(frame[1:len(frame):len(frame)], 0)...)
	conn := connReading(longer)
	_, err := conn.Receive(0)
	is.NoErr(err)
	is.True(conn.Decode(&message{}) != nil)
}

// FuzzReceive checks that no input makes a connection panic or exceed its memory bound.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{3, 5, 1, 2, 3})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := connReading(data)
		for {
			if _, err := conn.Receive(0); err != nil {
				return
			}
			var got message
			if conn.Decode(&got) != nil {
				return
			}
		}
	})
}
