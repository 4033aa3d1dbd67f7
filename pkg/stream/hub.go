package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quota"
	"bramblelift/pkg/wire"
)

// HubConfig configures a Hub.
type HubConfig struct {
	Name string
	// SilenceTimeout ends the subscription of a subscriber that sends nothing for this long.
	SilenceTimeout time.Duration
	Admission      AdmissionConfig
	// Now reads the process's monotonic clock.
	Now func() time.Duration
	// ConfirmedAt returns when the state was last confirmed to include every accepted change, on
	// the clock of Now.
	ConfirmedAt func() (time.Duration, bool)
	// RequestConfirmation, if set, is called when a subscriber waits for a confirmation of the state that is
	// newer than its subscription.
	RequestConfirmation func()
	// OnReport, if set, receives the reports on subscribers and the nodes below them.
	OnReport func(protocol.NodeReport)
	// OnAnnounce, if set, receives the announcements of subscribers.
	OnAnnounce func(protocol.Announce)
	// Servers, if set, returns all servers that accept subscriptions.
	Servers func() []protocol.Server
	// Quotas, if set, handles subscribers' quota reports.
	Quotas Quotas
}

// Quotas is the part of a server that maintains tenants' quotas.
type Quotas interface {
	// Record stores a subscriber's newest report and returns its shares, false if they are not known.
	Record(now time.Duration, node string, report quota.Report) (quota.Shares, bool)
	// RecordDeparture removes a subscriber that moved to another server or exited.
	RecordDeparture(now time.Duration, node string)
}

// Hub serves one state to many subscribers. It is safe for concurrent use.
type Hub struct {
	config HubConfig
	// reportMu orders the calls of OnReport; it is locked before mu.
	reportMu sync.Mutex

	mu          sync.Mutex
	planner     *distribution.Planner
	admission   *admissionLimiter
	subscribers map[*subscriber]bool
	stopping    bool
}

// NewHub returns a hub that serves the given state until SetState.
func NewHub(config HubConfig, state *distribution.State) *Hub {
	return &Hub{
		config:      config,
		planner:     distribution.NewPlanner(state),
		admission:   newAdmissionLimiter(config.Admission),
		subscribers: map[*subscriber]bool{},
	}
}

// SetState replaces the state by a newer one and wakes all subscribers.
func (h *Hub) SetState(state *distribution.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.SetState(state)
	for s := range h.subscribers {
		s.wake()
	}
}

// State returns the state served.
func (h *Hub) State() *distribution.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planner.State()
}

// Revision returns the revision served.
func (h *Hub) Revision() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planner.State().Revision
}

// Subscribers returns how many subscriptions are open.
func (h *Hub) Subscribers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.subscribers)
}

// Reports returns a report for each open subscription.
func (h *Hub) Reports() []protocol.NodeReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	reports := make([]protocol.NodeReport, 0, len(h.subscribers))
	for s := range h.subscribers {
		reports = append(reports, s.report(true))
	}
	return reports
}

// Stop refuses new subscribers and ends the open subscriptions, whose clients then switch to
// another server.
func (h *Hub) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	for s := range h.subscribers {
		s.cancel()
	}
}

// subscriber is one open subscription.
type subscriber struct {
	hello  protocol.Hello
	conn   *wire.Conn
	cancel context.CancelFunc
	// openedAt is when the subscription began, on the hub's clock.
	openedAt time.Duration
	// wakeup holds at most one token, set when there may be something to send.
	wakeup chan struct{}

	// session and admitted are guarded by the hub's mutex. Nothing is sent to a subscriber that is
	// not admitted.
	session  *Session
	admitted bool
	// closed is the last reported state of the subscriber's gate, nil if it is open; guarded by the
	// hub's mutex.
	closed *protocol.ClosedGate
	// pendingQuotas are shares to push, nil for none; guarded by the hub's mutex.
	pendingQuotas *quota.Shares
	// sentServers is the last list of servers sent; only the writer uses it.
	sentServers []protocol.Server
}

func (s *subscriber) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *subscriber) report(connected bool) protocol.NodeReport {
	return protocol.NodeReport{
		Node: s.hello.Name, Group: s.hello.Group, Zone: s.hello.Zone,
		Position: s.session.Reported(), Connected: connected, Closed: s.closed, Level: s.hello.Level,
	}
}

// setClosed records the state of the subscriber's gate, nil for an open one; it reports whether the
// state changed.
func (s *subscriber) setClosed(closed *protocol.ClosedGate) (changed bool) {
	before := s.closed
	s.closed = closed
	if closed == nil || before == nil {
		return closed != before
	}
	return *closed != *before
}

