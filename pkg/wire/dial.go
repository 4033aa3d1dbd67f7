package wire

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the TCP user timeout: a connection is closed if sent bytes remain unacknowledged
// for this long. Without it, TCP needs minutes to detect a peer that lost power or is cut off.
const userTimeout = 1500 * time.Millisecond

// keepAlive detects idle connections whose peer is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a TCP connection to another process of the system, with keep-alive and user timeout.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: SetUserTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen opens a TCP listener for other processes of the system, with keep-alive and user timeout.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: SetUserTimeout, KeepAliveConfig: keepAlive}
	return config.Listen(context.Background(), "tcp", address)
}

// SetUserTimeout sets the TCP user timeout. It is a Control function for dialers and listeners.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(descriptor uintptr) {
		optErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
