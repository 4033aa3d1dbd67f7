package gate

import (
	"sync"
	"time"
)

const (
	// minBodyShare is left for bodies whatever else crosses the link.
	minBodyShare = 0.1
	// maxBooking bounds what one body is given of the link: no call is waited for longer.
	maxBooking = time.Hour
	// bodySlack is for how long a large body, or a large answer, may wait for the link even if it
	// will be late, or its sender asked to be taken at once: about as long as another one takes on a
	// link that is not overloaded.
	bodySlack = 300 * time.Millisecond
	// workMargin is how much longer than expected the work may take if the call of a body that waits
	// for the link is still to be in time.
	workMargin = 1.3
)

// linkRoom shares the rate of the gate's link in one direction among large bodies: those that other
// nodes want to send, or the answers that the node sends. Each gets its time one after the other; what
// would come too late is told so before it is sent, and costs the link nothing. It is safe for
// concurrent use; nil is a link without bound.
type linkRoom struct {
	// rate is the link's in bytes a second. Bodies get share of it at most, and what all else leaves
	// of usable, which is less than all since packets' own heads are not counted.
	rate, share, usable float64
	// others returns at what rate all else crosses the link.
	others func(now time.Duration) float64

	mu sync.Mutex
	// free is when all that was promised has crossed.
	free time.Duration
}

// newLinkRoom returns the room of a link of so many bytes a second, nil for no bound. others returns
// how many bytes a second cross beside the large bodies.
func newLinkRoom(rate, share, usable float64, others func(now time.Duration) float64) *linkRoom {
	if rate <= 0 {
		return nil
	}
	return &linkRoom{rate: rate, share: share, usable: usable, others: others}
}

// room is how many bytes a second of large bodies the link has room for.
func (l *linkRoom) room(now time.Duration) float64 {
	left := l.usable*l.rate - l.others(now)
	return min(l.share*l.rate, max(minBodyShare*l.rate, left))
}

// takes is how long a body keeps its share of the link busy.
func (l *linkRoom) takes(now time.Duration, size int64) time.Duration {
	seconds := float64(size) / l.room(now)
	return time.Duration(min(seconds, maxBooking.Seconds()) * float64(time.Second))
}

// reserve gives a body its time on the link and returns when it may cross, false if that is later
// than patience allows.
func (l *linkRoom) reserve(now time.Duration, size int64, patience time.Duration) (due time.Duration, ok bool) {
	if l == nil {
		return now, true
	}
	return l.book(now, l.takes(now, size), patience)
}

// book is reserve for a body that takes so long.
func (l *linkRoom) book(now, takes, patience time.Duration) (due time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	due = max(l.free, now)
	if due-now > patience {
		return 0, false
	}
	l.free = due + takes
	return due, true
}

// amend makes a booking longer by so much, shorter if that is negative, and returns when all that was
// booked has crossed.
func (l *linkRoom) amend(now, by time.Duration) (free time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = max(l.free, now) + by
	return l.free
}

// wait is how long the next body waits for its time on the link.
func (l *linkRoom) wait(now time.Duration) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.free-now)
}