// Serve runs one subscription, whose Hello has been read, until the connection ends. It always
// returns a non-nil error.
func (h *Hub) Serve(ctx context.Context, conn *wire.Conn, hello protocol.Hello) error {
	if refusal, refused := h.refuseIfStopping(); refused {
		return protocol.Refuse(conn, refusal)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &subscriber{
		hello: hello, conn: conn, cancel: cancel, openedAt: h.config.Now(),
		wakeup: make(chan struct{}, 1), session: NewSession(hello.Group, hello.Position),
	}
	s.sentServers = h.servers()
	if err := conn.Send(protocol.KindWelcome, protocol.Welcome{Name: h.config.Name, Servers: s.sentServers}); err != nil {
		return fmt.Errorf("welcome: %w", err)
	}
	h.add(s)
	defer h.remove(s)
	// The server sends no update before the first ping, because a client that finds a nearer server in the
	// Welcome moves there without a ping.
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		defer conn.Close()
		h.write(ctx, s)
	})
	err := h.read(s)
	cancel()
	h.forgetQuotas(s, err)
	return err
}

// forgetQuotas drops the quota reports of a subscriber that closed its connection and has no other
// subscription. A silent subscriber keeps them, since it may only be cut off and still admit calls.
func (h *Hub) forgetQuotas(s *subscriber, err error) {
	closed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	if h.config.Quotas == nil || !closed {
		return
	}
	h.mu.Lock()
	resubscribed := false
	for other := range h.subscribers {
		resubscribed = resubscribed || (other != s && other.hello.Name == s.hello.Name)
	}
	h.mu.Unlock()
	if !resubscribed {
		h.config.Quotas.RecordDeparture(h.config.Now(), s.hello.Name)
	}
}

// PushQuotas sends shares to all admitted subscribers that support tenants. Shares that are still
// unsent are merged into the newer ones.
func (h *Hub) PushQuotas(shares quota.Shares) {
	if len(shares.List) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.subscribers {
		if s.admitted && s.hello.Level >= catalog.LevelTenants {
			merged := shares
			if s.pendingQuotas != nil {
				merged = shares.MergedOver(*s.pendingQuotas)
			}
			s.pendingQuotas = &merged
			s.wake()
		}
	}
}

// quotasFor stores the quota report of a ping and returns the shares for its pong, nil for none.
func (h *Hub) quotasFor(s *subscriber, ping protocol.Ping) *quota.Shares {
	if ping.Quotas == nil || h.config.Quotas == nil {
		return nil
	}
	shares, known := h.config.Quotas.Record(h.config.Now(), s.hello.Name, *ping.Quotas)
	if !known {
		return nil
	}
	return &shares
}

func (h *Hub) refuseIfStopping() (protocol.Refusal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return protocol.Refusal{Reason: protocol.ReasonStopping, Message: "shutting down"}, true
	}
	return protocol.Refusal{}, false
}

// admitOrRefuse applies admission control at a subscriber's first ping. The handshake itself needs
// no admission, since a client that is only redirected to another server costs little.
func (h *Hub) admitOrRefuse(s *subscriber) (protocol.Refusal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.admitted {
		return protocol.Refusal{}, false
	}
	admitted, retryAfter := h.admission.admit(h.config.Now())
	if !admitted {
		return protocol.Refusal{Reason: protocol.ReasonBusy, Message: "too many subscribers at once", RetryAfter: retryAfter}, true
	}
	s.admitted = true
	return protocol.Refusal{}, false
}

func (h *Hub) add(s *subscriber) {
	h.mu.Lock()
	h.subscribers[s] = true
	h.mu.Unlock()
	h.publishReport(s)
}

func (h *Hub) remove(s *subscriber) {
	h.mu.Lock()
	delete(h.subscribers, s)
	h.mu.Unlock()
	h.publishReport(s)
}

// publishReport passes the current report of a subscriber to OnReport.
func (h *Hub) publishReport(s *subscriber) {
	if h.config.OnReport == nil {
		return
	}
	// Reports must be delivered in order.
	h.reportMu.Lock()
	defer h.reportMu.Unlock()
	h.config.OnReport(h.latestReport(s))
}

// latestReport returns a subscriber's report. If this subscription has ended and the same node has
// opened others, it is the report of the newest one.
func (h *Hub) latestReport(s *subscriber) protocol.NodeReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.subscribers[s] {
		return s.report(true)
	}
	var newest *subscriber
	for other := range h.subscribers {
		if other.hello.Name == s.hello.Name && (newest == nil || other.openedAt > newest.openedAt) {
			newest = other
		}
	}
	if newest != nil {
		return newest.report(true)
	}
	return s.report(false)
}

