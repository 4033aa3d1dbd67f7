package control

import (
	"context"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/orders"
)

// Order proposes a change of the orders and returns once it is committed. It is idempotent. The error is
// a *catalog.OperationError.
func (s *Server) Order(ctx context.Context, change orders.Change) (catalog.Result, error) {
	return s.OrderFunc(ctx, func(*orders.Table) orders.Change { return change })
}

// OrderFunc is Order for a change that is built on the event loop from the current orders. The change is
// always proposed, even if it matches the current state, because a conflicting one may be in flight.
func (s *Server) OrderFunc(ctx context.Context, build func(current *orders.Table) orders.Change) (catalog.Result, error) {
	began := time.Now()
	built := make(chan orders.Change, 1)
	result, err := s.proposeFunc(ctx, func() catalog.Command {
		change := build(s.replica.State().Orders)
		built <- change
		return catalog.Command{Orders: &change}
	})
	// The channel is empty if the event loop didn't run the function in time.
	var change orders.Change
	select {
	case change = <-built:
	default:
	}
	fields := append([]any{"event", "order"}, change.Fields()...)
	s.logger.Log(append(fields, "revision", result.Revision, "took", time.Since(began).Round(time.Millisecond), "error", err)...)
	return result, err
}
