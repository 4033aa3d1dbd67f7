package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/wire"

	"github.com/go-kit/log"
)

// Target takes what a subscription brings.
type Target interface {
	// Position returns what is held.
	Position() distribution.Position
	// Apply takes an update whole or leaves everything as it was.
	Apply(update *distribution.Update) error
	// Current takes in that nothing changed up to a revision.
	Current(revision uint64)
}

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Hello introduces the client; the position is filled in.
	Hello    protocol.Hello
	Selector SelectorConfig
	// PingInterval is the pause between pings, SilenceTimeout how long a server
	// may say nothing.
	PingInterval   time.Duration
	SilenceTimeout time.Duration
	DialTimeout    time.Duration
	// Wrap, if set, wraps each connection, for example to count its bytes.
	Wrap    func(net.Conn) net.Conn
	Observe wire.Observer
	Logger  log.Logger
	// Now reads the process's monotonic clock.
	Now func() time.Duration
	// OnConfirmed, if set, is told each later moment up to which the target is
	// known to be current.
	OnConfirmed func(at time.Duration)
	// TakeReports, if set, returns the reports to send with the next ping.
	TakeReports func() []protocol.NodeReport
	// Announce, if set, returns what to announce with the next ping.
	Announce func() protocol.Announce
}

const (
	// firstPingInterval: pings come faster until the first confirmation, which a
	// starting node waits for. It is about as long as a new leader takes to confirm its
	// followers.
	firstPingInterval = 50 * time.Millisecond
	// minPingGap is between a ping and an early one.
	minPingGap = 50 * time.Millisecond
	// quickDials dials in a row have no more time than quickDialTimeout, twice a round trip
	// between regions 35 ms apart. They last about as long as control takes to be back after
	// a loss of everything.
	quickDials       = 6
	quickDialTimeout = 150 * time.Millisecond
	// After quickDials the configured time-out holds for dialsAtTimeout dials, and doubles after each
	// dialsAtTimeout more up to maxDialTimeout: on a full link the packets that open a connection wait
	// longer than a short time-out, and one that was lost is sent again only after a second.
	dialsAtTimeout = 3
	maxDialTimeout = 1600 * time.Millisecond
)

// Client keeps one subscription alive.
type Client struct {
	config   ClientConfig
	target   Target
	selector *Selector

	// seeds are the servers of the settings, which servers' own lists are added to.
	seedsMu sync.Mutex
	seeds   []Candidate
	learned []protocol.Server

	confirmedAt atomic.Int64
	// soon holds at most one wish for an early ping.
	soon chan struct{}
	// resync asks the next server for everything, after an update that did not fit.
	resync atomic.Bool
	server atomic.Pointer[string]
	// failedDials counts the dials that failed one after the other.
	failedDials atomic.Int32
}

// NewClient returns a client for the given servers.
func NewClient(config ClientConfig, target Target, candidates []Candidate) (*Client, error) {
	if len(candidates) == 0 {
		return nil, errors.New("subscribe: no server is named")
	}
	config.Hello.Level = catalog.NewestLevel
	c := &Client{config: config, target: target, seeds: candidates, selector: NewSelector(config.Selector, candidates), soon: make(chan struct{}, 1)}
	c.confirmedAt.Store(unconfirmed)
	return c, nil
}

// unconfirmed marks that no confirmation came yet.
const unconfirmed = -1

// ConfirmedAt returns the newest moment up to which the target is known to include
// everything accepted, and false if there is none yet.
func (c *Client) ConfirmedAt() (time.Duration, bool) {
	at := c.confirmedAt.Load()
	return time.Duration(at), at != unconfirmed
}

// SetSeeds replaces the servers of the settings.
func (c *Client) SetSeeds(seeds []Candidate) {
	c.seedsMu.Lock()
	defer c.seedsMu.Unlock()
	c.seeds = seeds
	c.offerCandidates()
}

// learnServers takes in a server's list of servers; an empty one says nothing.
func (c *Client) learnServers(servers []protocol.Server) {
	if len(servers) == 0 {
		return
	}
	c.seedsMu.Lock()
	defer c.seedsMu.Unlock()
	c.learned = servers
	c.offerCandidates()
}

// offerCandidates gives the selector the learned servers and the seeds that are not among
// them; the mutex is held.
func (c *Client) offerCandidates() {
	var all []Candidate
	known := map[string]bool{}
	for _, server := range c.learned {
		all = append(all, Candidate{Address: server.Address, Near: server.Zone == c.config.Hello.Zone})
		known[server.Address] = true
	}
	for _, seed := range c.seeds {
		if !known[seed.Address] {
			all = append(all, seed)
		}
	}
	c.selector.Offer(all)
}

// Server returns the address of the server subscribed to, empty if there is none.
func (c *Client) Server() string {
	if server := c.server.Load(); server != nil {
		return *server
	}
	return ""
}

// PingSoon makes the next ping come early, within minPingGap: somebody waits for a newer
// confirmation.
func (c *Client) PingSoon() {
	select {
	case c.soon <- struct{}{}:
	default:
	}
}

