package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/admin"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/clock"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/metrics"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quarantine"
	"bramblelift/pkg/raft"
	"bramblelift/pkg/replica"
	"bramblelift/pkg/roundtrip"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/storage"
	"bramblelift/pkg/stream"
	"bramblelift/pkg/wire"

	"github.com/go-kit/log"
)

// Buffer sizes, limits and timeouts of the daemon.
const (
	maxAppendBytes = 1 << 20
	keepEntries    = 1000
	compactAfter   = 4000
	compactBytes   = 16 << 20
	// maxClockDrift is the largest relative error of a replica's clock rate that leases allow for.
	maxClockDrift       = 0.05
	inputQueueSize      = 1024
	maxBatchedEvents    = 256
	maxLoopWait         = 50 * time.Millisecond
	peerWriteTimeout    = 2 * time.Second
	handshakeTimeout    = 3 * time.Second
	relaySilenceTimeout = 5 * time.Second
	// admissionRate (per second) and admissionBurst limit new subscribers. Both cover the nodes of several
	// zones reconnecting to one replica, which is cheap because their first state is encoded once.
	admissionRate  = 200
	admissionBurst = 200
)

// Server is one control replica.
type Server struct {
	settings settings.Control
	logger   log.Logger
	clock    *clock.Clock
	replica  *replica.Replica
	verifier *bundle.Verifier
	hub      *stream.Hub
	admin    *admin.Service
	listener net.Listener
	traffic  *metrics.Traffic
	http     *http.Client
	nodes    *nodeRegistry

	messages  chan inboundMessage
	joins     chan protocol.Join
	loopFuncs chan loopFunc
	peers     *peerSet

	confirmedAt   atomic.Int64
	platformError atomic.Pointer[string]
	role          raft.Role
	nextProposal  replica.ProposalID
	pending       map[replica.ProposalID]chan<- replica.Completion
	stalled       bool
	endpointQueue chan []distribution.Endpoint
	evidenceQueue chan []quarantine.Evidence
	// suspectsChanged holds at most one token, which signals that the suspects changed.
	suspectsChanged chan struct{}
	// rolloutReports holds reports from nodes; rolloutsChanged holds at most one token, which signals that
	// an active rollout changed.
	rolloutReports  chan []protocol.RolloutReport
	rolloutsChanged chan struct{}
	rolloutHistory  rolloutHistory
	// rolloutObservations holds the leader's latest observations by service; nil while this replica
	// doesn't lead.
	rolloutObservations atomic.Pointer[map[string]rolloutObservation]
	replicaLevels       replicaLevelTable
	// remoteSubscribers holds the levels that other replicas reported for their subscribers.
	remoteSubscribers subscriberLevels
	membership        atomic.Pointer[membershipView]
	seeds             atomic.Pointer[[]string]
	quotas            *quotaCoordinator

	newPlatformAPI      func(*Server) http.Handler
	platformAPIListener net.Listener
}

// loopFunc is a function that runs on the event loop.
type loopFunc func(now time.Duration)

// neverConfirmed is the value of Server.confirmedAt until the first confirmation.
const neverConfirmed = -1

// Init creates the data folder of an initial member of a new cluster.
func Init(config settings.Control) error {
	files, err := storage.OpenDir(config.Data)
	if err != nil {
		return err
	}
	return replica.CreateFirst(files, config.Cluster, memberName(config), initialMembers(config))
}

