package control

import (
	"context"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/machinelist"
)

// pollPlatform polls the platform's machine list while this replica leads, so that only one replica
// requests it.
func (s *Server) pollPlatform(ctx context.Context) {
	if s.settings.PlatformURL == "" {
		return
	}
	tracker := &machinelist.Tracker{}
	reader := machinelist.NewReader(s.http, s.settings.PlatformURL)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(s.settings.PlatformInterval)):
		}
		current, leading := s.endpointsIfLeading(ctx)
		if !leading {
			tracker = &machinelist.Tracker{}
			continue
		}
		list, err := reader.Read(ctx)
		s.recordPlatformError(err)
		if err != nil {
			continue
		}
		changes := tracker.Changes(current, list)
		if len(changes) > 0 {
			s.proposeEndpoints(ctx, changes)
		}
	}
}

// endpointsIfLeading returns the endpoints, and whether this replica leads with a valid lease.
func (s *Server) endpointsIfLeading(ctx context.Context) (distribution.EndpointTable, bool) {
	var current distribution.EndpointTable
	leading := false
	err := s.runOnLoop(ctx, func(now time.Duration) {
		leading = s.replica.Node().LeaseValid(now)
		current = s.replica.State().Endpoints
	})
	return current, leading && err == nil
}

func (s *Server) proposeEndpoints(ctx context.Context, changes []distribution.Endpoint) {
	result, err := s.propose(ctx, catalog.Command{Endpoints: &catalog.Endpoints{Changes: changes}})
	s.logger.Log("event", "endpoints_changed", "changes", len(changes), "revision", result.Revision, "error", err)
}

// recordPlatformError stores the latest poll error and logs when the list becomes unreadable or readable.
func (s *Server) recordPlatformError(err error) {
	previous := s.platformError.Load()
	if err == nil {
		if previous != nil {
			s.platformError.Store(nil)
			s.logger.Log("event", "platform_list_readable")
		}
		return
	}
	text := err.Error()
	s.platformError.Store(&text)
	if previous == nil {
		s.logger.Log("event", "platform_list_unreadable", "error", err)
	}
}
