package control

import (
	"context"
	"slices"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quarantine"
)

const (
	// evidenceBatchInterval is the minimum time between two commits of evidence. Each commit may send every
	// node a watchlist of about a kilobyte, so this limits a node to 4 kB per second. It is short compared to
	// the seconds within which a suspect must be known.
	evidenceBatchInterval = 250 * time.Millisecond
	// leadershipCheckInterval is how often a replica that can't decide on suspects checks whether it can.
	leadershipCheckInterval = time.Second
)

// enqueueEvidence queues evidence from gates and drops it if the queue is full: gates repeat it for
// some seconds.
func (s *Server) enqueueEvidence(evidence quarantine.Evidence) {
	select {
	case s.evidenceQueue <- []quarantine.Evidence{evidence}:
	default:
		s.logger.Log("event", "evidence_dropped", "ends", len(evidence.Ends), "answers", len(evidence.Answers), "reason", "too much at once")
	}
}

// runEvidenceProposer proposes evidence in batches, or forwards it to the leader.
func (s *Server) runEvidenceProposer(ctx context.Context) {
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case list := <-s.evidenceQueue:
			var evidence quarantine.Evidence
			for _, more := range collectBatch(ctx, list, s.evidenceQueue, time.Until(next)) {
				evidence = evidence.Join(more)
			}
			s.proposeNewEvidence(ctx, evidence)
			next = time.Now().Add(evidenceBatchInterval)
		}
	}
}

// proposeNewEvidence proposes the evidence that the state doesn't contain, or forwards it to the leader. A
// leader that can't decide on suspects drops it; gates repeat it.
func (s *Server) proposeNewEvidence(ctx context.Context, evidence quarantine.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, backgroundProposalTimeout)
	defer cancel()
	leading := false
	err := s.runOnLoop(ctx, func(now time.Duration) {
		node := s.replica.Node()
		leading = s.canDecideSuspects(now)
		evidence = s.replica.State().Suspects.NewEvidence(evidence)
		if !leading && node.Leader() != node.ID() && !evidence.Empty() {
			s.peers.announce(node.Leader(), protocol.Announce{Evidence: &evidence})
		}
	})
	if err != nil || !leading || evidence.Empty() {
		return
	}
	_, _ = s.proposeSuspects(ctx, quarantine.Change{Evidence: evidence})
}

// proposeSuspects proposes a change of the suspects and logs it. Gates and the judge repeat failed changes.
func (s *Server) proposeSuspects(ctx context.Context, change quarantine.Change) (catalog.Result, error) {
	result, err := s.propose(ctx, catalog.Command{Suspects: &change})
	for _, end := range change.Evidence.Ends {
		s.logger.Log("event", "backend_ended", "instance", end.Instance, "service", end.Way.Service, "caller", end.Way.Caller,
			"fingerprint", end.Request.Short(), "watched", end.Watched, "error", err)
	}
	for _, answer := range change.Evidence.Answers {
		s.logger.Log("event", "suspect_answered", "fingerprint", answer.Request.Short(), "service", answer.Way.Service,
			"caller", answer.Way.Caller, "error", err)
	}
	for _, verdict := range change.Verdicts {
		s.logger.Log("event", "quarantine", "fingerprint", verdict.Request.Short(), "ruling", string(verdict.Ruling), "error", err)
	}
	return result, err
}

// canDecideSuspects reports whether this replica leads and all members support entries about suspects. It
// runs on the event loop.
func (s *Server) canDecideSuspects(now time.Duration) bool {
	return s.replica.Node().LeaseValid(now) && s.minMemberLevel() >= catalog.LevelSuspects
}

// notifySuspects wakes the judge if there are suspects. It runs on the event loop.
func (s *Server) notifySuspects() {
	if s.replica.State().Suspects.Empty() {
		return
	}
	select {
	case s.suspectsChanged <- struct{}{}:
	default:
	}
}

// runSuspectJudge decides on suspects while this replica leads. It sleeps while there are none.
func (s *Server) runSuspectJudge(ctx context.Context) {
	judge := quarantine.NewJudge()
	judge.Answerable = s.answerable
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.suspectsChanged:
		case <-timer.C:
		}
		wait := s.proposeDueVerdicts(ctx, judge)
		timer.Reset(wait)
	}
}

// answerable reports whether any service whose back ends crashed while the suspect was in flight has a back
// end that could respond: live, not evacuated, and not crashed itself, or started again since. A service without registered back
// ends has them in the bundle, and counts as answerable. It runs on the event loop.
func (s *Server) answerable(suspect *quarantine.Suspect) bool {
	state := s.replica.State()
	for _, end := range suspect.Ends {
		listed := state.Endpoints[end.Way.Service]
		if len(listed) == 0 {
			return true
		}
		for id, endpoint := range listed {
			crashed := slices.ContainsFunc(suspect.Ends, func(e quarantine.End) bool { return e.Names(id, endpoint.Incarnation) })
			if endpoint.State == distribution.Live && !crashed && !state.Orders.Evacuated(endpoint.Zone) {
				return true
			}
		}
	}
	return false
}

// proposeDueVerdicts proposes the verdicts that are due and returns the delay until the next check.
func (s *Server) proposeDueVerdicts(ctx context.Context, judge *quarantine.Judge) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, backgroundProposalTimeout)
	defer cancel()
	leading := false
	var verdicts []quarantine.Verdict
	var wait time.Duration
	err := s.runOnLoop(ctx, func(now time.Duration) {
		leading = s.canDecideSuspects(now)
		table := s.replica.State().Suspects
		if !leading {
			table = nil
		}
		verdicts, wait = judge.Due(now, table)
		if !leading && !s.replica.State().Suspects.Empty() {
			wait = leadershipCheckInterval
		}
	})
	if err != nil {
		return leadershipCheckInterval
	}
	if len(verdicts) > 0 {
		_, _ = s.proposeSuspects(ctx, quarantine.Change{Verdicts: verdicts})
		wait = min(wait, evidenceBatchInterval)
	}
	return wait
}
