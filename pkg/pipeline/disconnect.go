package pipeline

import (
	"errors"
	"net"
	"syscall"
)

// callerDisconnected reports whether the caller has reset the connection, or has closed it and no input is unread,
// as seen by the kernel. The reader may not have noticed yet, because it reads one request after the other.
func (c *conn) callerDisconnected() bool {
	socket, ok := c.rwc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET)
	})
	return disconnected || errors.Is(err, net.ErrClosed)
}
