package stream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quota"
	"bramblelift/pkg/wire"
)

// clientSession is one open subscription of a client, with its connection.
type clientSession struct {
	client  *Client
	address string
	conn    *wire.Conn
	// openedAt is when the handshake completed, on the client's clock.
	openedAt time.Duration
	// cancel ends the session; wg waits for its goroutines.
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu           sync.Mutex
	subscription *Subscription
	// answeredPingSentAt is the send time of the last answered ping, on the client's clock. Only
	// the reader uses it.
	answeredPingSentAt time.Duration
	// openingSuccessor is set while a subscription to another server is being opened. successor is
	// that subscription once established; it is final when run has returned.
	openingSuccessor bool
	successor        *clientSession
	// leaveReason is the server's health that made the selector reject it, nil while the server
	// is acceptable.
	leaveReason atomic.Pointer[ServerHealth]
}

// dialInterval returns how long to wait for a server before another one is tried, too. It starts short, because a server
// that is booting drops packets and is reached only by a later dial.
func (c *Client) dialInterval() time.Duration {
	if c.unansweredDials.Load() < quickDialAttempts {
		return min(quickDialInterval, c.config.DialInterval)
	}
	return c.config.DialInterval
}

// dial connects to a server.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialPatience)
	defer cancel()
	if c.config.Dial != nil {
		return c.config.Dial(ctx, address)
	}
	dialer := net.Dialer{}
	return dialer.DialContext(ctx, "tcp", address)
}

// openSession dials a server and performs the handshake. No ping is sent yet.
func (c *Client) openSession(ctx context.Context, address string) (*clientSession, error) {
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	c.unansweredDials.Store(0)
	if c.config.Wrap != nil {
		raw = c.config.Wrap(raw)
	}
	conn := wire.NewConn(raw, wire.DefaultMaxFrame, c.config.SilenceTimeout, c.config.Observe)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()

	hello := c.config.Hello
	hello.Position = c.target.Position()
	if c.needsFullState.Load() {
		hello.Position = distribution.Position{}
	}
	welcome, err := protocol.Open(conn, hello, c.config.SilenceTimeout)
	if err != nil {
		conn.Close()
		return nil, err
	}
	c.setDiscoveredServers(welcome.Servers)
	return &clientSession{client: c, address: address, conn: conn, openedAt: c.config.Now(), subscription: NewSubscription()}, nil
}

// close ends a session that was not run; s may be nil.
func (s *clientSession) close() {
	if s != nil {
		s.conn.Close()
	}
}

// run exchanges pings and updates until the subscription ends, and returns the cause.
func (s *clientSession) run(ctx context.Context) error {
	c := s.client
	ctx, s.cancel = context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	c.needsFullState.Store(false)
	c.currentServer.Store(&s.address)
	c.config.Logger.Log("event", "subscribed", "server", s.address, "revision", c.target.Position().Revision)
	defer s.wg.Wait()
	defer s.cancel()
	s.wg.Go(func() {
		defer s.conn.Close()
		s.ping(ctx)
	})
	return s.read(ctx)
}

// openSuccessor subscribes to another server in the background and ends this session once that
// succeeds, so that the client receives updates while it dials. After each failure nextCandidate
// returns the next server to try, or false to give up.
func (s *clientSession) openSuccessor(ctx context.Context, candidate Candidate, nextCandidate func(now time.Duration) (Candidate, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openingSuccessor {
		return
	}
	s.openingSuccessor = true
	s.wg.Go(func() {
		next := s.openFirstReachable(ctx, candidate, nextCandidate)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.openingSuccessor = false
		if next != nil {
			s.successor = next
			s.cancel()
		}
	})
}

// openFirstReachable returns a session with the first server that completes the handshake, or nil
// if there is none.
func (s *clientSession) openFirstReachable(ctx context.Context, candidate Candidate, nextCandidate func(now time.Duration) (Candidate, bool)) *clientSession {
	c := s.client
	o := newOpener(ctx, c)
	defer o.stop()
	for found := true; found && ctx.Err() == nil; candidate, found = nextCandidate(c.config.Now()) {
		if next := o.awaitRoom(); next != nil {
			return next
		}
		attempt := o.start(candidate.Address)
		next, err := o.await(attempt.interval, attempt)
		if next != nil {
			return next
		}
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			err = errSlowServer
		}
		c.selector.MarkUnreachable(c.config.Now(), candidate.Address)
		c.config.Logger.Log("event", "subscription_stays", "server", s.address, "tried", candidate.Address, "error", err)
	}
	return o.awaitAll()
}

// ping sends pings until the session ends. The intervals are jittered so that clients that
// started together do not stay synchronized.
func (s *clientSession) ping(ctx context.Context) {
	for {
		if err := s.sendPing(); err != nil {
			return
		}
		interval := s.client.config.PingInterval
		if _, confirmed := s.client.ConfirmedAt(); !confirmed {
			interval = min(interval, firstPingInterval)
		}
		if s.client.awaiting.Load() > 0 {
			interval = min(interval, awaitPingInterval)
		}
		jittered := time.Duration((0.75 + rand.Float64()/2) * float64(interval))
		if !s.waitForNextPing(ctx, jittered) {
			return
		}
	}
}

