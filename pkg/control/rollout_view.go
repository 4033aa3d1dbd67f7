package control

import (
	"cmp"
	"slices"
	"sync"

	"bramblelift/pkg/operator"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/rollout"
)

// summarize adds up what nodes have told.
func summarize(held rollout.Rollout, view rollout.View, heard map[string]heardNode) operator.RolloutSeen {
	seen := operator.RolloutSeen{Nodes: len(view.Holders), Gates: len(view.Gates)}
	for _, holder := range view.Holders {
		if holder.Confirmed {
			seen.NodesConfirmed++
		}
	}
	for _, gate := range view.Gates {
		if gate.Confirmed {
			seen.GatesConfirmed++
		}
		if held.Phase == rollout.Closing && gate.Version != held.Version && (!gate.Confirmed || gate.AtWork > 0) {
			if seen.Open == nil {
				seen.Open = map[string]int{}
			}
			seen.Open[gate.Instance] = gate.AtWork
		}
	}
	addReports(&seen, held, heard)
	return seen
}

// sums are the counts of one side of a route.
type sums struct {
	answered, failed uint64
	times            rollout.Times
}

func (s *sums) add(count rollout.RouteCount) {
	s.answered += count.Answered
	s.failed += count.Failed
	for i, n := range count.Times {
		s.times[i] += n
	}
}

func (s *sums) side() operator.RolloutSide {
	return operator.RolloutSide{Answered: s.answered, Failed: s.failed, Median: s.times.Median()}
}

func addReports(v *operator.RolloutSeen, held rollout.Rollout, heard map[string]heardNode) {
	type sides struct{ new, old sums }
	routes := map[string]*sides{}
	var all sides
	for _, node := range heard {
		if node.Gate == nil {
			continue
		}
		target := node.Gate.Version == held.Version
		if target {
			v.New.Admitted += node.Gate.Admitted
		} else {
			v.Old.Admitted += node.Gate.Admitted
		}
		for _, count := range node.Gate.Routes {
			route := routes[count.Route]
			if route == nil {
				route = &sides{}
				routes[count.Route] = route
			}
			if target {
				route.new.add(count)
				all.new.add(count)
			} else {
				route.old.add(count)
				all.old.add(count)
			}
		}
	}
	for name, route := range routes {
		v.Routes = append(v.Routes, operator.RolloutRoute{Route: name, New: route.new.side(), Old: route.old.side()})
	}
	slices.SortFunc(v.Routes, func(a, b operator.RolloutRoute) int { return cmp.Compare(a.Route, b.Route) })
	newAdmitted, oldAdmitted := v.New.Admitted, v.Old.Admitted
	v.New, v.Old = all.new.side(), all.old.side()
	v.New.Admitted, v.Old.Admitted = newAdmitted, oldAdmitted
}

// maxRolloutSteps bounds the steps that are kept of each service for people.
const maxRolloutSteps = 64

// rolloutHistory keeps the steps of rollouts that this replica has applied since it started. It is safe for
// concurrent use.
type rolloutHistory struct {
	mu    sync.Mutex
	table *orders.Table
	steps map[string][]rollout.Rollout
}

// note takes in the newest orders.
func (h *rolloutHistory) note(table *orders.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if table == h.table {
		return
	}
	for _, now := range table.AllRollouts() {
		before, found := h.table.RolloutOf(now.Service)
		if found && before.Number == now.Number && before.Phase == now.Phase && before.Share == now.Share {
			continue
		}
		if h.steps == nil {
			h.steps = map[string][]rollout.Rollout{}
		}
		// What gates were granted is not a step of its own.
		now.Grants, now.Spent = nil, now.Exposed()
		steps := append(h.steps[now.Service], now)
		h.steps[now.Service] = steps[max(0, len(steps)-maxRolloutSteps):]
	}
	h.table = table
}

func (h *rolloutHistory) of(service string) []rollout.Rollout {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.steps[service])
}
