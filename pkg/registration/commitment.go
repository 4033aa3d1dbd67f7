package registration

import (
	"context"
	"fmt"
)

// Commitment is fulfilled once the control plane has recorded that an incarnation of a back end leaves. From then on
// no restart of the node or the control plane makes it live again. The nil Commitment is fulfilled.
type Commitment chan struct{}

func newCommitment() Commitment { return make(Commitment) }

// Fulfilled reports whether the commitment is fulfilled.
func (c Commitment) Fulfilled() bool {
	if c == nil {
		return true
	}
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Wait waits until the commitment is fulfilled, and returns the context's error if it ends first.
func (c Commitment) Wait(ctx context.Context) error {
	if c.Fulfilled() {
		return nil
	}
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fulfill may be called repeatedly, but not concurrently.
func (c Commitment) fulfill() {
	if !c.Fulfilled() {
		close(c)
	}
}

// drainCommitment returns the commitment on which the acknowledgement of a heartbeat depends.
func (r *Registry) drainCommitment(h Heartbeat) (Commitment, error) {
	if h.State == Ready {
		return nil, nil
	}
	entry, found := r.backends[h.ID]
	if found && entry.heartbeat.incarnation() == h.incarnation() && entry.heartbeat.State != Ready {
		return entry.leaving, nil
	}
	if left, departed := r.departureOf(h); departed && !left.replaced && !found {
		return nil, nil
	}
	return nil, fmt.Errorf("draining heartbeat %d of %s, started at %s: %w", h.Sequence, h.ID, h.Born, ErrSuperseded)
}
