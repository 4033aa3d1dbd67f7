package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/rollout"
)

// orderResendWindow is how long an order that equals the newest one counts as a resend, in case the rollout
// ended before the operator received a response. It exceeds the retries of an operator's client.
const orderResendWindow = 10 * time.Second

// rolloutErrorCodes maps reasons for rejecting an order to error codes.
var rolloutErrorCodes = map[error]catalog.Code{
	rollout.ErrInvalid:         catalog.CodeInvalidRequest,
	rollout.ErrUnknownService:  catalog.CodeUnknownService,
	rollout.ErrAlreadyComplete: catalog.CodeNothingToDo,
	rollout.ErrConflict:        catalog.CodeRolloutConflict,
	rollout.ErrNotRunning:      catalog.CodeNoRollout,
	errEarlierRelease:          catalog.CodeUnavailable,
}

// rolloutOperationError returns the operation error for a rejected order.
func rolloutOperationError(service string, err error) error {
	for known, code := range rolloutErrorCodes {
		if errors.Is(err, known) {
			return newOperationError(code, "service %q: %v", service, err)
		}
	}
	return err
}

// StartRollout commits a rollout order and returns the rollout. It is idempotent. The error is a
// *catalog.OperationError.
func (s *Server) StartRollout(ctx context.Context, order rollout.Order) (rollout.Rollout, error) {
	current, done, err := s.checkRollout(ctx, order)
	if err != nil {
		s.logger.Log("event", "order_refused", "order", "rollout", "service", order.Service, "version", order.Version, "duration", order.Duration, "reason", err)
	}
	if done || err != nil {
		return current, err
	}
	_, err = s.OrderFunc(ctx, func(table *orders.Table) orders.Change {
		return orders.Change{Rollout: &rollout.Change{Rollout: rollout.Start(order, latestRollout(table, order.Service), time.Now())}}
	})
	if err != nil {
		return rollout.Rollout{}, err
	}
	// If two orders are proposed at once, only one takes effect.
	current, done, err = s.checkRollout(ctx, order)
	if err == nil && !done {
		err = newOperationError(catalog.CodeUnknownOutcome, "service %q: the order did not take effect", order.Service)
	}
	return current, err
}

// checkRollout returns the current rollout of the service and whether the order was committed already, or
// the error that rejects the order.
func (s *Server) checkRollout(ctx context.Context, order rollout.Order) (current rollout.Rollout, done bool, err error) {
	var rejection error
	err = s.readAwaitingLease(ctx, func(time.Duration) {
		state := s.replica.State()
		latest := latestRollout(state.Orders, order.Service)
		if latest != nil {
			current = *latest
		}
		if s.minContentLevel() < catalog.LevelOrders {
			rejection = errEarlierRelease
			return
		}
		if done = isResend(order, latest, time.Now()); !done {
			rejection = rollout.Check(order, latest, serviceExists(state, order.Service), liveVersions(state.Endpoints[order.Service]))
		}
	})
	if err == nil && errors.Is(rejection, rollout.ErrAlreadyRunning) {
		return current, true, nil
	}
	if err == nil && rejection != nil {
		err = rolloutOperationError(order.Service, rejection)
	}
	return current, done, err
}

// errEarlierRelease rejects rollouts because gates of an earlier release don't enforce the exposure.
var errEarlierRelease = errors.New("a replica or a node runs a release that does not know rollouts: upgrade it first")

// isResend reports whether an order equals the newest one, which has ended recently.
func isResend(order rollout.Order, current *rollout.Rollout, now time.Time) bool {
	return current != nil && current.Phase.Ended() && current.Version == order.Version && current.Duration == order.Duration &&
		now.Sub(time.UnixMilli(current.AtMillis)) < orderResendWindow
}

// StopRollout commits the rollback of a service's active rollout. It is idempotent. The error is a
// *catalog.OperationError.
func (s *Server) StopRollout(ctx context.Context, service string) (rollout.Rollout, error) {
	// A concurrent step of the leader invalidates the stop, so it is retried.
	for range maxStopAttempts {
		var current *rollout.Rollout
		err := s.readAwaitingLease(ctx, func(time.Duration) { current = latestRollout(s.replica.State().Orders, service) })
		if err != nil {
			return rollout.Rollout{}, err
		}
		if current != nil && (current.Phase == rollout.Reverting || current.Phase == rollout.RolledBack) {
			return *current, nil
		}
		next, err := rollout.Stop(current, time.Now())
		if err != nil {
			return rollout.Rollout{}, rolloutOperationError(service, err)
		}
		if _, err := s.Order(ctx, orders.Change{Rollout: &rollout.Change{Rollout: next}}); err != nil {
			return rollout.Rollout{}, err
		}
	}
	return rollout.Rollout{}, newOperationError(catalog.CodeUnavailable, "service %q: the rollout moves on too fast; try again", service)
}

// maxStopAttempts bounds the proposals of a stop that concurrent steps invalidate.
const maxStopAttempts = 5

// LatestRollout returns a service's newest committed rollout, false if there was none. It fails if this replica
// can't rule out a newer state. The error is a *catalog.OperationError.
func (s *Server) LatestRollout(ctx context.Context, service string) (current rollout.Rollout, found bool, err error) {
	err = s.readAwaitingLease(ctx, func(time.Duration) { current, found = s.replica.State().Orders.RolloutOf(service) })
	return current, found, err
}

func latestRollout(table *orders.Table, service string) *rollout.Rollout {
	current, found := table.RolloutOf(service)
	if !found {
		return nil
	}
	return &current
}

// serviceExists reports whether a service is configured or has back ends.
func serviceExists(state *distribution.State, service string) bool {
	if len(state.Endpoints[service]) > 0 {
		return true
	}
	if state.Active == nil {
		return false
	}
	_, found := state.Active.Content.Service(service)
	return found
}

// liveVersions returns the distinct versions of the live back ends.
func liveVersions(endpoints map[string]distribution.Endpoint) []string {
	var versions []string
	for _, endpoint := range endpoints {
		if endpoint.State == distribution.Live && !slices.Contains(versions, endpoint.Version) {
			versions = append(versions, endpoint.Version)
		}
	}
	return versions
}