// Run keeps subscribing until the context ends.
func (c *Client) Run(ctx context.Context) {
	var successor *session
	for ctx.Err() == nil {
		s, err := successor, error(nil)
		if s == nil {
			s, err = c.openNext(ctx)
		}
		successor = nil
		if err == nil {
			err = s.run(ctx)
			successor = s.successor
			c.server.Store(nil)
		}
		if ctx.Err() == nil {
			c.noteEnd(s, err)
		}
	}
	successor.close()
}

// openNext opens a subscription at the server that the selector names, when it says.
func (c *Client) openNext(ctx context.Context) (*session, error) {
	candidate, wait := c.selector.Next(c.config.Now())
	if !sleep(ctx, wait) {
		return nil, ctx.Err()
	}
	s, err := c.open(ctx, candidate.Address)
	if err == nil && c.selector.NearerAtOnce(c.config.Now()) {
		s.close()
		err = errNearerServer
	}
	if err != nil {
		return &session{address: candidate.Address}, err
	}
	return s, nil
}

// noteEnd tells the selector how a subscription, or the attempt to open one, ended.
func (c *Client) noteEnd(s *session, err error) {
	now := c.config.Now()
	switch {
	case s.successor != nil:
		c.selector.MovedTo(s.successor.address)
		c.config.Logger.Log("event", "subscription_moves", "server", s.address, "to", s.successor.address, "reason", s.whyMoved())
	case errors.Is(err, errNearerServer):
		c.selector.Move(now)
		c.config.Logger.Log("event", "subscription_moves", "server", s.address, "reason", err)
	default:
		c.selector.Failed(now, retryAfter(err))
		c.config.Logger.Log("event", "subscription_ended", "server", s.address, "error", err)
	}
}

// whyMoved says why a successor was opened.
func (s *session) whyMoved() string {
	if standing := s.leaving.Load(); standing != nil {
		return fmt.Sprintf("the server is stale (confirmed=%t stale=%s behind=%t)", standing.Confirmed, standing.Stale, standing.Behind)
	}
	return errNearerServer.Error()
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func retryAfter(err error) time.Duration {
	var refused *protocol.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal.RetryAfter
	}
	return 0
}

// session is one open subscription of a client.
type session struct {
	client  *Client
	address string
	conn    *wire.Conn
	// openedAt is on the client's clock.
	openedAt time.Duration
	// cancel ends the session, work counts its goroutines.
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu           sync.Mutex
	subscription *Subscription
	// opening is set while a subscription at another server is being opened. successor is that
	// subscription once it stands; it is final when run has returned.
	opening   bool
	successor *session
	// leaving is how the server stood when it was found not to be good enough, nil while it is.
	leaving atomic.Pointer[Standing]
}

// dialTimeout is short at first: a machine that has just been without power says nothing, and a
// server that comes back meanwhile is found at the next try only. After some failed dials it is the
// configured one, for networks that take longer, and longer still after some more.
func (c *Client) dialTimeout() time.Duration {
	failed := c.failedDials.Load()
	if failed < quickDials {
		return min(quickDialTimeout, c.config.DialTimeout)
	}
	doublings := min((failed-quickDials)/dialsAtTimeout, maxDoublings)
	return max(c.config.DialTimeout, min(maxDialTimeout, c.config.DialTimeout<<doublings))
}

// open dials a server and performs the handshake.
func (c *Client) open(ctx context.Context, address string) (*session, error) {
	dialer := net.Dialer{Timeout: c.dialTimeout()}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.failedDials.Add(1)
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	c.failedDials.Store(0)
	if c.config.Wrap != nil {
		raw = c.config.Wrap(raw)
	}
	conn := wire.NewConn(raw, wire.DefaultMaxFrame, c.config.SilenceTimeout, c.config.Observe)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()

	hello := c.config.Hello
	hello.Position = c.target.Position()
	if c.resync.Load() {
		hello.Position = distribution.Position{}
	}
	welcome, err := protocol.Open(conn, hello, c.config.SilenceTimeout)
	if err != nil {
		conn.Close()
		return nil, err
	}
	c.learnServers(welcome.Servers)
	return &session{client: c, address: address, conn: conn, openedAt: c.config.Now(), subscription: NewSubscription()}, nil
}

// close ends a session that was not run; nil is none.
func (s *session) close() {
	if s != nil {
		s.conn.Close()
	}
}

// run keeps the subscription until it ends, and returns why.
func (s *session) run(ctx context.Context) error {
	c := s.client
	ctx, s.cancel = context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	c.resync.Store(false)
	c.server.Store(&s.address)
	c.config.Logger.Log("event", "subscribed", "server", s.address, "revision", c.target.Position().Revision)
	defer s.work.Wait()
	defer s.cancel()
	s.work.Go(func() {
		defer s.conn.Close()
		s.ping(ctx)
	})
	return s.read(ctx)
}

