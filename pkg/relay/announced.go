package relay

import (
	"sync"

	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quarantine"
)

// maxPendingAnnouncements bounds the queue of announcements. Nodes repeat their announcements for
// some seconds or until the state includes them, so a dropped one is sent again.
const maxPendingAnnouncements = 1024

// announceQueue collects the announcements of nodes until the next ping.
type announceQueue struct {
	mu      sync.Mutex
	pending protocol.Announce
}

// add appends announcements. It returns false if the queue is full.
func (q *announceQueue) add(announced protocol.Announce) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	var evidence quarantine.Evidence
	if q.pending.Evidence != nil {
		evidence = *q.pending.Evidence
	}
	if len(q.pending.Endpoints)+len(evidence.Ends)+len(evidence.Answers)+len(q.pending.Rollouts) >= maxPendingAnnouncements {
		return false
	}
	q.pending.Endpoints = append(q.pending.Endpoints, announced.Endpoints...)
	q.pending.Rollouts = protocol.MergeRolloutReports(q.pending.Rollouts, announced.Rollouts)
	if announced.Evidence != nil {
		joined := evidence.Join(*announced.Evidence)
		q.pending.Evidence = &joined
	}
	return true
}

// take returns and removes the pending announcements.
func (q *announceQueue) take() protocol.Announce {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending = protocol.Announce{}
	return taken
}

// queueAnnouncement queues a node's announcement for the control plane and requests an early ping.
func (s *Server) queueAnnouncement(announced protocol.Announce) {
	if !s.announcements.add(announced) {
		s.logger.Log("event", "announcement_dropped", "endpoints", len(announced.Endpoints), "reason", "too much waits")
		return
	}
	s.client.PingSoon()
}
