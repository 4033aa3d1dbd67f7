package control

import (
	"context"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/orders"
)

// Order has a change of the orders agreed on, and returns once it is committed: it then outlives what a
// configuration outlives. Taken again it changes nothing. The error is a *catalog.OperationError.
func (s *Server) Order(ctx context.Context, change orders.Change) (catalog.Result, error) {
	return s.OrderBuilt(ctx, func(*orders.Table) orders.Change { return change })
}

// OrderBuilt is Order for a change that is built from the orders as this replica holds them, in the
// driver's goroutine. An order goes through the log even if it seems to be in force: one that takes it
// back may be under way.
func (s *Server) OrderBuilt(ctx context.Context, build func(held *orders.Table) orders.Change) (catalog.Result, error) {
	began := time.Now()
	built := make(chan orders.Change, 1)
	result, err := s.proposeBuilt(ctx, func() catalog.Command {
		change := build(s.replica.State().Orders)
		built <- change
		return catalog.Command{Orders: &change}
	})
	// A replica that is too busy may not have got to it.
	var change orders.Change
	select {
	case change = <-built:
	default:
	}
	fields := append([]any{"event", "order"}, change.Fields()...)
	s.logger.Log(append(fields, "revision", result.Revision, "took", time.Since(began).Round(time.Millisecond), "error", err)...)
	return result, err
}