// waitForNextPing waits for the interval, or for minPingGap after an early ping is requested. It
// returns false if the context ended.
func (s *clientSession) waitForNextPing(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-s.client.earlyPing:
		return sleep(ctx, min(interval, minPingGap))
	}
}

func (s *clientSession) sendPing() error {
	s.mu.Lock()
	ping := s.subscription.Ping(s.client.config.Now(), s.client.target.Position())
	s.mu.Unlock()
	if s.client.config.TakeReports != nil {
		ping.Reports = s.client.config.TakeReports()
	}
	if s.client.config.Announce != nil {
		announced := s.client.config.Announce()
		ping.Announcements, ping.Evidence, ping.Closed = announced.Endpoints, announced.Evidence, announced.Closed
		ping.Quotas = announced.Quotas
		var err error
		if ping.Rollouts, err = protocol.PackRollouts(announced.Rollouts); err != nil {
			return err
		}
	}
	return s.conn.Send(protocol.KindPing, ping)
}

func (s *clientSession) read(ctx context.Context) error {
	for {
		kind, err := s.conn.Receive(s.client.config.SilenceTimeout)
		if err != nil {
			return err
		}
		switch kind {
		case protocol.KindUpdate:
			err = s.handleUpdate()
		case protocol.KindPackedUpdate:
			err = s.handlePackedUpdate()
		case protocol.KindPong:
			err = s.handlePong(ctx)
		case protocol.KindQuotas:
			err = s.handleQuotas()
		case protocol.KindRefusal:
			err = protocol.ReceiveRefusal(s.conn)
		default:
			err = fmt.Errorf("from %s: kind %s: %w", s.conn.Peer(), protocol.KindName(kind), protocol.ErrUnexpected)
		}
		if err != nil {
			return err
		}
	}
}

func (s *clientSession) handleUpdate() error {
	var update distribution.Update
	if err := s.conn.Decode(&update); err != nil {
		return err
	}
	return s.apply(&update)
}

func (s *clientSession) handlePackedUpdate() error {
	var packed distribution.PackedUpdate
	if err := s.conn.Decode(&packed); err != nil {
		return err
	}
	update, err := packed.Unpack()
	if err != nil {
		return fmt.Errorf("from %s: %w", s.conn.Peer(), err)
	}
	return s.apply(update)
}

func (s *clientSession) apply(update *distribution.Update) error {
	target := s.client.target
	before := target.Position()
	if err := target.Apply(update); err != nil {
		s.client.needsFullState.Store(true)
		return fmt.Errorf("apply update from %s: %w", s.conn.Peer(), err)
	}
	after := target.Position()
	if after.Active != before.Active || after.Staged != before.Staged {
		return s.conn.Send(protocol.KindAck, protocol.Ack{Position: after})
	}
	return nil
}

func (s *clientSession) handlePong(ctx context.Context) error {
	var pong protocol.Pong
	if err := s.conn.Decode(&pong); err != nil {
		return err
	}
	c := s.client
	c.setDiscoveredServers(pong.Servers)
	s.mu.Lock()
	sentAt := s.subscription.SentAt(pong.Sequence)
	at, confirmed, err := s.subscription.HandlePong(pong, c.target)
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("from %s: %w", s.conn.Peer(), err)
	}
	s.answeredPingSentAt = sentAt
	if pong.Quotas != nil && c.config.OnQuotas != nil {
		c.config.OnQuotas(sentAt, *pong.Quotas)
	}
	if len(pong.Ended) > 0 && c.config.OnEnded != nil {
		c.config.OnEnded(pong.Ended)
	}
	if confirmed {
		c.advanceConfirmedAt(at)
	}
	_, everConfirmed := c.ConfirmedAt()
	health := ServerHealth{
		Confirmed: confirmed, Stale: pong.Stale, Transit: (c.config.Now() - sentAt) / 2, Behind: pong.Revision < c.target.Position().Revision,
		Starting: !everConfirmed, Open: c.config.Now() - s.openedAt, Awaited: c.awaiting.Load() > 0,
	}
	s.considerMove(ctx, health)
	return nil
}

// handleQuotas handles shares that the server pushed. Their transit time is unknown, so their age counts
// from when the last answered ping was sent.
func (s *clientSession) handleQuotas() error {
	var shares quota.Shares
	if err := s.conn.Decode(&shares); err != nil {
		return err
	}
	if s.client.config.OnQuotas != nil && s.answeredPingSentAt > 0 {
		s.client.config.OnQuotas(s.answeredPingSentAt, shares)
	}
	return nil
}

// considerMove starts a move to another server if this one is stale or behind, or if a server in
// the client's zone is available.
func (s *clientSession) considerMove(ctx context.Context, health ServerHealth) {
	c := s.client
	now := c.config.Now()
	if c.selector.ObservePong(now, health) {
		s.leaveReason.Store(&health)
		if other, known := c.selector.AlternativeFor(now, health); known {
			s.openSuccessor(ctx, other, c.selector.Alternative)
		}
		return
	}
	s.leaveReason.Store(nil)
	if !c.selector.ShouldMoveNearer(now) {
		return
	}
	if nearest, known := c.selector.Nearest(now); known {
		s.openSuccessor(ctx, nearest, c.selector.Nearest)
	}
}
