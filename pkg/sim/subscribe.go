package sim

import (
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/stream"
)

// server is the serving side of subscriptions, like stream.Hub.
type server struct {
	process   *process
	planner   *distribution.Planner
	freshness func() stream.Freshness
	sessions  []*serverSession
}

type serverSession struct {
	session *stream.Session
	conn    *connection
	client  *subscriber
}

func newServer(p *process, state *distribution.State, freshness func() stream.Freshness) *server {
	return &server{process: p, planner: distribution.NewPlanner(state), freshness: freshness}
}

func (s *server) setState(state *distribution.State) {
	s.planner.SetState(state)
	for _, sess := range s.sessions {
		s.sendPending(sess)
	}
}

// accept opens a session for a client.
func (s *server) accept(conn *connection, client *subscriber, hello protocol.Hello) *serverSession {
	sess := &serverSession{session: stream.NewSession(hello.Group, hello.Position), conn: conn, client: client}
	s.sessions = append(s.sessions, sess)
	conn.onServerClose = func() { s.removeSession(sess) }
	s.sendPending(sess)
	return sess
}

func (s *server) removeSession(closed *serverSession) {
	for i, sess := range s.sessions {
		if sess == closed {
			s.sessions = append(s.sessions[:i:i], s.sessions[i+1:]...)
			return
		}
	}
}

func (s *server) handlePing(sess *serverSession, ping protocol.Ping) {
	sess.session.HandlePing(ping)
	s.sendPending(sess)
}

func (s *server) sendPending(sess *serverSession) {
	update, pong, err := sess.session.PendingMessages(s.planner, s.freshness())
	if err != nil {
		s.process.simulation.violate(invariantPlan, "%s cannot plan an update: %v", s.process.name, err)
		return
	}
	client := sess.client
	if update != nil {
		update = client.network.maybeCorrupt(update)
		sess.conn.send(toClient, func() { client.handleUpdate(sess.conn, update) })
	}
	if pong != nil {
		sess.conn.send(toClient, func() { client.handlePong(sess.conn, *pong) })
	}
}

// subscriber is the client side of a subscription, like stream.Client.
type subscriber struct {
	process  *process
	network  *network
	target   stream.Target
	hello    protocol.Hello
	selector *stream.Selector
	// lookup finds a server by name; its process may not be running.
	lookup         func(name string) (*process, func() *server)
	pingInterval   time.Duration
	silenceTimeout time.Duration
	onConfirmed    func(at time.Duration)

	conn         *connection
	session      *serverSession
	subscription *stream.Subscription
	lastHeard    time.Duration
	// confirmedAt is the latest local time at which the target's state was known to be
	// current; it is meaningful if confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	resync      bool
}

const firstPingInterval = 150 * time.Millisecond

func (s *subscriber) start() { s.connectNext() }

func (s *subscriber) connectNext() {
	candidate, wait := s.selector.Next(s.process.clock())
	s.process.afterLocal(wait, func() {
		peer, currentServer := s.lookup(candidate.Address)
		s.network.dial(s.process, peer, func(conn *connection) { s.connected(conn, currentServer) }, func() { s.connectFailed() })
	})
}

func (s *subscriber) connectFailed() {
	s.process.simulation.log("%s has no subscription", s.process.name)
	s.conn = nil
	s.selector.Failed(s.process.clock(), 0)
	s.connectNext()
}

func (s *subscriber) connected(conn *connection, currentServer func() *server) {
	s.conn = conn
	s.session = nil
	s.subscription = stream.NewSubscription()
	s.process.simulation.log("%s subscribes to %s", s.process.name, conn.server.name)
	s.lastHeard = s.process.clock()
	conn.onClientClose = func() { s.connectionLost(conn) }
	hello := s.hello
	hello.Position = s.target.Position()
	if s.resync {
		hello.Position = distribution.Position{}
		s.resync = false
	}
	conn.send(toServer, func() { s.session = currentServer().accept(conn, s, hello) })
	s.ping(conn)
	s.watchSilence(conn)
}

// connectionLost closes a connection and connects again, unless the subscriber has
// already left the connection.
func (s *subscriber) connectionLost(conn *connection) {
	if s.conn != conn {
		return
	}
	conn.closeFrom(s.process)
	s.connectFailed()
}

func (s *subscriber) ping(conn *connection) {
	if s.conn != conn {
		return
	}
	ping := s.subscription.Ping(s.process.clock(), s.target.Position())
	conn.send(toServer, func() {
		peer, sess := conn.server, s.session
		if sess != nil && peer.running {
			s.serverOf(sess).handlePing(sess, ping)
		}
	})
	interval := s.pingInterval
	if !s.confirmed {
		interval = min(interval, firstPingInterval)
	}
	s.process.afterLocal(interval, func() { s.ping(conn) })
}

// serverOf returns the current server of the process that holds the session.
func (s *subscriber) serverOf(sess *serverSession) *server {
	_, currentServer := s.lookup(sess.conn.server.name)
	return currentServer()
}

func (s *subscriber) watchSilence(conn *connection) {
	if s.conn != conn {
		return
	}
	if s.process.clock()-s.lastHeard > s.silenceTimeout {
		s.connectionLost(conn)
		return
	}
	s.process.afterLocal(s.silenceTimeout/4, func() { s.watchSilence(conn) })
}

func (s *subscriber) handleUpdate(conn *connection, update *distribution.Update) {
	if s.conn != conn {
		return
	}
	s.lastHeard = s.process.clock()
	if err := s.target.Apply(update); err != nil {
		s.process.simulation.log("%s rejects an update: %v", s.process.name, err)
		s.resync = true
		s.connectionLost(conn)
	}
}

func (s *subscriber) handlePong(conn *connection, pong protocol.Pong) {
	if s.conn != conn {
		return
	}
	s.lastHeard = s.process.clock()
	at, confirmed, err := s.subscription.HandlePong(pong, s.target)
	if err != nil {
		s.connectionLost(conn)
		return
	}
	if confirmed && (!s.confirmed || at > s.confirmedAt) && at >= 0 {
		s.confirmedAt, s.confirmed = at, true
		if s.onConfirmed != nil {
			s.onConfirmed(at)
		}
	}
	if s.selector.ObservePong(s.process.clock(), stream.ServerHealth{Confirmed: confirmed, Stale: pong.Stale, Behind: pong.Revision < s.target.Position().Revision}) {
		s.connectionLost(conn)
		return
	}
	if s.selector.ShouldMoveNearer(s.process.clock()) {
		s.moveToLocalZone(conn)
	}
}

// moveToLocalZone reconnects to a server in the subscriber's own zone.
func (s *subscriber) moveToLocalZone(conn *connection) {
	conn.closeFrom(s.process)
	s.process.simulation.log("%s moves to a server of its zone", s.process.name)
	s.conn = nil
	s.selector.SelectNearest(s.process.clock())
	s.connectNext()
}
