package wire

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// AcceptAll hands each connection of a listener to serve, in a goroutine of its own,
// until the listener is closed. The error is nil if that was because the context ended.
func AcceptAll(ctx context.Context, listener net.Listener, group *sync.WaitGroup, serve func(context.Context, net.Conn)) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept on %s: %w", listener.Addr(), err)
		}
		group.Go(func() { serve(ctx, conn) })
	}
}
