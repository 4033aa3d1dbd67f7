// Package relay implements the relay daemon. It holds one subscription to the control plane and
// serves the state to many nodes. It stores nothing on disk; after a restart it fetches the state
// again and reports how long ago it was confirmed.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"bramblelift/pkg/admin"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/clock"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/metrics"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quota"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/stream"
	"bramblelift/pkg/wire"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
)

// These constants are the timeouts and admission limits of a relay.
const (
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 3 * time.Second
	dialInterval     = time.Second
	// nodeSilenceTimeout ends the subscription of a node that sends no pings.
	nodeSilenceTimeout = 10 * time.Second
	// The admission rate lets a relay accept its share of a zone's nodes within about two seconds.
	admissionPerSecond = 400
	admissionBurst     = 200
)

// Server is one relay: a subscriber of the control plane and a hub for nodes.
type Server struct {
	settings settings.Relay
	logger   log.Logger
	clock    *clock.Clock
	hub      *stream.Hub
	client   *stream.Client
	admin    *admin.Service
	listener net.Listener
	traffic  *metrics.Traffic
	reports  *reportQueue
	// announcements are queued for the control plane.
	announcements announceQueue
	// quotas aggregates the nodes' reports on tenants that have a limit.
	quotas *quota.Replica

	mu     sync.Mutex
	holder *distribution.Holder
}

// New opens the relay's listeners and returns the relay; Run starts it.
func New(config settings.Relay, logger log.Logger) (*Server, error) {
	verifier, err := config.Verifier()
	if err != nil {
		return nil, err
	}
	s := &Server{
		settings: config, logger: logger, clock: clock.New(),
		holder:  distribution.NewHolder(bundle.ScopeAll, verifier, nil),
		reports: newReportQueue(),
		quotas:  quota.NewReplica(config.Name, settings.Quotas{}.Policy()),
	}
	s.hub = stream.NewHub(stream.HubConfig{
		Name: config.Name, SilenceTimeout: nodeSilenceTimeout,
		Admission:           stream.AdmissionConfig{PerSecond: admissionPerSecond, Burst: admissionBurst},
		Now:                 s.clock.Elapsed,
		ConfirmedAt:         func() (time.Duration, bool) { return s.client.ConfirmedAt() },
		RequestConfirmation: func() { s.client.PingSoon() },
		OnReport:            s.reports.add,
		OnAnnounce:          s.queueAnnouncement,
		Quotas:              s.quotas,
	}, s.holder.State())
	if s.listener, err = net.Listen("tcp", config.Listen); err != nil {
		return nil, fmt.Errorf("listen for nodes: %w", err)
	}
	s.admin, err = admin.Listen(config.AdminListen, admin.Options{Status: s.status, Ready: s.ready, MetricsListen: config.MetricsListen})
	if err != nil {
		return nil, err
	}
	s.traffic = metrics.NewTraffic(s.admin.Registry)
	s.admin.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bramblelift_subscribers", Help: "Open subscriptions of nodes.",
	}, func() float64 { return float64(s.hub.Subscribers()) }))
	return s, s.newClient()
}

func (s *Server) newClient() error {
	role := &metrics.PeerRole{}
	role.Set(metrics.LinkControl)
	var err error
	s.client, err = stream.NewClient(stream.ClientConfig{
		Hello: protocol.Hello{
			ClusterID: s.settings.Cluster, Role: protocol.RoleRelay,
			Name: s.settings.Name, Zone: s.settings.Zone, Group: bundle.ScopeAll,
		},
		Selector:       stream.SelectorConfigFor(time.Duration(s.settings.StaleLimit)),
		PingInterval:   time.Duration(s.settings.PingInterval),
		SilenceTimeout: time.Duration(s.settings.SilenceTimeout),
		DialInterval:   dialInterval,
		Observe:        s.traffic.Observe(role),
		Logger:         s.logger,
		Now:            s.clock.Elapsed,
		TakeReports:    s.takeReports,
		Announce:       s.announce,
		OnQuotas:       s.forwardQuotas,
	}, s, stream.Candidates(s.settings.Zone, s.settings.Controls))
	return err
}

