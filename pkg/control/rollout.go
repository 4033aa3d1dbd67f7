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
	// rolloutLook is how often the leader judges rollouts under way, and replicas that do not lead pass
	// on what nodes reported meanwhile.
	rolloutLook = 250 * time.Millisecond
	// rolloutIdle is how often a replica looks though it was told of nothing.
	rolloutIdle = time.Minute
)

// takeRollouts takes in what nodes report of rollouts. They report again soon, so that some may be dropped.
func (s *Server) takeRollouts(reports []protocol.RolloutReport) {
	select {
	case s.rolloutReports <- reports:
	default:
		s.logger.Log("event", "rollout_reports_dropped", "reports", len(reports), "reason", "too much at once")
	}
}

// noteRollouts takes in that the state has changed. It runs in the driver's goroutine.
func (s *Server) noteRollouts() {
	table := s.replica.State().Orders
	s.rolloutHistory.note(table)
	if !underWay(table) {
		return
	}
	select {
	case s.rolloutSteps <- struct{}{}:
	default:
	}
}

func underWay(table *orders.Table) bool {
	return slices.ContainsFunc(table.AllRollouts(), func(r rollout.Rollout) bool { return !r.Phase.Ended() })
}

// conductRollouts moves rollouts on for as long as this replica leads; any other passes on what it hears
// to the leader. It sleeps while there are none.
func (s *Server) conductRollouts(ctx context.Context) {
	c := &conductor{server: s}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case reports := <-s.rolloutReports:
			c.waiting = protocol.NewestRollouts(c.waiting, reports)
			if !c.idle {
				continue
			}
		case <-s.rolloutSteps:
			if !c.idle {
				continue
			}
		case <-timer.C:
		}
		wait := rolloutIdle
		c.idle = !c.turn(ctx)
		if !c.idle {
			wait = rolloutLook
		}
		timer.Reset(wait)
	}
}

// conductor judges rollouts. Only its goroutine uses it. All that it holds can be lost: reports count from
// the order on, and what it decided is in the log.
type conductor struct {
	server *Server
	// waiting are reports that came since the last turn.
	waiting []protocol.RolloutReport
	// idle is set while no rollout is under way.
	idle bool
	// leading is since when this replica leads, by this goroutine's looks.
	leading time.Time
	judges  map[string]*judged
}

// judged is one rollout under way.
type judged struct {
	number uint64
	judge  *rollout.Judge
	heard  map[string]heardNode
}

// heardNode is what one node reported last.
type heardNode struct {
	protocol.RolloutReport
	at time.Time
}

// turn judges all rollouts once and reports whether there are any under way.
func (c *conductor) turn(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reports := c.waiting
	c.waiting = nil
	var state *distribution.State
	leading := false
	err := c.server.inspect(ctx, func(now time.Duration) {
		node := c.server.replica.Node()
		state = c.server.replica.State()
		leading = node.LeaseValid(now) && c.server.replica.Applied() >= node.Commit() && c.server.commonLevel() >= catalog.LevelOrders
		if !leading && node.Leader() != node.ID() && len(reports) > 0 {
			c.server.peers.announce(node.Leader(), protocol.Announce{Rollouts: reports})
		}
	})
	if err != nil {
		return true
	}
	if !leading {
		c.judges, c.leading = nil, time.Time{}
		c.server.rolloutSeen.Store(nil)
		return underWay(state.Orders)
	}
	now := time.Now()
	if c.leading.IsZero() {
		c.leading = now
	}
	c.follow(state.Orders)
	for _, report := range reports {
		c.take(now, report)
	}
	c.judgeAll(ctx, now, state)
	return len(c.judges) > 0
}

// judgeAll judges the rollouts under way, and keeps what the others were judged by last.
func (c *conductor) judgeAll(ctx context.Context, now time.Time, state *distribution.State) {
	var before map[string]seenRollout
	if held := c.server.rolloutSeen.Load(); held != nil {
		before = *held
	}
	seen := maps.Clone(before)
	if seen == nil {
		seen = map[string]seenRollout{}
	}
	for service := range c.judges {
		held, _ := state.Orders.RolloutOf(service)
		seen[service] = seenRollout{number: held.Number, RolloutSeen: c.judge(ctx, now, held, state.Endpoints[service])}
	}
	c.server.rolloutSeen.Store(&seen)
}

