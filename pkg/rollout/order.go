package rollout

import (
	"errors"
	"slices"
	"time"
)

// Why an order is refused. Nothing changes by a refused order.
var (
	// ErrInvalid is an order without a service, a version or a duration.
	ErrInvalid = errors.New("a rollout names a service, a version and a positive duration")
	// ErrUnknownService is an order for a service that is neither configured nor registered.
	ErrUnknownService = errors.New("no such service")
	// ErrNothingToDo is an order for a version that runs already as the only one.
	ErrNothingToDo = errors.New("the version runs already as the only one")
	// ErrUnderWay is an order that is under way already: same service, version and duration.
	ErrUnderWay = errors.New("this rollout is under way")
	// ErrConflict is an order for a service that has another rollout under way.
	ErrConflict = errors.New("another rollout of the service is under way")
	// ErrNotRunning is a stop of a rollout that does not run.
	ErrNotRunning = errors.New("no rollout of the service is under way")
)

// maxDuration bounds an order's duration: one that is longer is a mistake of units.
const maxDuration = 7 * 24 * time.Hour

// Order is what an operator asks for.
type Order struct {
	Service  string
	Version  string
	Duration time.Duration
}

// Check returns why an order is refused, nil if it may start. Held is the service's newest rollout, nil
// if it had none; known is set if the service is configured or has back ends; present are the versions of
// its back ends, those that leave left out. Back ends of the version may come before the order or after it.
func Check(order Order, held *Rollout, known bool, present []string) error {
	if order.Service == "" || order.Version == "" || order.Duration <= 0 || order.Duration > maxDuration {
		return ErrInvalid
	}
	if held != nil && !held.Phase.Ended() {
		if held.Version == order.Version && held.Duration == order.Duration {
			return ErrUnderWay
		}
		return ErrConflict
	}
	if !known {
		return ErrUnknownService
	}
	others := slices.ContainsFunc(present, func(v string) bool { return v != order.Version })
	if !others && len(present) > 0 {
		return ErrNothingToDo
	}
	return nil
}

// Start returns the state of an order that Check let pass.
func Start(order Order, held *Rollout, now time.Time) Rollout {
	r := Rollout{
		Service:       order.Service,
		Version:       order.Version,
		Number:        1,
		Duration:      order.Duration,
		AtMillis:      now.UnixMilli(),
		ShareAtMillis: now.UnixMilli(),
		Phase:         Running,
		Share:         canaryShare,
		Reason:        "ordered",
	}
	if held != nil {
		r.Number = held.Number + 1
	}
	return r
}

// Stop returns the state after an operator's order to stop: the rollout is rolled back.
func Stop(held *Rollout, now time.Time) (Rollout, error) {
	if held == nil || (held.Phase != Running && held.Phase != Closing) {
		return Rollout{}, ErrNotRunning
	}
	return revert(*held, now, "stopped by the operator"), nil
}

// revert returns the step that takes all calls from the new version.
func revert(held Rollout, now time.Time, reason string) Rollout {
	next := held
	next.Step++
	next.Phase, next.Share, next.Reason = Reverting, 0, reason
	next.ShareAtMillis = now.UnixMilli()
	return next
}
