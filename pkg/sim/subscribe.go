package sim

import (
	"time"

	"bramblelift/pkg/distribution"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/stream"
)

// server is the serving side of subscriptions, as stream.Hub runs it.
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
	for _, open := range s.sessions {
		s.sendDue(open)
	}
}

// accept opens a session for a client.
func (s *server) accept(conn *connection, client *subscriber, hello protocol.Hello) *serverSession {
	open := &serverSession{session: stream.NewSession(hello.Group, hello.Position), conn: conn, client: client}
	s.sessions = append(s.sessions, open)
	conn.onServerClose = func() { s.drop(open) }
	s.sendDue(open)
	return open
}

func (s *server) drop(gone *serverSession) {
	for i, open := range s.sessions {
		if open == gone {
			s.sessions = append(s.sessions[:i:i], s.sessions[i+1:]...)
			return
		}
	}
}

func (s *server) takePing(open *serverSession, ping protocol.Ping) {
	open.session.TakePing(ping)
	s.sendDue(open)
}

func (s *server) sendDue(open *serverSession) {
	update, pong, err := open.session.Due(s.planner, s.freshness())
	if err != nil {
		s.process.world.violate(invariantPlan, "%s cannot plan an update: %v", s.process.name, err)
		return
	}
	client := open.client
	if update != nil {
		update = client.network.garbled(update)
		open.conn.send(toClient, func() { client.takeUpdate(open.conn, update) })
	}
	if pong != nil {
		open.conn.send(toClient, func() { client.takePong(open.conn, *pong) })
	}
}

// subscriber is the client side of a subscription, as stream.Client runs it.
type subscriber struct {
	process  *process
	network  *network
	target   stream.Target
	hello    protocol.Hello
	selector *stream.Selector
	// lookup finds a server by name; it may be dead.
	lookup         func(name string) (*process, func() *server)
	pingInterval   time.Duration
	silenceTimeout time.Duration
	onConfirmed    func(at time.Duration)

	conn         *connection
	open         *serverSession
	subscription *stream.Subscription
	lastHeard    time.Duration
	confirmedAt  time.Duration
	confirmed    bool
	resync       bool
}

const firstPingInterval = 150 * time.Millisecond

func (s *subscriber) start() { s.tryNext() }

func (s *subscriber) tryNext() {
	candidate, wait := s.selector.Next(s.process.clock())
	s.process.later(wait, func() {
		peer, serving := s.lookup(candidate.Address)
		s.network.dial(s.process, peer, func(conn *connection) { s.connected(conn, serving) }, func() { s.failed() })
	})
}

func (s *subscriber) failed() {
	s.process.world.log("%s has no subscription", s.process.name)
	s.conn = nil
	s.selector.Failed(s.process.clock(), 0)
	s.tryNext()
}

func (s *subscriber) connected(conn *connection, serving func() *server) {
	s.conn = conn
	s.open = nil
	s.subscription = stream.NewSubscription()
	s.process.world.log("%s subscribes to %s", s.process.name, conn.server.name)
	s.lastHeard = s.process.clock()
	conn.onClientClose = func() { s.lost(conn) }
	hello := s.hello
	hello.Position = s.target.Position()
	if s.resync {
		hello.Position = distribution.Position{}
		s.resync = false
	}
	conn.send(toServer, func() { s.open = serving().accept(conn, s, hello) })
	s.ping(conn)
	s.watchSilence(conn)
}

// lost ends the subscription on a connection, unless it has been left already.
func (s *subscriber) lost(conn *connection) {
	if s.conn != conn {
		return
	}
	conn.closeBy(s.process)
	s.failed()
}

func (s *subscriber) ping(conn *connection) {
	if s.conn != conn {
		return
	}
	ping := s.subscription.Ping(s.process.clock(), s.target.Position())
	conn.send(toServer, func() {
		peer, serving := conn.server, s.open
		if serving != nil && peer.alive {
			s.serverOf(serving).takePing(serving, ping)
		}
	})
	interval := s.pingInterval
	if !s.confirmed {
		interval = min(interval, firstPingInterval)
	}
	s.process.later(interval, func() { s.ping(conn) })
}

// serverOf finds the server that a session belongs to.
func (s *subscriber) serverOf(open *serverSession) *server {
	_, serving := s.lookup(open.conn.server.name)
	return serving()
}

func (s *subscriber) watchSilence(conn *connection) {
	if s.conn != conn {
		return
	}
	if s.process.clock()-s.lastHeard > s.silenceTimeout {
		s.lost(conn)
		return
	}
	s.process.later(s.silenceTimeout/4, func() { s.watchSilence(conn) })
}

func (s *subscriber) takeUpdate(conn *connection, update *distribution.Update) {
	if s.conn != conn {
		return
	}
	s.lastHeard = s.process.clock()
	if err := s.target.Apply(update); err != nil {
		s.process.world.log("%s declines an update: %v", s.process.name, err)
		s.resync = true
		s.lost(conn)
	}
}

func (s *subscriber) takePong(conn *connection, pong protocol.Pong) {
	if s.conn != conn {
		return
	}
	s.lastHeard = s.process.clock()
	at, confirmed, err := s.subscription.TakePong(pong, s.target)
	if err != nil {
		s.lost(conn)
		return
	}
	if confirmed && (!s.confirmed || at > s.confirmedAt) && at >= 0 {
		s.confirmedAt, s.confirmed = at, true
		if s.onConfirmed != nil {
			s.onConfirmed(at)
		}
	}
	if s.selector.Heard(s.process.clock(), stream.Standing{Confirmed: confirmed, Stale: pong.Stale, Behind: pong.Revision < s.target.Position().Revision}) {
		s.lost(conn)
		return
	}
	if s.selector.Nearer(s.process.clock()) {
		s.moveNearer(conn)
	}
}

// moveNearer goes to a server of the own zone.
func (s *subscriber) moveNearer(conn *connection) {
	conn.closeBy(s.process)
	s.process.world.log("%s moves to a server of its zone", s.process.name)
	s.conn = nil
	s.selector.Move(s.process.clock())
	s.tryNext()
}
