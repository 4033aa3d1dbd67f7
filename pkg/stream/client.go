package stream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/catalog"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quota"
	"bramblelift/pkg/wire"

	"github.com/go-kit/log"
)

// Target receives the state delivered by a subscription.
type Target interface {
	// Position returns the position of the state held.
	Position() distribution.Position
	// Apply applies an update atomically: on error the state is unchanged.
	Apply(update *distribution.Update) error
	// Current records that the state held is complete up to a revision.
	Current(revision uint64)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Hello identifies the client; Client sets its Position, Protocol and Level.
	Hello    protocol.Hello
	Selector SelectorConfig
	// PingInterval is the mean interval between pings. A server that sends nothing for
	// SilenceTimeout is abandoned.
	PingInterval   time.Duration
	SilenceTimeout time.Duration
	// DialInterval is how long a server may take to accept a subscription before another one is tried, too.
	DialInterval time.Duration
	// Dial, if set, opens the connections in place of a TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Wrap, if set, wraps each new connection, for example to count its bytes.
	Wrap    func(net.Conn) net.Conn
	Observe wire.Observer
	Logger  log.Logger
	// Now reads the process's monotonic clock.
	Now func() time.Duration
	// OnConfirmed, if set, is called when the time up to which the target is confirmed to be
	// current advances.
	OnConfirmed func(at time.Duration)
	// TakeReports, if set, returns the reports to send with the next ping.
	TakeReports func() []protocol.NodeReport
	// Announce, if set, returns the announcements to send with the next ping.
	Announce func() protocol.Announce
	// OnEnded, if set, receives announced back ends that the server lists as leaving or removed.
	OnEnded func([]distribution.Endpoint)
	// OnQuotas, if set, receives quota shares and the time from which their age counts: when the answered
	// ping was sent.
	OnQuotas func(asked time.Duration, shares quota.Shares)
}

const (
	// firstPingInterval is the interval until the first confirmation, which a starting node
	// waits for. It is about the time that a new leader needs to confirm its followers.
	firstPingInterval = 50 * time.Millisecond
	// minPingGap delays a ping requested by PingSoon, which bounds the rate of pings.
	minPingGap = 50 * time.Millisecond
	// awaitPingInterval is the interval between pings while Await is in effect.
	awaitPingInterval = 150 * time.Millisecond
	// The first quickDialAttempts consecutive dials are followed by another after quickDialInterval, two
	// round trips between regions 35 ms apart. Together they span a restart of the control plane.
	quickDialAttempts = 6
	quickDialInterval = 150 * time.Millisecond
	// dialPatience is how long a dial may take: on a saturated link SYN packets queue for long, and a lost one is
	// retransmitted only after a second.
	dialPatience = 3 * time.Second
)

// Client maintains one subscription and switches servers when the current one fails or is stale.
type Client struct {
	config   ClientConfig
	target   Target
	selector *Selector

	// serversMu guards seeds, the configured servers, and discoveredServers, the list received from
	// servers.
	serversMu         sync.Mutex
	seeds             []Candidate
	discoveredServers []protocol.Server

	confirmedAt atomic.Int64
	// earlyPing holds at most one request for an early ping.
	earlyPing chan struct{}
	// needsFullState is set when an update could not be applied; the next subscription then
	// requests the full state.
	needsFullState atomic.Bool
	currentServer  atomic.Pointer[string]
	// awaiting counts the calls of Await in effect.
	awaiting atomic.Int32
	// unansweredDials counts the dials since the last one that was answered.
	unansweredDials atomic.Int32
}

// NewClient returns a client for the given servers, and an error if there are none.
func NewClient(config ClientConfig, target Target, candidates []Candidate) (*Client, error) {
	if len(candidates) == 0 {
		return nil, errors.New("subscribe: no servers configured")
	}
	config.Hello.Level = catalog.NewestLevel
	c := &Client{config: config, target: target, seeds: candidates, selector: NewSelector(config.Selector, candidates), earlyPing: make(chan struct{}, 1)}
	c.confirmedAt.Store(unconfirmed)
	return c, nil
}

// unconfirmed is the value of confirmedAt until the first confirmation.
const unconfirmed = -1

// ConfirmedAt returns the latest time, on the clock of Now, up to which the target is known to
// include every accepted change, and false before the first confirmation.
func (c *Client) ConfirmedAt() (time.Duration, bool) {
	at := c.confirmedAt.Load()
	return time.Duration(at), at != unconfirmed
}

// SetSeeds replaces the configured servers, for example when the settings change.
func (c *Client) SetSeeds(seeds []Candidate) {
	c.serversMu.Lock()
	defer c.serversMu.Unlock()
	c.seeds = seeds
	c.updateCandidates()
}

// setDiscoveredServers replaces the list received from a server. An empty list is ignored.
func (c *Client) setDiscoveredServers(servers []protocol.Server) {
	if len(servers) == 0 {
		return
	}
	c.serversMu.Lock()
	defer c.serversMu.Unlock()
	c.discoveredServers = servers
	c.updateCandidates()
}