// New opens the replica's state and its listeners. A replica with an empty data folder asks to replace the
// member of its name; New returns the error of ctx if that ends before the disk has taken the new state.
// newPlatformAPI, if not nil, creates the handler of the platform API, which is served at
// settings.InterfaceListen.
func New(ctx context.Context, config settings.Control, logger log.Logger, newPlatformAPI func(*Server) http.Handler) (*Server, error) {
	s := &Server{
		newPlatformAPI: newPlatformAPI, endpointQueue: make(chan []distribution.Endpoint, inputQueueSize),
		evidenceQueue: make(chan []quarantine.Evidence, inputQueueSize), suspectsChanged: make(chan struct{}, 1),
		rolloutReports: make(chan []protocol.RolloutReport, inputQueueSize), rolloutsChanged: make(chan struct{}, 1),
		settings: config, logger: logger, clock: clock.New(),
		messages:  make(chan inboundMessage, inputQueueSize),
		joins:     make(chan protocol.Join, inputQueueSize),
		loopFuncs: make(chan loopFunc, inputQueueSize),
		pending:   map[replica.ProposalID]chan<- replica.Completion{},
		http:      &http.Client{Transport: roundtrip.New(http.DefaultTransport.(*http.Transport).Clone())},
		nodes:     newNodeRegistry(),
		// A random start prevents reuse of a proposal ID after a restart.
		nextProposal: replica.ProposalID(rand.Uint32()),
	}
	s.confirmedAt.Store(neverConfirmed)
	s.SetSeeds(config.SeedAddresses())
	var err error
	if s.verifier, err = config.Verifier(); err != nil {
		return nil, err
	}
	if err := s.openReplica(ctx); err != nil {
		return nil, err
	}
	s.quotas = newQuotaCoordinator(s)
	s.hub = stream.NewHub(stream.HubConfig{
		Quotas: s.quotas.replica,
		Name:   config.Name, SilenceTimeout: relaySilenceTimeout,
		Admission: stream.AdmissionConfig{PerSecond: admissionRate, Burst: admissionBurst},
		Now:       s.clock.Elapsed, ConfirmedAt: s.confirmed,
		OnReport:   func(report protocol.NodeReport) { s.nodes.record(report, time.Now()) },
		OnAnnounce: s.handleAnnounce, Servers: s.servers,
	}, s.replica.State())
	if s.listener, err = wire.Listen(config.Listen); err != nil {
		return nil, fmt.Errorf("listen for replicas and relays: %w", err)
	}
	s.admin, err = admin.Listen(config.AdminListen, admin.Options{Status: s.localStatus, Ready: s.ready, MetricsListen: config.MetricsListen})
	if err != nil {
		return nil, err
	}
	if err := s.openPlatformAPI(); err != nil {
		return nil, err
	}
	s.traffic = metrics.NewTraffic(s.admin.Registry)
	s.registerMetrics()
	s.peers = newPeerSet(s)
	s.registerOperatorRoutes()
	return s, nil
}

func (s *Server) openReplica(ctx context.Context) error {
	files, err := storage.OpenDir(s.settings.Data)
	if err != nil {
		return err
	}
	identity, err := storage.ReadIdentity(files)
	if errors.Is(err, storage.ErrNoState) {
		err = s.createState(ctx, files)
	}
	if err != nil {
		return err
	}
	if identity.Name != "" && (identity.Name != memberName(s.settings) || identity.ClusterID != s.settings.Cluster) {
		return fmt.Errorf("data folder belongs to replica %q of cluster %q", identity.Name, identity.ClusterID)
	}
	s.replica, err = replica.Open(s.clock.Elapsed(), replica.Config{
		Raft: raft.Config{
			ElectionTimeout:   time.Duration(s.settings.ElectionTimeout),
			Uptime:            s.clock.Elapsed(),
			HeartbeatInterval: time.Duration(s.settings.HeartbeatInterval),
			MaxClockDrift:     maxClockDrift,
			MaxAppendBytes:    maxAppendBytes,
			KeepEntries:       keepEntries,
			Random:            rand.Int64N,
		},
		CompactAfter: compactAfter,
		CompactBytes: compactBytes,

		RemoveAfter: time.Duration(s.settings.RemoveAfter), ToleratedLosses: s.settings.ToleratedLosses,
	}, files)
	return err
}

// Run serves until the context ends. It returns an error if the replica's state can no longer be
// persisted.
func (s *Server) Run(ctx context.Context) error {
	s.logger.Log("event", "started", "replica", uint64(s.replica.Node().ID()), "listen", s.listener.Addr(),
		"admin", s.admin.Address(), "commit", s.replica.Node().Commit())
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	// The function must run even if Run fails: it stops goroutines that the deferred group.Wait waits for.
	context.AfterFunc(ctx, func() {
		s.hub.Stop()
		s.listener.Close()
	})
	group.Go(func() { s.acceptConns(ctx, &group) })
	group.Go(func() {
		if err := s.admin.Serve(ctx); err != nil {
			s.logger.Log("event", "admin_ended", "error", err)
		}
	})
	group.Go(func() { s.pollPlatform(ctx) })
	group.Go(func() { s.runEndpointProposer(ctx) })
	group.Go(func() { s.runEvidenceProposer(ctx) })
	group.Go(func() { s.runSuspectJudge(ctx) })
	group.Go(func() { s.runRollouts(ctx) })
	group.Go(func() { s.broadcastSubscriberLevel(ctx) })
	group.Go(func() { s.quotas.run(ctx) })
	group.Go(func() { s.servePlatformAPI(ctx) })
	err := s.runEventLoop(ctx)
	s.peers.close()
	if closeErr := s.replica.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("close replica state: %w", closeErr)
	}
	s.logger.Log("event", "stopped", "error", err)
	return err
}

