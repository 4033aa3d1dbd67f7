package wire

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is after how long without an acknowledgement sent bytes end their
// connection. A machine that loses power or is cut off says nothing, and TCP alone would
// hold on to it for minutes.
const userTimeout = 1500 * time.Millisecond

// keepAlive finds out that an idle peer is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a connection between two processes of the system.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: SetUserTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen opens a listener for connections between processes of the system.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: SetUserTimeout, KeepAliveConfig: keepAlive}
	return config.Listen(context.Background(), "tcp", address)
}

// SetUserTimeout is a Control function for dialers and listeners.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
