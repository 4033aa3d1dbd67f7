package pipeline

import (
	"errors"
	"net"
	"syscall"

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
	ctlErr := c.controlSocket(func(fd int) {
		var next [1]byte
		n, _, err = syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if ctlErr != nil {
		return 0, ctlErr
	}
	return n, err
}

// unacknowledged returns how many sent bytes the peer's kernel has not acknowledged, or false if that is not known.
func (c *conn) unacknowledged() (n int, known bool) {
	var err error
	ctlErr := c.controlSocket(func(fd int) { n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n, ctlErr == nil && err == nil
}

// controlSocket calls use with the connection's file descriptor.
func (c *conn) controlSocket(use func(fd int)) error {
	socket, ok := c.rwc.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) })
}
