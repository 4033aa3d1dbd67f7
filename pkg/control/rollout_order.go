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

// orderResend is for how long an order that equals the newest one is taken for the same, sent again: the
// rollout may have ended before its sender heard that it began. It outlasts any resend of an operator.
const orderResend = 10 * time.Second

// codesOfRollout translate why an order is refused.
var codesOfRollout = map[error]catalog.Code{
	rollout.ErrInvalid:        catalog.CodeInvalidRequest,
	rollout.ErrUnknownService: catalog.CodeUnknownService,
	rollout.ErrNothingToDo:    catalog.CodeNothingToDo,
	rollout.ErrConflict:       catalog.CodeRolloutConflict,
	rollout.ErrNotRunning:     catalog.CodeNoRollout,
	errEarlierRelease:         catalog.CodeUnavailable,
}

// refuseRollout makes a refusal of an order.
func refuseRollout(service string, err error) error {
	for known, code := range codesOfRollout {
		if errors.Is(err, known) {
			return refuse(code, "service %q: %v", service, err)
		}
	}
	return err
}

// StartRollout has a rollout agreed on and returns once it is committed. Sent again it changes nothing. The
// error is a *catalog.OperationError.
func (s *Server) StartRollout(ctx context.Context, order rollout.Order) (rollout.Rollout, error) {
	held, done, err := s.checkRollout(ctx, order)
	if err != nil {
		s.logger.Log("event", "order_refused", "order", "rollout", "service", order.Service, "version", order.Version, "duration", order.Duration, "reason", err)
	}
	if done || err != nil {
		return held, err
	}
	_, err = s.OrderBuilt(ctx, func(table *orders.Table) orders.Change {
		return orders.Change{Rollout: &rollout.Change{Rollout: rollout.Start(order, newest(table, order.Service), time.Now())}}
	})
	if err != nil {
		return rollout.Rollout{}, err
	}
	// Of two orders at once one is void.
	held, done, err = s.checkRollout(ctx, order)
	if err == nil && !done {
		err = refuse(catalog.CodeUnknownOutcome, "service %q: the order did not take effect", order.Service)
	}
	return held, err
}

// checkRollout returns the rollout that an order asks for and whether it was taken already, or why it is
// refused.
func (s *Server) checkRollout(ctx context.Context, order rollout.Order) (held rollout.Rollout, done bool, err error) {
	var refused error
	err = s.readOnceLeased(ctx, func(time.Duration) {
		state := s.replica.State()
		before := newest(state.Orders, order.Service)
		if before != nil {
			held = *before
		}
		if s.contentLevel() < catalog.LevelOrders {
			refused = errEarlierRelease
			return
		}
		if done = sentAgain(order, before, time.Now()); !done {
			refused = rollout.Check(order, before, knowsService(state, order.Service), versionsOf(state.Endpoints[order.Service]))
		}
	})
	if err == nil && errors.Is(refused, rollout.ErrUnderWay) {
		return held, true, nil
	}
	if err == nil && refused != nil {
		err = refuseRollout(order.Service, refused)
	}
	return held, done, err
}

// errEarlierRelease: a gate beside a node of an earlier release lets everything into a new version.
var errEarlierRelease = errors.New("a replica or a node runs a release that does not know rollouts: upgrade it first")

// sentAgain reports whether an order is the newest one, sent again after it has ended.
func sentAgain(order rollout.Order, held *rollout.Rollout, now time.Time) bool {
	return held != nil && held.Phase.Ended() && held.Version == order.Version && held.Duration == order.Duration &&
		now.Sub(time.UnixMilli(held.AtMillis)) < orderResend
}

// StopRollout has a rollout taken back, and returns once that is committed. The error is a
// *catalog.OperationError.
func (s *Server) StopRollout(ctx context.Context, service string) (rollout.Rollout, error) {
	// The leader's own steps may come in between: the stop is void then.
	for range stopTries {
		var held *rollout.Rollout
		err := s.readOnceLeased(ctx, func(time.Duration) { held = newest(s.replica.State().Orders, service) })
		if err != nil {
			return rollout.Rollout{}, err
		}
		if held != nil && (held.Phase == rollout.Reverting || held.Phase == rollout.RolledBack) {
			return *held, nil
		}
		next, err := rollout.Stop(held, time.Now())
		if err != nil {
			return rollout.Rollout{}, refuseRollout(service, err)
		}
		if _, err := s.Order(ctx, orders.Change{Rollout: &rollout.Change{Rollout: next}}); err != nil {
			return rollout.Rollout{}, err
		}
	}
	return rollout.Rollout{}, refuse(catalog.CodeUnavailable, "service %q: the rollout moves on too fast; try again", service)
}

// stopTries is how often a stop is proposed that other steps made void.
const stopTries = 5

// Rollout returns a service's newest rollout as it is committed, false if it never had one. It fails where
// a newer state could exist. The error is a *catalog.OperationError.
func (s *Server) Rollout(ctx context.Context, service string) (held rollout.Rollout, found bool, err error) {
	err = s.readOnceLeased(ctx, func(time.Duration) { held, found = s.replica.State().Orders.RolloutOf(service) })
	return held, found, err
}

func newest(table *orders.Table, service string) *rollout.Rollout {
	held, found := table.RolloutOf(service)
	if !found {
		return nil
	}
	return &held
}

// knowsService reports whether a service is configured or has back ends.
func knowsService(state *distribution.State, service string) bool {
	if len(state.Endpoints[service]) > 0 {
		return true
	}
	if state.Active == nil {
		return false
	}
	_, found := state.Active.Content.Service(service)
	return found
}

// versionsOf returns the versions of the back ends that do not leave.
func versionsOf(endpoints map[string]distribution.Endpoint) []string {
	var versions []string
	for _, endpoint := range endpoints {
		if endpoint.State == distribution.Live && !slices.Contains(versions, endpoint.Version) {
			versions = append(versions, endpoint.Version)
		}
	}
	return versions
}
