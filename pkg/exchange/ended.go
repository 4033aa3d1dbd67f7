package exchange

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"bramblelift/pkg/roundtrip"
)

// BackendCrashed reports whether an exchange with a back end failed because the back end's process
// exited. A probe connection decides, within limit: a process that has exited refuses connections,
// while one that aborted a response or reset connections still listens. Without a response to the
// probe the back end counts as running.
func BackendCrashed(ctx context.Context, address string, cause error, limit time.Duration) bool {
	if roundtrip.FaultOf(cause) == roundtrip.FaultOtherRequest {
		return false
	}
	// The HTTP transport may have retried on another connection.
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return true
	}
	dialer := net.Dialer{Timeout: limit}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
