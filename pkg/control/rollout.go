package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/operator"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/rollout"

	"github.com/go-kit/log"
)

const (
	// rolloutInterval is the interval at which the leader evaluates active rollouts, and at which other
	// replicas forward reports from nodes.
	rolloutInterval = 250 * time.Millisecond
	// rolloutIdleInterval is the interval of evaluations while no rollout is active.
	rolloutIdleInterval = time.Minute
)

// enqueueRolloutReports queues reports and drops them if the queue is full: nodes repeat them.
func (s *Server) enqueueRolloutReports(reports []protocol.RolloutReport) {
	select {
	case s.rolloutReports <- reports:
	default:
		s.logger.Log("event", "rollout_reports_dropped", "reports", len(reports), "reason", "too much at once")
	}
}

// notifyRollouts records rollout steps of the new state and wakes the controller if a rollout is active. It
// runs on the event loop.
func (s *Server) notifyRollouts() {
	table := s.replica.State().Orders
	s.rolloutHistory.record(table)
	if !hasActiveRollout(table) {
		return
	}
	select {
	case s.rolloutsChanged <- struct{}{}:
	default:
	}
}

func hasActiveRollout(table *orders.Table) bool {
	return slices.ContainsFunc(table.AllRollouts(), func(r rollout.Rollout) bool { return !r.Phase.Ended() })
}

// runRollouts advances rollouts while this replica leads, and forwards reports to the leader otherwise. It
// sleeps while no rollout is active.
func (s *Server) runRollouts(ctx context.Context) {
	c := &rolloutController{server: s}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case reports := <-s.rolloutReports:
			c.pendingReports = protocol.MergeRolloutReports(c.pendingReports, reports)
			if !c.idle {
				continue
			}
		case <-s.rolloutsChanged:
			if !c.idle {
				continue
			}
		case <-timer.C:
		}
		wait := rolloutIdleInterval
		c.idle = !c.runOnce(ctx)
		if !c.idle {
			wait = rolloutInterval
		}
		timer.Reset(wait)
	}
}

// rolloutController evaluates rollouts. Only one goroutine uses it. Its state may be lost on a change of
// leader: reports count from the order on, and decisions are in the log.
type rolloutController struct {
	server *Server
	// pendingReports were received since the last evaluation.
	pendingReports []protocol.RolloutReport
	// idle is set while no rollout is active.
	idle bool
	// leadingSince is when runOnce first found that this replica leads, zero while it doesn't.
	leadingSince   time.Time
	activeRollouts map[string]*activeRollout
}

// activeRollout is the evaluation state of one active rollout.
type activeRollout struct {
	number  uint64
	judge   *rollout.Judge
	reports map[string]nodeReport
}

// nodeReport is a node's latest report with its time of receipt.
type nodeReport struct {
	protocol.RolloutReport
	at time.Time
}

// runOnce evaluates all rollouts once and reports whether any is active.
func (c *rolloutController) runOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, backgroundProposalTimeout)
	defer cancel()
	reports := c.pendingReports
	c.pendingReports = nil
	var state *distribution.State
	leading := false
	err := c.server.runOnLoop(ctx, func(now time.Duration) {
		node := c.server.replica.Node()
		state = c.server.replica.State()
		leading = node.LeaseValid(now) && c.server.replica.Applied() >= node.Commit() && c.server.minMemberLevel() >= catalog.LevelOrders
		if !leading && node.Leader() != node.ID() && len(reports) > 0 {
			c.server.peers.announce(node.Leader(), protocol.Announce{Rollouts: reports})
		}
	})
	if err != nil {
		return true
	}
	if !leading {
		c.activeRollouts, c.leadingSince = nil, time.Time{}
		c.server.rolloutObservations.Store(nil)
		return hasActiveRollout(state.Orders)
	}
	now := time.Now()
	if c.leadingSince.IsZero() {
		c.leadingSince = now
	}
	c.syncActive(state.Orders)
	for _, report := range reports {
		c.recordReport(now, report)
	}
	c.evaluateAll(ctx, now, state)
	return len(c.activeRollouts) > 0
}

// evaluateAll evaluates the active rollouts, and keeps the latest observation of those that ended.
func (c *rolloutController) evaluateAll(ctx context.Context, now time.Time, state *distribution.State) {
	var previous map[string]rolloutObservation
	if current := c.server.rolloutObservations.Load(); current != nil {
		previous = *current
	}
	observations := maps.Clone(previous)
	if observations == nil {
		observations = map[string]rolloutObservation{}
	}
	for service := range c.activeRollouts {
		current, _ := state.Orders.RolloutOf(service)
		observations[service] = rolloutObservation{number: current.Number, RolloutSeen: c.evaluate(ctx, now, current, state.Endpoints[service])}
	}
	c.server.rolloutObservations.Store(&observations)
}