// read handles pings and acknowledgements until the connection ends.
func (h *Hub) read(s *subscriber) error {
	for {
		kind, err := s.conn.Receive(h.config.SilenceTimeout)
		if err != nil {
			return err
		}
		switch kind {
		case protocol.KindPing:
			var ping protocol.Ping
			if err := s.conn.Decode(&ping); err != nil {
				return err
			}
			if refusal, refused := h.admitOrRefuse(s); refused {
				return protocol.Refuse(s.conn, refusal)
			}
			if err := h.handlePing(s, ping); err != nil {
				return err
			}
		case protocol.KindAck:
			var ack protocol.Ack
			if err := s.conn.Decode(&ack); err != nil {
				return err
			}
			h.handleAck(s, ack.Position)
		default:
			return fmt.Errorf("from %s: kind %s: %w", s.conn.Peer(), protocol.KindName(kind), protocol.ErrUnexpected)
		}
	}
}

func (h *Hub) handlePing(s *subscriber, ping protocol.Ping) error {
	rollouts, err := protocol.UnpackRollouts(ping.Rollouts)
	if err != nil {
		return fmt.Errorf("from %s: %w", s.conn.Peer(), err)
	}
	quotas := h.quotasFor(s, ping)
	h.mu.Lock()
	changed := s.session.HandlePing(ping)
	s.session.quotas = quotas
	changed = s.setClosed(ping.Closed) || changed
	h.mu.Unlock()
	s.wake()
	if confirmedAt, confirmed := h.config.ConfirmedAt(); h.config.RequestConfirmation != nil && (!confirmed || confirmedAt < s.openedAt) {
		h.config.RequestConfirmation()
	}
	if changed {
		h.publishReport(s)
	}
	announced := protocol.Announce{Endpoints: ping.Announcements, Evidence: ping.Evidence, Rollouts: rollouts}
	if h.config.OnAnnounce != nil && !announced.Empty() {
		h.config.OnAnnounce(announced)
	}
	if h.config.OnReport == nil {
		return nil
	}
	for _, report := range ping.Reports {
		h.config.OnReport(report)
	}
	return nil
}

// handleAck records the position a subscriber holds and publishes a change of versions.
func (h *Hub) handleAck(s *subscriber, position distribution.Position) {
	h.mu.Lock()
	changed := s.session.SetReported(position)
	h.mu.Unlock()
	if changed {
		h.publishReport(s)
	}
}

// write sends pending messages each time it is woken, until the subscription ends.
func (h *Hub) write(ctx context.Context, s *subscriber) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeup:
		}
		if err := h.sendPending(s); err != nil {
			return
		}
	}
}

// sendPending sends the update, pushed quota shares and the pong that are due, in this order.
func (h *Hub) sendPending(s *subscriber) error {
	h.mu.Lock()
	if !s.admitted {
		h.mu.Unlock()
		return nil
	}
	update, pong, err := s.session.PendingMessages(h.planner, h.freshness())
	pushed := s.pendingQuotas
	s.pendingQuotas = nil
	var packing *distribution.Packing
	if err == nil && update != nil && update.Large() {
		packing = h.planner.Packing(update)
	}
	h.mu.Unlock()
	if err != nil {
		return err
	}
	if err := s.sendUpdate(update, packing); err != nil {
		return err
	}
	if pushed != nil {
		if err := s.conn.Send(protocol.KindQuotas, *pushed); err != nil {
			return err
		}
	}
	if pong == nil {
		return nil
	}
	if servers := h.servers(); !slices.Equal(servers, s.sentServers) {
		s.sentServers = servers
		pong.Servers = servers
	}
	return s.conn.Send(protocol.KindPong, pong)
}

// sendUpdate sends an update, in packed form if there is a packing; both may be nil.
func (s *subscriber) sendUpdate(update *distribution.Update, packing *distribution.Packing) error {
	switch {
	case packing != nil:
		packed, err := packing.Packed()
		if err != nil {
			return err
		}
		return s.conn.Send(protocol.KindPackedUpdate, packed)
	case update != nil:
		return s.conn.Send(protocol.KindUpdate, update)
	}
	return nil
}

func (h *Hub) servers() []protocol.Server {
	if h.config.Servers == nil {
		return nil
	}
	return h.config.Servers()
}

func (h *Hub) freshness() Freshness {
	confirmedAt, confirmed := h.config.ConfirmedAt()
	return Freshness{Confirmed: confirmed, Stale: h.config.Now() - confirmedAt}
}
