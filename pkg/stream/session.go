package stream

import (
	"errors"
	"fmt"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quota"
)

// Freshness states how current a server's state is.
type Freshness struct {
	// Confirmed is false until the first confirmation of the state.
	Confirmed bool
	// Stale is the time since the state was last confirmed to include every accepted change.
	Stale time.Duration
}

// Session is the server's side of one subscription, without I/O. It tracks the position sent to the
// subscriber and the pong that is due.
type Session struct {
	group string
	// sent is the subscriber's position once it has applied everything sent.
	sent distribution.Position
	// reported is the position in the subscriber's last message.
	reported distribution.Position
	// pinged is set by the first ping; nothing is sent before it.
	pinged bool
	// pongSequence is the sequence number of the ping to answer if pongDue is set; quotas are the
	// shares to send in that pong.
	pongSequence uint64
	pongDue      bool
	quotas       *quota.Shares
	// announced are the back ends announced in the ping to answer.
	announced []distribution.Endpoint
}

// NewSession returns a session for a subscriber of a group at a position.
func NewSession(group string, position distribution.Position) *Session {
	return &Session{group: group, sent: position, reported: position}
}

// Reported returns the position that the subscriber last reported.
func (s *Session) Reported() distribution.Position { return s.reported }

// HandlePing records a ping; it reports whether the subscriber's versions have changed.
func (s *Session) HandlePing(ping protocol.Ping) (changed bool) {
	if !s.pinged && s.sent != (distribution.Position{}) {
		// The subscriber may have received updates from another server since its Hello.
		s.sent = ping.Position
	}
	s.pinged = true
	s.pongSequence = ping.Sequence
	s.announced = ping.Announcements
	s.pongDue = true
	return s.SetReported(ping.Position)
}

// SetReported records the subscriber's position; it reports whether the versions changed.
func (s *Session) SetReported(position distribution.Position) (changed bool) {
	changed = s.reported.Active != position.Active || s.reported.Staged != position.Staged
	s.reported = position
	return changed
}

// PendingMessages returns what to send: the update, then the pong, whose revision must not exceed that of the
// updates sent before it. Either may be nil.
func (s *Session) PendingMessages(planner *distribution.Planner, freshness Freshness) (*distribution.Update, *protocol.Pong, error) {
	update, err := planner.Plan(s.group, s.sent)
	if err != nil {
		return nil, nil, err
	}
	if update != nil && !update.Changes(s.sent) {
		update = nil
	}
	if update != nil {
		s.sent = distribution.Position{Revision: update.To, Active: update.Active, Staged: update.Staged}
	}
	if !s.pongDue {
		return update, nil, nil
	}
	s.pongDue = false
	revision := planner.State().Revision
	s.sent.Revision = max(s.sent.Revision, revision)
	pong := &protocol.Pong{
		Sequence: s.pongSequence, Revision: revision, Confirmed: freshness.Confirmed, Quotas: s.quotas,
		Ended: planner.State().Endpoints.Ended(s.announced),
	}
	if freshness.Confirmed {
		pong.Stale = max(0, freshness.Stale)
	}
	return update, pong, nil
}

// Subscription is the client's side of one subscription, without I/O.
type Subscription struct {
	// sentAt maps the sequence number of each unanswered ping to its send time.
	sentAt   map[uint64]time.Duration
	sequence uint64
}

// NewSubscription returns a subscription without unanswered pings.
func NewSubscription() *Subscription {
	return &Subscription{sentAt: map[uint64]time.Duration{}}
}

// Ping returns the next ping and records its send time.
func (s *Subscription) Ping(now time.Duration, position distribution.Position) protocol.Ping {
	s.sequence++
	s.sentAt[s.sequence] = now
	return protocol.Ping{Sequence: s.sequence, Position: position}
}

// SentAt returns when an unanswered ping was sent, zero if the sequence number is unknown.
func (s *Subscription) SentAt(sequence uint64) time.Duration { return s.sentAt[sequence] }

// errUnexpectedPong reports a pong whose sequence number matches no unanswered ping.
var errUnexpectedPong = errors.New("pong matches no unanswered ping")

// HandlePong handles a pong. If it confirms the target's state, HandlePong returns the time on the
// client's clock up to which the state is confirmed.
func (s *Subscription) HandlePong(pong protocol.Pong, target Target) (at time.Duration, confirmed bool, err error) {
	sentAt, known := s.sentAt[pong.Sequence]
	if !known {
		return 0, false, fmt.Errorf("pong %d: %w", pong.Sequence, errUnexpectedPong)
	}
	for sequence := range s.sentAt {
		if sequence <= pong.Sequence {
			delete(s.sentAt, sequence)
		}
	}
	target.Current(pong.Revision)
	// A server that is behind the client cannot confirm the client's state.
	if !pong.Confirmed || pong.Revision < target.Position().Revision {
		return 0, false, nil
	}
	return sentAt - pong.Stale, true, nil
}