// rolloutObservation is the data of the leader's latest evaluation of one rollout.
type rolloutObservation struct {
	operator.RolloutSeen
	number uint64
}

// syncActive adds newly started rollouts and drops ended or replaced ones.
func (c *rolloutController) syncActive(table *orders.Table) {
	next := map[string]*activeRollout{}
	for _, current := range table.AllRollouts() {
		if current.Phase.Ended() {
			continue
		}
		active := c.activeRollouts[current.Service]
		if active == nil || active.number != current.Number {
			active = &activeRollout{number: current.Number, judge: rollout.NewJudge(c.server.settings.Rollouts.Policy(), current), reports: map[string]nodeReport{}}
		}
		next[current.Service] = active
	}
	c.activeRollouts = next
}

// recordReport stores a node's report.
func (c *rolloutController) recordReport(now time.Time, report protocol.RolloutReport) {
	active := c.activeRollouts[report.Service]
	if active == nil || active.number != report.Number {
		return
	}
	active.reports[report.Node] = nodeReport{RolloutReport: report, at: now}
	if report.Gate != nil {
		active.judge.AddReport(now, *report.Gate)
	}
}

// evaluate proposes the next step if one is due, and returns the data behind the decision.
func (c *rolloutController) evaluate(ctx context.Context, now time.Time, current rollout.Rollout, endpoints map[string]distribution.Endpoint) operator.RolloutSeen {
	active := c.activeRollouts[current.Service]
	view := active.view(now, c.leadingSince, current, endpoints)
	observation := summarize(current, view, active.reports)
	next, changed := active.judge.Next(now, current, view)
	if !changed {
		return observation
	}
	began := time.Now()
	_, err := c.server.propose(ctx, catalog.Command{Orders: &orders.Change{Rollout: &rollout.Change{Rollout: next}}})
	if err != nil || next.Phase != current.Phase || next.Share != current.Share {
		c.server.logRolloutStep(current, next, observation, time.Since(began), err)
	}
	return observation
}

// view returns which nodes and gates have confirmed the current step, and for how long each was silent.
func (a *activeRollout) view(now, leadingSince time.Time, current rollout.Rollout, endpoints map[string]distribution.Endpoint) rollout.View {
	var view rollout.View
	gates := map[string]nodeReport{}
	for _, node := range a.reports {
		view.NodeStates = append(view.NodeStates, rollout.NodeState{Name: node.Node, Confirmed: node.confirms(current), SinceLastContact: now.Sub(node.at)})
		if node.Gate != nil {
			gates[node.Gate.Instance] = node
		}
	}
	for _, endpoint := range endpoints {
		if endpoint.State != distribution.Live {
			continue
		}
		state := rollout.GateState{Instance: endpoint.ID, Version: endpoint.Version, SinceLastContact: now.Sub(leadingSince)}
		if node, found := gates[endpoint.ID]; found {
			state.Life, state.Confirmed, state.AtWork, state.SinceLastContact = node.Gate.Life, node.confirms(current), node.AtWork, now.Sub(node.at)
		}
		view.Gates = append(view.Gates, state)
	}
	return view
}

// confirms reports whether the node has applied the current step.
func (n nodeReport) confirms(current rollout.Rollout) bool {
	return n.Number == current.Number && n.Phase == current.Phase && n.Share == current.Share
}

// logRolloutStep logs a step with the data behind the decision.
func (s *Server) logRolloutStep(current, next rollout.Rollout, observation operator.RolloutSeen, took time.Duration, err error) {
	logger := log.With(s.logger, "event", "rollout_step", "service", next.Service, "target", next.Version, "number", next.Number, "step", next.Step)
	logger.Log("phase_before", current.Phase, "phase_now", next.Phase, "share_before", current.Share, "share_now", next.Share, "reason", next.Reason,
		"age", time.Since(time.UnixMilli(next.AtMillis)).Round(time.Millisecond), "granted", next.Exposed(), "admitted", observation.New.Admitted,
		"reached", observation.New.Admitted+observation.Old.Admitted, "new_failed", observation.New.Failed, "new_answered", observation.New.Answered,
		"old_failed", observation.Old.Failed, "old_answered", observation.Old.Answered, "nodes", observation.Nodes, "nodes_confirmed", observation.NodesConfirmed,
		"gates", observation.Gates, "gates_confirmed", observation.GatesConfirmed, "took", took.Round(time.Millisecond), "error", err)
	for _, route := range observation.Routes {
		logger.Log("route", route.Route, "new_failed", route.New.Failed, "new_answered", route.New.Answered, "new_median", route.New.Median,
			"old_failed", route.Old.Failed, "old_answered", route.Old.Answered, "old_median", route.Old.Median)
	}
}
