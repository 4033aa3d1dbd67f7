package proxy

import (
	"bramblelift/pkg/orders"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/rollout"
)

// followRollouts takes in the orders that gate and callers go by now, tells control, which waits for all
// nodes to have them, and logs the steps.
func (s *Server) followRollouts(table *orders.Table) {
	before := s.orders.Swap(table)
	if table == nil || table == before {
		return
	}
	for _, now := range table.Rollouts {
		held, _ := before.RolloutOf(now.Service)
		if held.Number != now.Number || held.Phase != now.Phase || held.Share != now.Share {
			s.logRollout(now)
			s.client.PingSoon()
		}
	}
}

func (s *Server) logRollout(r rollout.Rollout) {
	s.logger.Log("event", "rollout", "service", r.Service, "target", r.Version, "number", r.Number, "step", r.Step, "phase", r.Phase.String(),
		"share", r.Share, "granted", r.Exposed(), "reason", r.Reason)
}

// rolloutReports returns what control is to hear of the rollouts under way, nothing while there is none.
func (s *Server) rolloutReports() []protocol.RolloutReport {
	table := s.orders.Load()
	if table == nil {
		return nil
	}
	var reports []protocol.RolloutReport
	for _, r := range table.Rollouts {
		if !r.Phase.Ended() {
			reports = append(reports, s.rolloutReport(r))
		}
	}
	return reports
}

func (s *Server) rolloutReport(r rollout.Rollout) protocol.RolloutReport {
	report := protocol.RolloutReport{Node: s.settings.Name, Service: r.Service, Number: r.Number, Phase: r.Phase, Share: r.Share}
	if s.gate == nil {
		return report
	}
	if seen, underWay := s.gate.RolloutReport(); underWay && seen.Service == r.Service && seen.Number == r.Number {
		seen.Zone = s.settings.Zone
		report.Gate, report.AtWork = &seen.Report, seen.AtWork
		if seen.Reopened {
			// The node does not go by the closing: control must not take its gate for closed.
			report.Phase = rollout.Running
		}
	}
	return report
}