// runEventLoop processes the replica's inputs until the context ends or a flush fails.
func (s *Server) runEventLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.messages:
			s.stepReplica(m)
		case join := <-s.joins:
			s.handleJoin(join)
		case run := <-s.loopFuncs:
			run(s.clock.Elapsed())
		case <-timer.C:
		}
		s.drainInputs()
		if err := s.flush(); err != nil {
			return err
		}
		timer.Reset(s.untilNextFlush())
	}
	return nil
}

// drainInputs processes further queued inputs, so that one flush covers them all.
func (s *Server) drainInputs() {
	for range maxBatchedEvents {
		select {
		case m := <-s.messages:
			s.stepReplica(m)
		case join := <-s.joins:
			s.handleJoin(join)
		case run := <-s.loopFuncs:
			run(s.clock.Elapsed())
		default:
			return
		}
	}
}

// inboundMessage is a consensus message with the address in its sender's hello.
type inboundMessage struct {
	message raft.Message
	address string
}

func (s *Server) stepReplica(m inboundMessage) {
	if m.address != "" {
		s.replica.RecordAddress(m.message.From, m.address)
	}
	s.replica.Step(s.clock.Elapsed(), m.message)
}

// flush persists the replica's changes, then releases messages, the new state and completions.
func (s *Server) flush() error {
	s.replica.Tick(s.clock.Elapsed())
	output, err := s.replica.Flush(s.clock.Elapsed())
	if err != nil {
		return fmt.Errorf("persist replica state: %w", err)
	}
	if stalled := s.replica.Stalled(); stalled != s.stalled {
		s.stalled = stalled
		s.logger.Log("event", "disk_takes_writes", "works", !stalled)
	}
	for _, m := range output.Messages {
		s.peers.send(m)
	}
	if output.StateChanged {
		s.hub.SetState(s.replica.State())
		s.notifySuspects()
		s.notifyRollouts()
	}
	// The hub must have the state before it is reported as confirmed.
	if at, confirmed := s.replica.Node().ConfirmedAt(s.clock.Elapsed()); confirmed {
		s.confirmedAt.Store(int64(at))
	}
	for _, done := range output.Completions {
		if waiter, found := s.pending[done.Proposal]; found {
			delete(s.pending, done.Proposal)
			waiter <- done
		}
	}
	s.logRole()
	s.refreshMembershipView()
	return nil
}

func (s *Server) logRole() {
	node := s.replica.Node()
	if node.Role() != s.role {
		s.role = node.Role()
		s.logger.Log("event", "role", "role_now", s.role, "term", node.Term(), "commit", node.Commit())
	}
}

func (s *Server) untilNextFlush() time.Duration {
	if s.replica.Stalled() {
		return maxLoopWait
	}
	wait := s.replica.Node().NextDeadline() - s.clock.Elapsed()
	return max(0, min(wait, maxLoopWait))
}

func (s *Server) confirmed() (time.Duration, bool) {
	at := s.confirmedAt.Load()
	return time.Duration(at), at != neverConfirmed
}

// runOnLoop runs a function on the event loop and waits until it returns or the context ends.
func (s *Server) runOnLoop(ctx context.Context, run func(now time.Duration)) error {
	done := make(chan struct{})
	wrapped := func(now time.Duration) {
		defer close(done)
		run(now)
	}
	select {
	case s.loopFuncs <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// acceptConns serves connections of replicas and relays.
func (s *Server) acceptConns(ctx context.Context, group *sync.WaitGroup) {
	if err := wire.AcceptAll(ctx, s.listener, group, s.serveConn); err != nil {
		s.logger.Log("event", "accept_failed", "error", err)
	}
}

func (s *Server) serveConn(ctx context.Context, raw net.Conn) {
	role := &metrics.PeerRole{}
	conn := wire.NewConn(raw, wire.DefaultMaxFrame, peerWriteTimeout, s.traffic.Observe(role))
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	hello, err := protocol.Accept(conn, s.settings.Cluster, handshakeTimeout)
	if err != nil {
		s.logger.Log("event", "peer_refused", "peer", conn.Peer(), "error", err)
		return
	}
	switch hello.Role {
	case protocol.RoleReplica:
		role.Set(metrics.LinkReplica)
		err = s.serveReplica(ctx, conn, hello)
	case protocol.RoleRelay, protocol.RoleNode:
		role.Set(metrics.LinkRelay)
		err = s.hub.Serve(ctx, conn, hello)
	default:
		err = protocol.Refuse(conn, protocol.Refusal{Reason: protocol.ReasonRole, Message: "unknown role"})
	}
	s.logger.Log("event", "peer_left", "peer", hello.Name, "role_of_peer", hello.Role, "error", err)
}
