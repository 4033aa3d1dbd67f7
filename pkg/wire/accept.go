package wire

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// AcceptAll calls serve for each connection of a listener, in its own goroutine of the group, until
// the listener is closed. It returns nil if the context has ended by then, otherwise the accept
// error.
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