// updateCandidates passes the discovered servers, and the seeds not among them, to the selector;
// serversMu must be held.
func (c *Client) updateCandidates() {
	var all []Candidate
	known := map[string]bool{}
	for _, server := range c.discoveredServers {
		all = append(all, Candidate{Address: server.Address, Near: server.Zone == c.config.Hello.Zone})
		known[server.Address] = true
	}
	for _, seed := range c.seeds {
		if !known[seed.Address] {
			all = append(all, seed)
		}
	}
	c.selector.SetCandidates(all)
}

// Server returns the address of the current server, empty while there is no subscription.
func (c *Client) Server() string {
	if server := c.currentServer.Load(); server != nil {
		return *server
	}
	return ""
}

// PingSoon requests the next ping within minPingGap, to fetch a newer confirmation or to send
// announcements early.
func (c *Client) PingSoon() {
	select {
	case c.earlyPing <- struct{}{}:
	default:
	}
}

// Await makes the client ping more often, and leave a server sooner that does not keep up with the control plane, until
// the returned function is called: somebody waits for a change to be committed and received.
func (c *Client) Await() (done func()) {
	c.awaiting.Add(1)
	c.PingSoon()
	return func() { c.awaiting.Add(-1) }
}

// Run maintains the subscription until the context ends.
func (c *Client) Run(ctx context.Context) {
	var successor *clientSession
	for ctx.Err() == nil {
		s := successor
		if s == nil {
			s = c.open(ctx)
		}
		if s == nil {
			return
		}
		err := s.run(ctx)
		successor = s.successor
		c.currentServer.Store(nil)
		if ctx.Err() == nil {
			c.handleSessionEnd(s, err)
		}
	}
	successor.close()
}

// open subscribes to one of the servers that the selector names, with its pauses in between. It returns nil if the
// context ended.
func (c *Client) open(ctx context.Context) *clientSession {
	o := newOpener(ctx, c)
	defer o.stop()
	for ctx.Err() == nil {
		s := c.openNext(o)
		if s != nil && c.isNearest(s) {
			return s
		}
	}
	return nil
}

// openNext begins an attempt at the server that the selector names next. It returns nil if neither this attempt nor an
// earlier one has opened a session by the time of the next.
func (c *Client) openNext(o *opener) *clientSession {
	candidate, pause := c.selector.Next(c.config.Now())
	if s, _ := o.await(pause, nil); s != nil {
		return s
	}
	if s := o.awaitRoom(); s != nil || o.ctx.Err() != nil {
		return s
	}
	attempt := o.start(candidate.Address)
	s, err := o.await(attempt.interval, attempt)
	if s != nil || o.ctx.Err() != nil {
		return s
	}
	if err == nil {
		err = errSlowServer
	}
	c.handleSessionEnd(&clientSession{address: candidate.Address}, err)
	return nil
}

// isNearest makes the server of an opened session the current one. If its Welcome lists a server in the client's zone,
// it closes the session and selects that one.
func (c *Client) isNearest(s *clientSession) bool {
	c.selector.SetCurrent(s.address)
	if !c.selector.NearerAvailable(c.config.Now()) {
		return true
	}
	s.close()
	c.handleSessionEnd(s, errNearerServer)
	return false
}

// handleSessionEnd updates the selector after a subscription, or an attempt to open one, has ended.
func (c *Client) handleSessionEnd(s *clientSession, err error) {
	now := c.config.Now()
	switch {
	case s.successor != nil:
		c.selector.SetCurrent(s.successor.address)
		c.config.Logger.Log("event", "subscription_moves", "server", s.address, "to", s.successor.address, "reason", s.moveReason())
	case errors.Is(err, errNearerServer):
		c.selector.SelectNearest(now)
		c.config.Logger.Log("event", "subscription_moves", "server", s.address, "reason", err)
	case errors.Is(err, errSlowServer):
		c.selector.Failed(now, 0)
		c.config.Logger.Log("event", "subscription_slow", "server", s.address)
	default:
		c.selector.Failed(now, retryAfter(err))
		c.config.Logger.Log("event", "subscription_ended", "server", s.address, "error", err)
	}
}

// moveReason describes for the log why a successor was opened.
func (s *clientSession) moveReason() string {
	if health := s.leaveReason.Load(); health != nil {
		return fmt.Sprintf("the server is stale (confirmed=%t stale=%s behind=%t)", health.Confirmed, health.Stale, health.Behind)
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

func (c *Client) advanceConfirmedAt(at time.Duration) {
	before, confirmed := c.ConfirmedAt()
	if at <= before {
		return
	}
	if unconfirmedFor := at - before; confirmed && unconfirmedFor > c.config.Selector.StaleLimit {
		c.config.Logger.Log("event", "confirmed_again", "server", c.Server(), "unconfirmed_for", unconfirmedFor,
			"revision", c.target.Position().Revision)
	}
	c.confirmedAt.Store(int64(at))
	if c.config.OnConfirmed != nil {
		c.config.OnConfirmed(at)
	}
}