// seenRollout is what the leader went by last in one rollout.
type seenRollout struct {
	operator.RolloutSeen
	number uint64
}

// follow keeps judges of just the rollouts that are under way.
func (c *conductor) follow(table *orders.Table) {
	next := map[string]*judged{}
	for _, held := range table.AllRollouts() {
		if held.Phase.Ended() {
			continue
		}
		j := c.judges[held.Service]
		if j == nil || j.number != held.Number {
			j = &judged{number: held.Number, judge: rollout.NewJudge(c.server.settings.Rollouts.Policy(), held), heard: map[string]heardNode{}}
		}
		next[held.Service] = j
	}
	c.judges = next
}

// take keeps a node's report.
func (c *conductor) take(now time.Time, report protocol.RolloutReport) {
	j := c.judges[report.Service]
	if j == nil || j.number != report.Number {
		return
	}
	j.heard[report.Node] = heardNode{RolloutReport: report, at: now}
	if report.Gate != nil {
		j.judge.Take(now, *report.Gate)
	}
}

// judge proposes the step that is due, and returns what it went by.
func (c *conductor) judge(ctx context.Context, now time.Time, held rollout.Rollout, endpoints map[string]distribution.Endpoint) operator.RolloutSeen {
	j := c.judges[held.Service]
	view := j.view(now, c.leading, held, endpoints)
	shown := summarize(held, view, j.heard)
	next, changed := j.judge.Next(now, held, view)
	if !changed {
		return shown
	}
	began := time.Now()
	_, err := c.server.propose(ctx, catalog.Command{Orders: &orders.Change{Rollout: &rollout.Change{Rollout: next}}})
	if err != nil || next.Phase != held.Phase || next.Share != held.Share {
		c.server.logRolloutStep(held, next, shown, time.Since(began), err)
	}
	return shown
}

// view is what the leader knows of who has heard of a step.
func (j *judged) view(now, leading time.Time, held rollout.Rollout, endpoints map[string]distribution.Endpoint) rollout.View {
	var view rollout.View
	gates := map[string]heardNode{}
	for _, node := range j.heard {
		view.Holders = append(view.Holders, rollout.Holder{Name: node.Node, Confirmed: node.confirms(held), Silent: now.Sub(node.at)})
		if node.Gate != nil {
			gates[node.Gate.Instance] = node
		}
	}
	for _, endpoint := range endpoints {
		if endpoint.State != distribution.Live {
			continue
		}
		state := rollout.GateState{Instance: endpoint.ID, Version: endpoint.Version, Silent: now.Sub(leading)}
		if node, found := gates[endpoint.ID]; found {
			state.Life, state.Confirmed, state.AtWork, state.Silent = node.Gate.Life, node.confirms(held), node.AtWork, now.Sub(node.at)
		}
		view.Gates = append(view.Gates, state)
	}
	return view
}

// confirms reports whether the node goes by the held step.
func (n heardNode) confirms(held rollout.Rollout) bool {
	return n.Number == held.Number && n.Phase == held.Phase && n.Share == held.Share
}

// logRolloutStep logs a step with its inputs.
func (s *Server) logRolloutStep(held, next rollout.Rollout, seen operator.RolloutSeen, took time.Duration, err error) {
	logger := log.With(s.logger, "event", "rollout_step", "service", next.Service, "target", next.Version, "number", next.Number, "step", next.Step)
	logger.Log("phase_before", held.Phase, "phase_now", next.Phase, "share_before", held.Share, "share_now", next.Share, "reason", next.Reason,
		"age", time.Since(time.UnixMilli(next.AtMillis)).Round(time.Millisecond), "granted", next.Exposed(), "admitted", seen.New.Admitted,
		"reached", seen.New.Admitted+seen.Old.Admitted, "new_failed", seen.New.Failed, "new_answered", seen.New.Answered,
		"old_failed", seen.Old.Failed, "old_answered", seen.Old.Answered, "nodes", seen.Nodes, "nodes_confirmed", seen.NodesConfirmed,
		"gates", seen.Gates, "gates_confirmed", seen.GatesConfirmed, "took", took.Round(time.Millisecond), "error", err)
	for _, route := range seen.Routes {
		logger.Log("route", route.Route, "new_failed", route.New.Failed, "new_answered", route.New.Answered, "new_median", route.New.Median,
			"old_failed", route.Old.Failed, "old_answered", route.Old.Answered, "old_median", route.Old.Median)
	}
}
