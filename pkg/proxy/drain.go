package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/pipeline"
)

const (
	// StopTimeout / drainReserveDivisor is reserved for draining calls, of which StopTimeout / answerReserveDivisor for
	// the responses of calls that the stop cancels.
	drainReserveDivisor  = 5
	answerReserveDivisor = 20
	// idleBeforeStop is how long a stopping node must receive no call before it closes.
	idleBeforeStop = time.Second
	minIdlePoll    = 100 * time.Millisecond
	// minAnswerTime is what canceled calls have for their responses at least, if the process was paused.
	minAnswerTime = 200 * time.Millisecond
	// drainPollInterval is the interval at which drain checks for calls at the gate.
	drainPollInterval = 20 * time.Millisecond
)

// Errors of a stop that timed out.
var (
	errCallsCanceled  = errors.New("calls were canceled")
	errUnacknowledged = errors.New("responses are not acknowledged")
)

// stopSchedule holds the times of a graceful stop, as readings of the node's clock.
type stopSchedule struct {
	began time.Duration
	// closeGateAt is when the node begins to reject the calls of other nodes.
	closeGateAt time.Duration
	// drainBy is when it drains at the latest.
	drainBy time.Duration
	// cancelAt is when it cancels the calls that are left.
	cancelAt time.Duration
	// endAt is when it closes the connections that are left.
	endAt time.Duration
}

func newStopSchedule(now, callerNotice, timeout time.Duration) stopSchedule {
	endAt := now + timeout
	drainBy := endAt - timeout/drainReserveDivisor
	return stopSchedule{
		began: now, closeGateAt: min(now+callerNotice, drainBy), drainBy: drainBy,
		cancelAt: endAt - timeout/answerReserveDivisor, endAt: endAt,
	}
}

// drainableServer is a server that knows which requests it has received and not completed. Shutdown returns when there
// are none, CancelRequests makes their handlers respond, and Close aborts them.
type drainableServer interface {
	Shutdown(ctx context.Context) error
	CancelRequests() int
	Pending() pipeline.Pending
	Close() error
}

// drain shuts the callers' server and those of gates down until the deadline of ctx, and then cancels the calls that are
// left, whose responses have the time of reserve after that. It returns errCallsCanceled if a call was canceled, since its
// outcome may be unknown, and errUnacknowledged if a response was not acknowledged in time.
func drain(ctx context.Context, reserve time.Duration, callers drainableServer, gates ...drainableServer) error {
	if shutdown(ctx, callers, gates) == nil {
		return nil
	}
	servers := append([]drainableServer{callers}, gates...)
	canceled := 0
	for _, server := range servers {
		canceled += server.CancelRequests()
	}
	cancelAt, _ := ctx.Deadline()
	endAt := cancelAt.Add(reserve)
	if earliest := time.Now().Add(minAnswerTime); endAt.Before(earliest) {
		endAt = earliest
	}
	last, cancel := context.WithDeadline(context.Background(), endAt)
	defer cancel()
	_ = shutdown(last, callers, gates)
	left := pendingOf(servers)
	for _, server := range servers {
		_ = server.Close()
	}
	switch {
	case canceled > 0:
		return fmt.Errorf("%d canceled, %d without a response: %w", canceled, left.Requests, errCallsCanceled)
	case left.Unacknowledged > 0:
		return fmt.Errorf("%d connections: %w", left.Unacknowledged, errUnacknowledged)
	}
	return nil
}

// shutdown shuts gates down, and the callers' server once no call is at a gate, or half of the time is over: the back end
// beside the node may still make calls of its own for one.
func shutdown(ctx context.Context, callers drainableServer, gates []drainableServer) error {
	results := make([]error, len(gates))
	var wg sync.WaitGroup
	for i, gate := range gates {
		wg.Go(func() { results[i] = gate.Shutdown(ctx) })
	}
	awaitNoRequests(ctx, gates)
	err := callers.Shutdown(ctx)
	wg.Wait()
	return errors.Join(append(results, err)...)
}

// awaitNoRequests waits until servers have no requests, for half of the time until the deadline of ctx at most.
func awaitNoRequests(ctx context.Context, servers []drainableServer) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for pendingOf(servers).Requests > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pendingOf returns what servers have received and not completed.
func pendingOf(servers []drainableServer) pipeline.Pending {
	var all pipeline.Pending
	for _, server := range servers {
		p := server.Pending()
		all.Connections += p.Connections
		all.Receiving += p.Receiving
		all.Requests += p.Requests
		all.Unacknowledged += p.Unacknowledged
	}
	return all
}

// stop gives callers time to move to other nodes, then drains the calls in flight.
func (s *Server) stop() error {
	schedule := newStopSchedule(s.clock.Elapsed(), time.Duration(s.settings.CallerNotice), time.Duration(s.settings.StopTimeout))
	s.callsEndBy.Store(int64(schedule.cancelAt))
	s.stopping.Store(true)
	s.callerServer.AnnounceClose()
	s.logPending("stopping", schedule)
	s.sleepUntil(schedule.closeGateAt)
	s.stopGate()
	s.awaitNoNewCalls(schedule)
	s.logPending("draining", schedule)
	ctx, cancel := context.WithTimeout(context.Background(), schedule.cancelAt-s.clock.Elapsed())
	defer cancel()
	err := drain(ctx, schedule.endAt-schedule.cancelAt, s.callerServer, s.gateServers()...)
	s.closePlatformServer()
	s.logPending("stopped", schedule, "error", err)
	if err != nil {
		return fmt.Errorf("calls in flight did not finish within %s: %w", time.Duration(s.settings.StopTimeout), err)
	}
	return nil
}

// logPending logs a step of the stop with what is not completed at that time.
func (s *Server) logPending(event string, schedule stopSchedule, more ...any) {
	p := pendingOf(append(s.gateServers(), s.callerServer))
	line := []any{
		"event", event, "took", (s.clock.Elapsed() - schedule.began).Round(time.Millisecond), "connections", p.Connections,
		"receiving", p.Receiving, "calls", p.Requests, "unacknowledged", p.Unacknowledged,
	}
	_ = s.logger.Log(append(line, more...)...)
}

func (s *Server) sleepUntil(at time.Duration) {
	time.Sleep(at - s.clock.Elapsed())
}

// awaitNoNewCalls keeps the node open until no call has arrived for idleBeforeStop, or the time
// reserved for draining begins: callers may have no other node. With a gate but no back end it always
// waits until then.
func (s *Server) awaitNoNewCalls(schedule stopSchedule) {
	hasBackend := s.gate != nil && s.gate.Present()
	for s.clock.Elapsed() < schedule.drainBy {
		idle := s.clock.Elapsed() - time.Duration(s.lastCallAt.Load())
		if idle >= idleBeforeStop && (s.gate == nil || hasBackend) {
			return
		}
		time.Sleep(min(max(idleBeforeStop-idle, minIdlePoll), schedule.drainBy-s.clock.Elapsed()))
	}
}

// callsEndByTime returns when the calls of a stopping node must have ended, zero unless it is stopping.
func (s *Server) callsEndByTime() time.Duration { return time.Duration(s.callsEndBy.Load()) }

// closeNoticeToNodes returns the headers of the response that closes an idle connection of another node.
func closeNoticeToNodes() http.Header {
	return http.Header{exchange.HeaderOutcome: {string(exchange.NotRun)}, exchange.HeaderReason: {string(exchange.ReasonStopping)}}
}
