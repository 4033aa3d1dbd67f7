package registration

import "context"

// Record is closed once the control plane has recorded that an incarnation of a back end leaves. From then on no
// restart of the node or of the control plane makes it live again. A nil Record counts as made.
type Record chan struct{}

func newRecord() Record { return make(Record) }

// Recorded reports whether the control plane has made the record.
func (r Record) Recorded() bool {
	if r == nil {
		return true
	}
	select {
	case <-r:
		return true
	default:
		return false
	}
}

// Wait waits for the record, and returns the context's error if it ends first.
func (r Record) Wait(ctx context.Context) error {
	if r.Recorded() {
		return nil
	}
	select {
	case <-r:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// markRecorded may be called repeatedly, but not concurrently.
func (r Record) markRecorded() {
	if !r.Recorded() {
		close(r)
	}
}
