package proxy

import "bramblelift/pkg/quarantine"

// noteEnded keeps that the back end ended while it had a call, for the control plane.
func (s *Server) noteEnded(end quarantine.End) {
	if s.suspects.Ended(end) {
		s.client.PingSoon()
	}
}

// noteAnswered keeps that the back end answered a watched call, for the control plane.
func (s *Server) noteAnswered(answer quarantine.Answer) {
	if s.suspects.Answered(answer) {
		s.client.PingSoon()
	}
}

// watch puts the control plane's list of suspects in force.
func (s *Server) watch(list *quarantine.Watchlist, revision uint64) {
	before := s.quarantine.Requests()
	if !s.quarantine.Set(list) {
		return
	}
	now := s.quarantine.Requests()
	for request, standing := range now {
		if before[request] != standing {
			s.logger.Log("event", "request_suspected", "fingerprint", request.Short(), "standing", standing, "revision", revision)
		}
	}
	for request := range before {
		if now[request] == quarantine.Unsuspected {
			s.logger.Log("event", "request_suspected", "fingerprint", request.Short(), "standing", quarantine.Unsuspected, "revision", revision)
		}
	}
}
