package control

import (
	"context"
	"slices"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
)

const (
	// backgroundProposalTimeout bounds a proposal that no operator waits for. A proposal that times out
	// is repeated: nodes resend their announcements, and the leader reevaluates periodically.
	backgroundProposalTimeout = 2 * time.Second
	// announceBatchInterval is the minimum time between two commits of announced endpoints. Each commit
	// sends a message to every replica and every node, so announcements that arrive within the
	// interval are committed together. It is short compared to the seconds within which a new back end must get
	// calls.
	announceBatchInterval = 100 * time.Millisecond
)

// handleAnnounce dispatches the parts of an announcement from a node or another replica.
func (s *Server) handleAnnounce(announced protocol.Announce) {
	if len(announced.Endpoints) > 0 {
		s.enqueueEndpoints(announced.Endpoints)
	}
	if announced.Evidence != nil && !announced.Evidence.Empty() {
		s.enqueueEvidence(*announced.Evidence)
	}
	if len(announced.Rollouts) > 0 {
		s.enqueueRolloutReports(announced.Rollouts)
	}
	s.recordSubscriberLevel(announced.Earlier)
	s.quotas.receive(announced)
}

// enqueueEndpoints queues announced endpoints for the proposer and drops them if the queue is full:
// nodes repeat an announcement until the state contains it.
func (s *Server) enqueueEndpoints(endpoints []distribution.Endpoint) {
	select {
	case s.endpointQueue <- endpoints:
	default:
	}
}

// runEndpointProposer proposes announced endpoints in batches, or forwards them to the leader. The
// first announcement after an idle interval is proposed at once.
func (s *Server) runEndpointProposer(ctx context.Context) {
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case endpoints := <-s.endpointQueue:
			endpoints = collectBatch(ctx, endpoints, s.endpointQueue, time.Until(next))
			s.proposeNewEndpoints(ctx, dropSuperseded(endpoints))
			next = time.Now().Add(announceBatchInterval)
		}
	}
}

// collectBatch returns list with everything received within wait, or queued by then.
func collectBatch[T any](ctx context.Context, list []T, more <-chan []T, wait time.Duration) []T {
	list = slices.Clone(list)
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return list
		case next := <-more:
			list = append(list, next...)
		case <-timer.C:
			return append(list, dequeueAll(more)...)
		}
	}
}

// dequeueAll returns everything in a channel's buffer without blocking.
func dequeueAll[T any](from <-chan []T) []T {
	var list []T
	for {
		select {
		case next := <-from:
			list = append(list, next...)
		default:
			return list
		}
	}
}

// dropSuperseded removes an endpoint if a later entry supersedes it: a newer state of the same back
// end, or another live back end at the same gate.
func dropSuperseded(list []distribution.Endpoint) []distribution.Endpoint {
	var kept []distribution.Endpoint
	for _, endpoint := range list {
		kept = slices.DeleteFunc(kept, func(earlier distribution.Endpoint) bool {
			sameGate := endpoint.Gate != "" && earlier.Gate == endpoint.Gate
			replaced := sameGate && earlier.State == distribution.Live && endpoint.State == distribution.Live
			return replaced || (earlier.Service == endpoint.Service && earlier.ID == endpoint.ID && !earlier.Supersedes(endpoint))
		})
		kept = append(kept, endpoint)
	}
	return kept
}

// proposeNewEndpoints proposes the endpoints that change the state if this replica leads, and forwards
// them to the leader otherwise.
func (s *Server) proposeNewEndpoints(ctx context.Context, endpoints []distribution.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, backgroundProposalTimeout)
	defer cancel()
	var changes []distribution.Endpoint
	leading := false
	err := s.runOnLoop(ctx, func(now time.Duration) {
		node := s.replica.Node()
		leading = node.LeaseValid(now)
		changes = s.replica.State().Endpoints.ChangesFrom(endpoints)
		if !leading && node.Leader() != node.ID() && len(changes) > 0 {
			s.peers.announce(node.Leader(), protocol.Announce{Endpoints: changes})
		}
	})
	if err != nil || !leading || len(changes) == 0 {
		return
	}
	s.proposeEndpoints(ctx, changes)
}
