package pipeline

import (
	"errors"
	"net"
	"syscall"
)

// callerLeft reports whether the caller has closed or reset the connection, as far as the kernel knows. The
// reader may not have come so far: it reads one request after the other.
func (c *conn) callerLeft() bool {
	socket, ok := c.rwc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET)
	})
	return left || errors.Is(err, net.ErrClosed)
}
