package proxy

import (
	"time"

	"bramblelift/pkg/quota"
)

// applyQuotaShares applies this node's shares of tenants' limits, as computed by the control plane.
// requestedAt is the reading of the node's clock when it requested them.
func (s *Server) applyQuotaShares(requestedAt time.Duration, shares quota.Shares) {
	s.quotas.ApplyShares(s.clock.Elapsed(), requestedAt, shares)
}

// quotaReport returns the use of tenants' limits for the control plane, or nil if no tenant has a limit.
func (s *Server) quotaReport() *quota.Report {
	if !s.quotas.HasLimits() {
		return nil
	}
	report := s.quotas.Report(s.clock.Elapsed())
	return &report
}
