package stream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// errSlowServer reports an attempt that goes on while the next one begins.
var errSlowServer = errors.New("the server has not accepted the subscription yet")

// maxOpenAttempts bounds the attempts of an opener that are under way at a time.
const maxOpenAttempts = 6

// opener opens a session at the first of several servers that completes the handshake. Its attempts overlap: on a
// busy link a handshake takes longer than it pays to wait for a server that is down. It is used by one goroutine.
type opener struct {
	client *Client
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// attempts are those under way, the oldest first.
	attempts []*openAttempt
	results  chan openResult
}

// openAttempt is one attempt to open a session.
type openAttempt struct {
	address string
	// interval is how long to wait for the attempt before the next one.
	interval time.Duration
}

// openResult is the outcome of an attempt: a session or an error.
type openResult struct {
	attempt *openAttempt
	session *clientSession
	err     error
}

func newOpener(ctx context.Context, c *Client) *opener {
	o := &opener{client: c, results: make(chan openResult)}
	o.ctx, o.cancel = context.WithCancel(ctx)
	return o
}

// full reports whether no further attempt may begin.
func (o *opener) full() bool { return len(o.attempts) >= maxOpenAttempts }

// start begins an attempt in the background.
func (o *opener) start(address string) *openAttempt {
	attempt := &openAttempt{address: address, interval: o.client.dialInterval()}
	o.client.unansweredDials.Add(1)
	o.attempts = append(o.attempts, attempt)
	o.wg.Go(func() {
		session, err := o.client.openSession(o.ctx, address)
		select {
		case o.results <- openResult{attempt: attempt, session: session, err: err}:
		case <-o.ctx.Done():
			session.close()
		}
	})
	return attempt
}

// await returns the first session that is opened within a duration. It returns the error of the given attempt, which may
// be nil, once that has failed, and neither if the duration has passed. Servers of other attempts that fail are marked as
// unreachable.
func (o *opener) await(limit time.Duration, attempt *openAttempt) (*clientSession, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return nil, o.ctx.Err()
		case <-timer.C:
			return nil, nil
		case result := <-o.results:
			switch session := o.finish(result); {
			case session != nil:
				return session, nil
			case result.attempt == attempt:
				return nil, result.err
			}
			o.reportFailure(result)
		}
	}
}

// awaitAll returns the first session that one of the attempts under way opens, nil if all fail.
func (o *opener) awaitAll() *clientSession {
	for len(o.attempts) > 0 && o.ctx.Err() == nil {
		if session, _ := o.await(o.attempts[0].interval, nil); session != nil {
			return session
		}
	}
	return nil
}

// awaitRoom waits until another attempt may begin. It returns the first session that is opened meanwhile.
func (o *opener) awaitRoom() *clientSession {
	for o.full() && o.ctx.Err() == nil {
		if session, _ := o.await(o.attempts[0].interval, nil); session != nil {
			return session
		}
	}
	return nil
}

// finish removes an attempt that has ended and returns its session, nil if it failed.
func (o *opener) finish(result openResult) *clientSession {
	o.attempts = slices.DeleteFunc(o.attempts, func(a *openAttempt) bool { return a == result.attempt })
	if result.err == nil {
		return result.session
	}
	return nil
}

// reportFailure marks the server of a failed attempt as unreachable.
func (o *opener) reportFailure(result openResult) {
	o.client.selector.MarkUnreachable(o.client.config.Now(), result.attempt.address)
	o.client.config.Logger.Log("event", "subscription_failed", "server", result.attempt.address, "error", result.err)
}

// stop cancels the attempts under way and waits for their end.
func (o *opener) stop() {
	o.cancel()
	o.wg.Wait()
}
