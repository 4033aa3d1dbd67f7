package control

import (
	"context"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/machinelist"
)

// pollPlatform reads the platform's list for as long as this replica leads, so that
// the list has one reader.
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
		held, leading := s.heldEndpoints(ctx)
		if !leading {
			tracker = &machinelist.Tracker{}
			continue
		}
		list, err := reader.Read(ctx)
		s.notePlatformError(err)
		if err != nil {
			continue
		}
		changes := tracker.Changes(held, list)
		if len(changes) > 0 {
			s.proposeEndpoints(ctx, changes)
		}
	}
}

// heldEndpoints returns the endpoints if this replica leads and its lease holds.
func (s *Server) heldEndpoints(ctx context.Context) (distribution.EndpointTable, bool) {
	var held distribution.EndpointTable
	leading := false
	err := s.inspect(ctx, func(now time.Duration) {
		leading = s.replica.Node().LeaseValid(now)
		held = s.replica.State().Endpoints
	})
	return held, leading && err == nil
}

func (s *Server) proposeEndpoints(ctx context.Context, changes []distribution.Endpoint) {
	result, err := s.propose(ctx, catalog.Command{Endpoints: &catalog.Endpoints{Changes: changes}})
	s.logger.Log("event", "endpoints_changed", "changes", len(changes), "revision", result.Revision, "error", err)
}

// notePlatformError logs when the list becomes unreadable or readable again.
func (s *Server) notePlatformError(err error) {
	before := s.platformError.Load()
	if err == nil {
		if before != nil {
			s.platformError.Store(nil)
			s.logger.Log("event", "platform_list_readable")
		}
		return
	}
	text := err.Error()
	s.platformError.Store(&text)
	if before == nil {
		s.logger.Log("event", "platform_list_unreadable", "error", err)
	}
}
