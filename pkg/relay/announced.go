package relay

import (
	"sync"

	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quarantine"
)

// maxAnnounced bounds what waits for the next ping; nodes announce for some seconds, or until the
// state shows it, so that what does not fit comes again.
const maxAnnounced = 1024

// announceQueue holds what nodes announced until the next ping takes it.
type announceQueue struct {
	mu      sync.Mutex
	waiting protocol.Announce
}

// add reports whether there was room.
func (q *announceQueue) add(announced protocol.Announce) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	var evidence quarantine.Evidence
	if q.waiting.Evidence != nil {
		evidence = *q.waiting.Evidence
	}
	if len(q.waiting.Endpoints)+len(evidence.Ends)+len(evidence.Answers)+len(q.waiting.Rollouts) >= maxAnnounced {
		return false
	}
	q.waiting.Endpoints = append(q.waiting.Endpoints, announced.Endpoints...)
	q.waiting.Rollouts = protocol.NewestRollouts(q.waiting.Rollouts, announced.Rollouts)
	if announced.Evidence != nil {
		joined := evidence.Join(*announced.Evidence)
		q.waiting.Evidence = &joined
	}
	return true
}

func (q *announceQueue) take() protocol.Announce {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.waiting
	q.waiting = protocol.Announce{}
	return taken
}

// takeAnnounced takes in what a node announces, for control.
func (s *Server) takeAnnounced(announced protocol.Announce) {
	if !s.announced.add(announced) {
		s.logger.Log("event", "announcement_dropped", "endpoints", len(announced.Endpoints), "reason", "too much waits")
		return
	}
	s.client.PingSoon()
}
