package proxy

import (
	"bramblelift/pkg/orders"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/rollout"
)

// applyRollouts stores the new orders, logs each changed rollout step and reports it: the control plane waits
// until all nodes confirm a step.
func (s *Server) applyRollouts(table *orders.Table) {
	oldTable := s.orders.Swap(table)
	if table == nil || table == oldTable {
		return
	}
	for _, current := range table.Rollouts {
		previous, _ := oldTable.RolloutOf(current.Service)
		if previous.Number != current.Number || previous.Phase != current.Phase || previous.Share != current.Share {
			s.logRollout(current)
			s.controlClient.PingSoon()
		}
	}
}

func (s *Server) logRollout(r rollout.Rollout) {
	s.logger.Log("event", "rollout", "service", r.Service, "target", r.Version, "number", r.Number, "step", r.Step, "phase", r.Phase.String(),
		"share", r.Share, "granted", r.Exposed(), "reason", r.Reason)
}

// rolloutReports returns this node's reports on the rollouts that have not ended.
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
	if observed, active := s.gate.RolloutReport(); active && observed.Service == r.Service && observed.Number == r.Number {
		observed.Zone = s.settings.Zone
		report.Gate, report.AtWork = &observed.Report, observed.AtWork
		if observed.Reopened {
			// This gate ignores the order to close: the control plane must not count it as closed.
			report.Phase = rollout.Running
		}
	}
	return report
}
