package rollout

import (
	"errors"
	"slices"
	"time"
)

// Errors of rejected orders. A rejected order changes nothing.
var (
	// ErrInvalid rejects an order that lacks a service or a version, or whose duration is not positive or
	// is too long.
	ErrInvalid = errors.New("a rollout names a service, a version and a positive duration")
	// ErrUnknownService rejects an order for a service that is neither configured nor registered.
	ErrUnknownService = errors.New("no such service")
	// ErrAlreadyComplete rejects an order for a version that is already the only one running.
	ErrAlreadyComplete = errors.New("the version runs already as the only one")
	// ErrAlreadyRunning rejects an order identical to the running one: same service, version and duration.
	ErrAlreadyRunning = errors.New("this rollout is under way")
	// ErrConflict rejects an order for a service with another running rollout.
	ErrConflict = errors.New("another rollout of the service is under way")
	// ErrNotRunning rejects a stop if no rollout of the service can be stopped.
	ErrNotRunning = errors.New("no rollout of the service is under way")
)

// maxDuration bounds an order's duration to catch mistakes of units.
const maxDuration = 7 * 24 * time.Hour

// Order is an operator's request to roll out a version of a service within a duration.
type Order struct {
	Service  string
	Version  string
	Duration time.Duration
}

// Check returns the error that rejects an order, nil if it may start. held is the service's newest rollout
// or nil; known is set if the service is configured or has back ends; present lists the versions of its
// back ends that are not leaving. The new version's back ends may start before or after the order.
func Check(order Order, held *Rollout, known bool, present []string) error {
	if order.Service == "" || order.Version == "" || order.Duration <= 0 || order.Duration > maxDuration {
		return ErrInvalid
	}
	if held != nil && !held.Phase.Ended() {
		if held.Version == order.Version && held.Duration == order.Duration {
			return ErrAlreadyRunning
		}
		return ErrConflict
	}
	if !known {
		return ErrUnknownService
	}
	others := slices.ContainsFunc(present, func(v string) bool { return v != order.Version })
	if !others && len(present) > 0 {
		return ErrAlreadyComplete
	}
	return nil
}

// Start returns the initial state of an order accepted by Check.
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

// Stop returns the step that rolls back a running rollout on an operator's request, or ErrNotRunning.
func Stop(held *Rollout, now time.Time) (Rollout, error) {
	if held == nil || (held.Phase != Running && held.Phase != Closing) {
		return Rollout{}, ErrNotRunning
	}
	return revert(*held, now, "stopped by the operator"), nil
}

// revert returns the step that moves all calls back to the old versions.
func revert(held Rollout, now time.Time, reason string) Rollout {
	next := held
	next.Step++
	next.Phase, next.Share, next.Reason = Reverting, 0, reason
	next.ShareAtMillis = now.UnixMilli()
	return next
}
