package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bramblelift/pkg/exchange"
	"bramblelift/pkg/forward"
	"bramblelift/pkg/pipeline"
)

const (
	// drainReserveDivisor is the part of StopTimeout that is reserved for draining calls, answerReserveDivisor the part
	// that is reserved for the responses of calls that the stop cancels.
	drainReserveDivisor  = 5
	answerReserveDivisor = 20
	// idleBeforeStop is how long a stopping node must receive no call before it closes.
	idleBeforeStop = time.Second
	minIdlePoll    = 100 * time.Millisecond
	// drainPollInterval is the interval at which drain checks for calls at the gate.
	drainPollInterval = 20 * time.Millisecond
)

// Errors of a stop that timed out.
var (
	errCallsInFlight  = errors.New("calls are still in flight")
	errUnacknowledged = errors.New("responses are not acknowledged")
)

// stopSchedule holds the times of a graceful stop, as readings of the node's clock.
type stopSchedule struct {
	// began is when the stop began. The node rejects calls of other nodes from closesGate on, drains from drainsLatest
	// on at the latest, cancels the calls that are left at cancelsCalls and closes their connections at ends.
	began, closesGate, drainsLatest, cancelsCalls, ends time.Duration
}

func newStopSchedule(now, callerNotice, timeout time.Duration) stopSchedule {
	ends := now + timeout
	drainsLatest := ends - timeout/drainReserveDivisor
	return stopSchedule{
		began: now, closesGate: min(now+callerNotice, drainsLatest), drainsLatest: ends - timeout/drainReserveDivisor,
		cancelsCalls: ends - timeout/answerReserveDivisor, ends: ends,
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

// drain shuts the callers' server and those of gates down until the deadline of ctx, and then cancels the calls that are left, whose
// responses have the time of reserve after that. It returns errCallsInFlight if a call was canceled, since its outcome may be
// unknown, and errUnacknowledged if a response was not acknowledged in time.
func drain(ctx context.Context, reserve time.Duration, callers drainableServer, gates ...drainableServer) error {
	if shutdown(ctx, callers, gates) == nil {
		return nil
	}
	servers := append([]drainableServer{callers}, gates...)
	canceled := 0
	for _, server := range servers {
		canceled += server.CancelRequests()
	}
	canceledAt, _ := ctx.Deadline()
	last, cancel := context.WithDeadline(context.Background(), canceledAt.Add(reserve))
	defer cancel()
	_ = shutdown(last, callers, gates)
	left := pendingOf(servers)
	for _, server := range servers {
		_ = server.Close()
	}
	switch {
	case canceled > 0:
		return fmt.Errorf("%d canceled, %d without a response: %w", canceled, left.Requests, errCallsInFlight)
	case left.Unacknowledged > 0:
		return fmt.Errorf("%d connections: %w", left.Unacknowledged, errUnacknowledged)
	}
	return nil
}

// shutdown shuts gates down, and the callers' server once no call is at a gate: the back end beside the node may still
// make calls of its own for one.
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

// awaitNoRequests waits until servers have no requests or ctx ends.
func awaitNoRequests(ctx context.Context, servers []drainableServer) {
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
	s.stopsAt.Store(int64(schedule.cancelsCalls))
	s.stopping.Store(true)
	s.callerServer.AnnounceClose()
	s.logPending("stopping", schedule)
	s.sleepUntil(schedule.closesGate)
	s.stopGate()
	s.awaitNoNewCalls(schedule)
	s.logPending("draining", schedule)
	ctx, cancel := context.WithTimeout(context.Background(), schedule.cancelsCalls-s.clock.Elapsed())
	defer cancel()
	err := drain(ctx, schedule.ends-schedule.cancelsCalls, s.callerServer, s.gateServers()...)
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
	for s.clock.Elapsed() < schedule.drainsLatest {
		idle := s.clock.Elapsed() - time.Duration(s.lastCallAt.Load())
		if idle >= idleBeforeStop && (s.gate == nil || hasBackend) {
			return
		}
		time.Sleep(min(max(idleBeforeStop-idle, minIdlePoll), schedule.drainsLatest-s.clock.Elapsed()))
	}
}

// stopsAtTime returns when the calls of a stopping node must have ended, zero unless it is stopping.
func (s *Server) stopsAtTime() time.Duration { return time.Duration(s.stopsAt.Load()) }

// closeNoticeToCallers and closeNoticeToNodes hold the headers of the response that closes an idle connection.
func closeNoticeToCallers() http.Header {
	return http.Header{forward.HeaderOutcome: {string(forward.NotRun)}}
}

func closeNoticeToNodes() http.Header {
	return http.Header{exchange.HeaderOutcome: {string(exchange.NotRun)}, exchange.HeaderReason: {string(exchange.ReasonStopping)}}
}
