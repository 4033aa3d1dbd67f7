package control

import (
	"cmp"
	"slices"
	"sync"

	"bramblelift/pkg/operator"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/rollout"
)

// summarize aggregates the nodes' reports of a rollout.
func summarize(current rollout.Rollout, view rollout.View, reports map[string]nodeReport) operator.RolloutSeen {
	observation := operator.RolloutSeen{Nodes: len(view.NodeStates), Gates: len(view.Gates)}
	for _, node := range view.NodeStates {
		if node.Confirmed {
			observation.NodesConfirmed++
		}
	}
	for _, gate := range view.Gates {
		if gate.Confirmed {
			observation.GatesConfirmed++
		}
		if current.Phase == rollout.Closing && gate.Version != current.Version && (!gate.Confirmed || gate.AtWork > 0) {
			if observation.Open == nil {
				observation.Open = map[string]int{}
			}
			observation.Open[gate.Instance] = gate.AtWork
		}
	}
	addReports(&observation, current, reports)
	return observation
}

// sideCounts are the summed counts of one side of a rollout, for one route or all.
type sideCounts struct {
	answered, failed uint64
	times            rollout.Times
}

func (s *sideCounts) add(count rollout.RouteCount) {
	s.answered += count.Answered
	s.failed += count.Failed
	for i, n := range count.Times {
		s.times[i] += n
	}
}

func (s *sideCounts) side() operator.RolloutSide {
	return operator.RolloutSide{Answered: s.answered, Failed: s.failed, Median: s.times.Median()}
}

func addReports(observation *operator.RolloutSeen, current rollout.Rollout, reports map[string]nodeReport) {
	type sides struct{ new, old sideCounts }
	routes := map[string]*sides{}
	var all sides
	for _, node := range reports {
		if node.Gate == nil {
			continue
		}
		target := node.Gate.Version == current.Version
		if target {
			observation.New.Admitted += node.Gate.Admitted
		} else {
			observation.Old.Admitted += node.Gate.Admitted
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
		observation.Routes = append(observation.Routes, operator.RolloutRoute{Route: name, New: route.new.side(), Old: route.old.side()})
	}
	slices.SortFunc(observation.Routes, func(a, b operator.RolloutRoute) int { return cmp.Compare(a.Route, b.Route) })
	newAdmitted, oldAdmitted := observation.New.Admitted, observation.Old.Admitted
	observation.New, observation.Old = all.new.side(), all.old.side()
	observation.New.Admitted, observation.Old.Admitted = newAdmitted, oldAdmitted
}

// maxRolloutSteps bounds the steps kept for each service.
const maxRolloutSteps = 64

// rolloutHistory holds the rollout steps that this replica has applied since it started. It is safe for
// concurrent use.
type rolloutHistory struct {
	mu    sync.Mutex
	table *orders.Table
	steps map[string][]rollout.Rollout
}

// record appends the steps that differ from the previous orders.
func (h *rolloutHistory) record(table *orders.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if table == h.table {
		return
	}
	for _, current := range table.AllRollouts() {
		previous, found := h.table.RolloutOf(current.Service)
		if found && previous.Number == current.Number && previous.Phase == current.Phase && previous.Share == current.Share {
			continue
		}
		if h.steps == nil {
			h.steps = map[string][]rollout.Rollout{}
		}
		// Grants are omitted: a change of grants alone isn't a step.
		current.Grants, current.Spent = nil, current.Exposed()
		steps := append(h.steps[current.Service], current)
		h.steps[current.Service] = steps[max(0, len(steps)-maxRolloutSteps):]
	}
	h.table = table
}

func (h *rolloutHistory) of(service string) []rollout.Rollout {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.steps[service])
}