// announce returns the announcements for the next ping to the control plane.
func (s *Server) announce() protocol.Announce {
	announced := s.announcements.take()
	if report := s.quotas.Report(s.clock.Elapsed()); report.Nodes > 0 {
		announced.Quotas = &report
	}
	return announced
}

// forwardQuotas pushes shares from the control plane to the nodes. requestedAt is the time from which
// their age counts: when the answered ping was sent.
func (s *Server) forwardQuotas(requestedAt time.Duration, shares quota.Shares) {
	now := s.clock.Elapsed()
	shares.Age += now - requestedAt
	// Replicas send only the shares of tenants whose limit is being enforced (quota.Share.Limited) and of
	// those in the relay's report.
	shares.Partial = true
	s.hub.PushQuotas(s.quotas.ApplyShares(now, shares))
}

// Position implements stream.Target.
func (s *Server) Position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.State().Position()
}

// Apply implements stream.Target. It verifies the update and passes the new state to the hub.
func (s *Server) Apply(update *distribution.Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.holder.Apply(update); err != nil {
		return err
	}
	s.hub.SetState(s.holder.State())
	return nil
}

// Current implements stream.Target. It advances the revision of a state that has not changed.
func (s *Server) Current(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.holder.State().Revision {
		s.holder.AdvanceTo(revision)
		s.hub.SetState(s.holder.State())
	}
}

// takeReports returns the node reports for the next ping: only the changed ones, or all after a
// change of server, because the new server has none of them.
func (s *Server) takeReports() []protocol.NodeReport {
	server := s.client.Server()
	if s.reports.recordServer(server) {
		s.reports.discard()
		return s.hub.Reports()
	}
	return s.reports.take()
}

// Run serves nodes until the context ends or the admin server fails.
func (s *Server) Run(ctx context.Context) error {
	s.logger.Log("event", "started", "listen", s.listener.Addr(), "admin", s.admin.Address())
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	// The stop function is not needed: ctx is always canceled before the goroutines are awaited.
	context.AfterFunc(ctx, func() {
		s.hub.Stop()
		s.listener.Close()
	})
	group.Go(func() { s.client.Run(ctx) })
	group.Go(func() { s.accept(ctx, &group) })
	err := s.admin.Serve(ctx)
	s.logger.Log("event", "stopped", "error", err)
	return err
}

// accept serves the connections of nodes.
func (s *Server) accept(ctx context.Context, group *sync.WaitGroup) {
	if err := wire.AcceptAll(ctx, s.listener, group, s.serve); err != nil {
		s.logger.Log("event", "accept_failed", "error", err)
	}
}

func (s *Server) serve(ctx context.Context, raw net.Conn) {
	role := &metrics.PeerRole{}
	role.Set(metrics.LinkNode)
	conn := wire.NewConn(raw, wire.DefaultMaxFrame, writeTimeout, s.traffic.Observe(role))
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	hello, err := protocol.Accept(conn, s.settings.Cluster, handshakeTimeout)
	if err == nil && hello.Role != protocol.RoleNode {
		err = protocol.Refuse(conn, protocol.Refusal{Reason: protocol.ReasonRole, Message: "a relay serves nodes only"})
	}
	if err == nil {
		err = s.hub.Serve(ctx, conn, hello)
	}
	s.logger.Log("event", "node_left", "node", hello.Name, "peer", conn.Peer(), "error", err)
}

// Status is the response of /status.
type Status struct {
	Name        string                `json:"name"`
	Zone        string                `json:"zone"`
	Server      string                `json:"server"`
	Position    distribution.Position `json:"position"`
	Confirmed   bool                  `json:"confirmed"`
	StaleMillis int64                 `json:"stale_millis"`
	Subscribers int                   `json:"subscribers"`
}

func (s *Server) status() any {
	status := Status{
		Name: s.settings.Name, Zone: s.settings.Zone, Server: s.client.Server(),
		Position: s.Position(), Subscribers: s.hub.Subscribers(),
	}
	if at, confirmed := s.client.ConfirmedAt(); confirmed {
		status.Confirmed = true
		status.StaleMillis = (s.clock.Elapsed() - at).Milliseconds()
	}
	return status
}

func (s *Server) ready() error {
	if _, confirmed := s.client.ConfirmedAt(); !confirmed {
		return errors.New("no control replica has confirmed a state yet")
	}
	return nil
}
