package pipeline

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerDisconnected reports whether the caller has reset the connection, or has closed it and no input is unread,
// as seen by the kernel. The reader may not have noticed yet, because it reads one request after the other.
func (c *conn) callerDisconnected() bool {
	n, err := c.peekSocket()
	return (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// inputPending reports whether the kernel holds input that the reader has not read.
func (c *conn) inputPending() bool {
	n, err := c.peekSocket()
	return n > 0 && err == nil
}

// errNoSocket means that a connection has no socket of the kernel.
var errNoSocket = errors.New("not a socket")

// peekSocket reads at most one byte without consuming it and without waiting.
func (c *conn) peekSocket() (n int, err error) {
	ctlErr := c.controlSocket(func(fd uintptr) { n, err = peekOne(fd) })
	if ctlErr != nil {
		return 0, ctlErr
	}
	return n, err
}

// awaitReadable waits until the kernel holds input, the caller has closed its side or the read deadline has passed.
func (c *conn) awaitReadable() error {
	raw, err := c.rawConn()
	if err != nil {
		_, err := c.reader.Peek(1)
		return err
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) (done bool) {
		n, peekErr = peekOne(fd)
		return peekErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return err
	case peekErr != nil:
		return fmt.Errorf("read from %s: %w", c.rwc.RemoteAddr(), peekErr)
	case n == 0:
		return io.EOF
	}
	return nil
}

// peekOne reads at most one byte without consuming it and without waiting.
func peekOne(fd uintptr) (n int, err error) {
	var next [1]byte
	for {
		n, _, err = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// sendAtOnce sends data if the socket takes it without waiting.
func (c *conn) sendAtOnce(data []byte) {
	raw, err := c.rawConn()
	if err != nil || c.rwc.SetWriteDeadline(time.Time{}) != nil {
		return
	}
	_ = raw.Write(func(fd uintptr) (done bool) {
		_, _ = syscall.Write(int(fd), data)
		return true
	})
}

// unacknowledged returns how many sent bytes the peer's kernel has not acknowledged, or false if that is not known.
func (c *conn) unacknowledged() (n int, known bool) {
	var err error
	ctlErr := c.controlSocket(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, ctlErr == nil && err == nil
}

// controlSocket calls use with the connection's file descriptor.
func (c *conn) controlSocket(use func(fd uintptr)) error {
	raw, err := c.rawConn()
	if err != nil {
		return err
	}
	return raw.Control(use)
}

func (c *conn) rawConn() (syscall.RawConn, error) {
	socket, ok := c.rwc.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

// acceptPending reports whether the kernel holds established connections of a listener.
func acceptPending(l net.Listener) bool {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}
