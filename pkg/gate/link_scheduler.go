package gate

import (
	"sync"
	"time"
)

const (
	// minBodyShare is the minimum share of the link's rate for large bodies, whatever other traffic
	// uses.
	minBodyShare = 0.1
	// maxReservation limits the link time of one body; no call's deadline is later.
	maxReservation = time.Hour
	// linkSlack is how long a large body or response may wait for the link even if it will be late
	// or its sender allows no wait: about the transfer time of one other large body on a link that
	// is not overloaded.
	linkSlack = 300 * time.Millisecond
	// workMargin multiplies the expected service time in the estimate whether a call that waits for
	// the link meets its target.
	workMargin = 1.3
)

// linkScheduler schedules large bodies one after the other on one direction of the link, and
// rejects those that would be late before they are sent. It is safe for concurrent use; nil is an
// unlimited link.
type linkScheduler struct {
	// rate is the link's rate in bytes per second. Bodies get what other traffic leaves of the
	// usable share, at most share. usable allows for packet headers, which are not counted.
	rate, share, usable float64
	// otherTraffic returns the rate of all other traffic in bytes per second.
	otherTraffic func(now time.Duration) float64

	mu sync.Mutex
	// busyUntil is when the last reservation ends.
	busyUntil time.Duration
}

// newLinkScheduler returns a scheduler for a link with the given rate in bytes per second, nil if
// the rate is zero. otherTraffic returns the rate of all traffic other than large bodies.
func newLinkScheduler(rate, share, usable float64, otherTraffic func(now time.Duration) float64) *linkScheduler {
	if rate <= 0 {
		return nil
	}
	return &linkScheduler{rate: rate, share: share, usable: usable, otherTraffic: otherTraffic}
}

// availableRate returns the rate for large bodies in bytes per second.
func (l *linkScheduler) availableRate(now time.Duration) float64 {
	left := l.usable*l.rate - l.otherTraffic(now)
	return min(l.share*l.rate, max(minBodyShare*l.rate, left))
}

// duration returns how long the transfer of a body takes.
func (l *linkScheduler) duration(now time.Duration, size int64) time.Duration {
	seconds := float64(size) / l.availableRate(now)
	return time.Duration(min(seconds, maxReservation.Seconds()) * float64(time.Second))
}

// reserve reserves link time for a body and returns when its transfer may start, false if that is
// after maxWait.
func (l *linkScheduler) reserve(now time.Duration, size int64, maxWait time.Duration) (due time.Duration, ok bool) {
	if l == nil {
		return now, true
	}
	return l.reserveFor(now, l.duration(now, size), maxWait)
}

// reserveFor is reserve for a transfer of the given duration.
func (l *linkScheduler) reserveFor(now, duration, maxWait time.Duration) (due time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	due = max(l.busyUntil, now)
	if due-now > maxWait {
		return 0, false
	}
	l.busyUntil = due + duration
	return due, true
}

// adjust extends the reserved time, or shortens it if by is negative, and returns the new end.
func (l *linkScheduler) adjust(now, by time.Duration) (busyUntil time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busyUntil = max(l.busyUntil, now) + by
	return l.busyUntil
}

// wait returns how long the next body waits for the link.
func (l *linkScheduler) wait(now time.Duration) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.busyUntil-now)
}
