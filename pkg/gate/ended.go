package gate

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"bramblelift/pkg/exchange"
)

// endedDialTimeout bounds the look whether a back end still listens. It is on the gate's own
// machine, where a connection takes some 50 microseconds or is refused at once.
const endedDialTimeout = 50 * time.Millisecond

// backendEnded reports whether an exchange broke because the back end's process ended. A back end
// that breaks off one answer, or whose connections were reset, still listens; one that is gone
// refuses connections.
func (g *Gate) backendEnded(ctx context.Context, backend Backend, cause error) bool {
	if errors.Is(cause, exchange.ErrWrongAnswer) {
		return false
	}
	// The HTTP transport may have tried another connection on its own.
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return true
	}
	dialer := net.Dialer{Timeout: endedDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", backend.Address)
	if err == nil {
		conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
