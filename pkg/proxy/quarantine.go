package proxy

import "bramblelift/pkg/quarantine"

// onCrash records that the back end crashed while processing a call, to report it to the control plane.
func (s *Server) onCrash(crash quarantine.End) {
	if s.suspects.AddCrash(crash) {
		s.controlClient.PingSoon()
	}
}

// onWatchedResponse records that the back end responded to a watched call, to report it to the control plane.
func (s *Server) onWatchedResponse(response quarantine.Answer) {
	if s.suspects.AddResponse(response) {
		s.controlClient.PingSoon()
	}
}

// applyWatchlist replaces the list of suspects and logs each change of a request's standing.
func (s *Server) applyWatchlist(list *quarantine.Watchlist, revision uint64) {
	before := s.quarantine.Requests()
	if !s.quarantine.Set(list) {
		return
	}
	after := s.quarantine.Requests()
	for request, standing := range after {
		if before[request] != standing {
			s.logger.Log("event", "request_suspected", "fingerprint", request.Short(), "standing", standing, "revision", revision)
		}
	}
	for request := range before {
		if after[request] == quarantine.Unsuspected {
			s.logger.Log("event", "request_suspected", "fingerprint", request.Short(), "standing", quarantine.Unsuspected, "revision", revision)
		}
	}
}