// openSuccessor opens a subscription at another server while this one goes on, which ends once the
// other stands: a client without any would miss versions for as long as it dials. After a failure
// find names the next server to try, until there is none.
func (s *session) openSuccessor(ctx context.Context, candidate Candidate, find func(now time.Duration) (Candidate, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opening {
		return
	}
	s.opening = true
	s.work.Go(func() {
		next := s.trySuccessors(ctx, candidate, find)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.opening = false
		if next != nil {
			s.successor = next
			s.cancel()
		}
	})
}

// trySuccessors returns a session at the first server that can be reached, nil if there is none.
func (s *session) trySuccessors(ctx context.Context, candidate Candidate, find func(now time.Duration) (Candidate, bool)) *session {
	c := s.client
	for known := true; known && ctx.Err() == nil; candidate, known = find(c.config.Now()) {
		next, err := c.open(ctx, candidate.Address)
		if err == nil {
			return next
		}
		if ctx.Err() != nil {
			return nil
		}
		c.selector.TriedInVain(c.config.Now(), candidate.Address)
		c.config.Logger.Log("event", "subscription_stays", "server", s.address, "tried", candidate.Address, "error", err)
	}
	return nil
}

// ping keeps both sides sure that the other lives. Intervals are jittered so that
// clients that started together drift apart.
func (s *session) ping(ctx context.Context) {
	for {
		if err := s.sendPing(); err != nil {
			return
		}
		interval := s.client.config.PingInterval
		if _, confirmed := s.client.ConfirmedAt(); !confirmed {
			interval = min(interval, firstPingInterval)
		}
		spread := time.Duration((0.75 + rand.Float64()/2) * float64(interval))
		if !s.untilNextPing(ctx, spread) {
			return
		}
	}
}

// untilNextPing waits for the next ping's time, or less if it is wanted soon; it reports
// whether to go on.
func (s *session) untilNextPing(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-s.client.soon:
		return sleep(ctx, min(interval, minPingGap))
	}
}

func (s *session) sendPing() error {
	s.mu.Lock()
	ping := s.subscription.Ping(s.client.config.Now(), s.client.target.Position())
	s.mu.Unlock()
	if s.client.config.TakeReports != nil {
		ping.Reports = s.client.config.TakeReports()
	}
	if s.client.config.Announce != nil {
		announced := s.client.config.Announce()
		ping.Announcements, ping.Evidence, ping.Closed = announced.Endpoints, announced.Evidence, announced.Closed
		var err error
		if ping.Rollouts, err = protocol.PackRollouts(announced.Rollouts); err != nil {
			return err
		}
	}
	return s.conn.Send(protocol.KindPing, ping)
}

func (s *session) read(ctx context.Context) error {
	for {
		kind, err := s.conn.Receive(s.client.config.SilenceTimeout)
		if err != nil {
			return err
		}
		switch kind {
		case protocol.KindUpdate:
			err = s.takeUpdate()
		case protocol.KindPackedUpdate:
			err = s.takePackedUpdate()
		case protocol.KindPong:
			err = s.takePong(ctx)
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

func (s *session) takeUpdate() error {
	var update distribution.Update
	if err := s.conn.Decode(&update); err != nil {
		return err
	}
	return s.apply(&update)
}

func (s *session) takePackedUpdate() error {
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

func (s *session) apply(update *distribution.Update) error {
	target := s.client.target
	before := target.Position()
	if err := target.Apply(update); err != nil {
		s.client.resync.Store(true)
		return fmt.Errorf("apply update from %s: %w", s.conn.Peer(), err)
	}
	after := target.Position()
	if after.Active != before.Active || after.Staged != before.Staged {
		return s.conn.Send(protocol.KindAck, protocol.Ack{Position: after})
	}
	return nil
}

func (s *session) takePong(ctx context.Context) error {
	var pong protocol.Pong
	if err := s.conn.Decode(&pong); err != nil {
		return err
	}
	c := s.client
	c.learnServers(pong.Servers)
	s.mu.Lock()
	at, confirmed, err := s.subscription.TakePong(pong, c.target)
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("from %s: %w", s.conn.Peer(), err)
	}
	if confirmed {
		c.confirm(at)
	}
	_, ever := c.ConfirmedAt()
	standing := Standing{
		Confirmed: confirmed, Stale: pong.Stale, Behind: pong.Revision < c.target.Position().Revision,
		Starting: !ever, Open: c.config.Now() - s.openedAt,
	}
	s.lookForAnother(ctx, standing)
	return nil
}

// lookForAnother goes to another server if this one is stale or behind, or if one of the own zone is
// there.
func (s *session) lookForAnother(ctx context.Context, standing Standing) {
	c := s.client
	now := c.config.Now()
	if c.selector.Heard(now, standing) {
		s.leaving.Store(&standing)
		if other, known := c.selector.OtherFor(now, standing); known {
			s.openSuccessor(ctx, other, c.selector.Other)
		}
		return
	}
	s.leaving.Store(nil)
	if !c.selector.Nearer(now) {
		return
	}
	if nearest, known := c.selector.Nearest(now); known {
		s.openSuccessor(ctx, nearest, c.selector.Nearest)
	}
}

func (c *Client) confirm(at time.Duration) {
	if at <= time.Duration(c.confirmedAt.Load()) {
		return
	}
	c.confirmedAt.Store(int64(at))
	if c.config.OnConfirmed != nil {
		c.config.OnConfirmed(at)
	}
}
