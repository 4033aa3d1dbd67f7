package proxy

import (
	"bramblelift/pkg/orders"
	"bramblelift/pkg/rollout"
)

// followRollouts puts the rollouts of the orders in force at the gate, and logs their steps.
func (s *Server) followRollouts(table *orders.Table) {
	if table == s.orders {
		return
	}
	before := s.orders
	s.orders = table
	if table == nil {
		return
	}
	if s.gate != nil {
		s.gate.SetRollouts(table.Rollouts)
	}
	for _, now := range table.Rollouts {
		held, _ := before.RolloutOf(now.Service)
		if held.Number != now.Number || held.Phase != now.Phase || held.Share != now.Share {
			s.logRollout(now)
		}
	}
}

func (s *Server) logRollout(r rollout.Rollout) {
	s.logger.Log("event", "rollout", "service", r.Service, "target", r.Version, "number", r.Number, "phase", r.Phase.String(),
		"share", r.Share, "quota", r.Quota, "reason", r.Reason)
}
