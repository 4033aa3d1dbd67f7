// Package wire sends typed messages between the system's own processes as gob values, in frames of
// bounded size on one TCP connection.
//
// A frame is a length (unsigned varint), a kind (one byte) and the next part of the connection's
// gob stream. One encoder per connection sends each type description only once. The length is
// checked before anything is decoded. An invalid frame affects only its connection.
package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// DefaultMaxFrame bounds the size of a frame in bytes; the largest frames carry snapshots.
const DefaultMaxFrame = 64 << 20

// ErrFrameTooLarge reports a received frame that is empty or exceeds the limit.
var ErrFrameTooLarge = errors.New("frame exceeds the bound")

// Kind identifies the type of a frame's value.
type Kind uint8

// Direction states whether a frame was sent or received.
type Direction string

const (
	// Sent marks frames sent by this process.
	Sent Direction = "sent"
	// Received marks frames received by this process.
	Received Direction = "received"
)

// Observer is called for each frame with its full size in bytes.
type Observer func(kind Kind, direction Direction, size int)

// Conn is one connection. Send may be called concurrently; Receive and Decode must be called by one
// goroutine.
type Conn struct {
	conn     net.Conn
	input    *input
	reader   *bufio.Reader
	maxFrame int
	observe  Observer

	received bytes.Buffer
	decoder  *gob.Decoder

	sendMu       sync.Mutex
	encoded      bytes.Buffer
	encoder      *gob.Encoder
	writeTimeout time.Duration
}

// NewConn wraps a connection. maxFrame bounds received frames in bytes, writeTimeout the time in which the peer
// takes no byte of a sent frame; observe may be nil.
func NewConn(conn net.Conn, maxFrame int, writeTimeout time.Duration, observe Observer) *Conn {
	in := &input{conn: conn}
	c := &Conn{
		conn: conn, input: in, reader: bufio.NewReaderSize(in, readBufferSize),
		maxFrame: maxFrame, writeTimeout: writeTimeout, observe: observe,
	}
	c.decoder = gob.NewDecoder(&c.received)
	c.encoder = gob.NewEncoder(&c.encoded)
	return c
}

const (
	// readBufferSize is small because a relay holds thousands of connections.
	readBufferSize = 1024
	// writeChunk is the largest part of a frame, in bytes, that the peer must take within the write timeout.
	writeChunk = 16 << 10
)

// input reads from a connection and renews the read deadline before each read.
type input struct {
	conn net.Conn
	// silenceTimeout is how long the peer may send nothing, zero if the deadline is not renewed.
	silenceTimeout time.Duration
}

// Read implements io.Reader.
func (r *input) Read(data []byte) (int, error) {
	if r.silenceTimeout > 0 {
		if err := r.conn.SetReadDeadline(time.Now().Add(r.silenceTimeout)); err != nil {
			return 0, fmt.Errorf("set read deadline: %w", err)
		}
	}
	return r.conn.Read(data)
}

// Peer returns the remote address.
func (c *Conn) Peer() string { return c.conn.RemoteAddr().String() }

// Close closes the connection; pending operations fail.
func (c *Conn) Close() error { return c.conn.Close() }

// Send writes one value. It fails if the peer takes no part of it for the write timeout.
func (c *Conn) Send(kind Kind, value any) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	c.encoded.Reset()
	if err := c.encoder.Encode(value); err != nil {
		return fmt.Errorf("encode frame to %s: %w", c.Peer(), err)
	}
	frame := binary.AppendUvarint(nil, uint64(c.encoded.Len()))
	frame = append(frame, byte(kind))
	frame = append(frame, c.encoded.Bytes()...)
	if c.encoded.Cap() > readBufferSize*16 {
		c.releaseSendBuffer()
	}
	if err := c.write(frame); err != nil {
		return err
	}
	c.notifyObserver(kind, Sent, len(frame))
	return nil
}

// write writes a frame in chunks and renews the write deadline before each of them.
func (c *Conn) write(frame []byte) error {
	size := len(frame)
	for len(frame) > 0 {
		chunk := frame[:min(len(frame), writeChunk)]
		if err := c.conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return fmt.Errorf("set write deadline to %s: %w", c.Peer(), err)
		}
		if _, err := c.conn.Write(chunk); err != nil {
			return fmt.Errorf("write frame to %s, after %d of %d bytes: %w", c.Peer(), size-len(frame), size, err)
		}
		frame = frame[len(chunk):]
	}
	return nil
}

// releaseSendBuffer drops the send buffer after a large frame.
func (c *Conn) releaseSendBuffer() {
	c.encoded = bytes.Buffer{}
}

// Receive reads one frame. It fails if the peer sends nothing for silenceTimeout, zero for no limit. A frame that
// arrives slowly takes as long as it needs. Decode must be called before the next Receive.
func (c *Conn) Receive(silenceTimeout time.Duration) (Kind, error) {
	c.input.silenceTimeout = silenceTimeout
	if silenceTimeout <= 0 {
		if err := c.setReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
	return c.readFrame(c.maxFrame)
}

// ReceiveAtMost reads one frame of at most maxFrame bytes, all of which must arrive within timeout. Decode must be
// called before the next Receive.
func (c *Conn) ReceiveAtMost(timeout time.Duration, maxFrame int) (Kind, error) {
	c.input.silenceTimeout = 0
	if err := c.setReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.readFrame(maxFrame)
}

func (c *Conn) setReadDeadline(deadline time.Time) error {
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline for %s: %w", c.Peer(), err)
	}
	return nil
}

// readFrame reads one frame of at most maxFrame bytes into the receive buffer.
func (c *Conn) readFrame(maxFrame int) (Kind, error) {
	length, err := binary.ReadUvarint(c.reader)
	if err != nil {
		return 0, fmt.Errorf("read frame from %s: %w", c.Peer(), err)
	}
	if length == 0 || length > uint64(maxFrame) {
		return 0, fmt.Errorf("frame of %d bytes from %s, at most %d: %w", length, c.Peer(), maxFrame, ErrFrameTooLarge)
	}
	kind, err := c.reader.ReadByte()
	if err != nil {
		return 0, fmt.Errorf("read frame kind from %s: %w", c.Peer(), err)
	}
	c.received.Reset()
	if c.received.Cap() > readBufferSize*16 {
		c.received = bytes.Buffer{}
	}
	if received, err := io.CopyN(&c.received, c.reader, int64(length)); err != nil {
		return 0, fmt.Errorf("read frame body from %s, after %d of %d bytes: %w", c.Peer(), received, length, err)
	}
	c.notifyObserver(Kind(kind), Received, int(length)+1+uvarintSize(length))
	return Kind(kind), nil
}

// Decode decodes the value of the last received frame. It fails if the frame has trailing bytes.
func (c *Conn) Decode(value any) error {
	if err := c.decoder.Decode(value); err != nil {
		return fmt.Errorf("decode frame from %s: %w", c.Peer(), err)
	}
	if c.received.Len() > 0 {
		return fmt.Errorf("decode frame from %s: %d bytes left over", c.Peer(), c.received.Len())
	}
	return nil
}

func (c *Conn) notifyObserver(kind Kind, direction Direction, size int) {
	if c.observe != nil {
		c.observe(kind, direction, size)
	}
}

func uvarintSize(value uint64) int {
	return len(binary.AppendUvarint(nil, value))
}
