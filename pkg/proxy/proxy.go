package proxy

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
	"bramblelift/pkg/balancer"
	"bramblelift/pkg/clock"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/exchange"
	"bramblelift/pkg/forward"
	"bramblelift/pkg/gate"
	"bramblelift/pkg/link"
	"bramblelift/pkg/metrics"
	"bramblelift/pkg/orders"
	"bramblelift/pkg/pipeline"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/quarantine"
	"bramblelift/pkg/quota"
	"bramblelift/pkg/registration"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/routing"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/storage"
	"bramblelift/pkg/stream"

	"github.com/go-kit/log"
)

// These constants are the limits and timeouts of a node.
const (
	// dialInterval is how long a replica may take to accept the node before another one is tried, too.
	dialInterval   = 400 * time.Millisecond
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// writeTimeout bounds each single write to a caller.
	writeTimeout = 30 * time.Second
	// maxPipelined bounds the calls of one connection that are in flight at once.
	maxPipelined = 16
	// maxSavedRetries is how many retries a node may accumulate for one service. It is small, since
	// the accumulated retries of all nodes add up.
	maxSavedRetries = 3
	megabit         = 1e6
	// maxBufferedResponseBytes bounds the large responses buffered for callers that read slowly. Beyond
	// it a response is streamed, which occupies its back end until the caller has read it.
	maxBufferedResponseBytes = 24 << 20
	// maxStatusTenants bounds the tenants listed in /status, since there may be thousands.
	maxStatusTenants = 20
)

// Server runs one node: it serves callers, other nodes, operators and the deployment's platform.
type Server struct {
	settings       settings.Proxy
	logger         log.Logger
	clock          *clock.Clock
	store          *ConfigStore
	controlClient  *stream.Client
	forwarder      *forward.Handler
	callerServer   *pipeline.Server
	callerListener net.Listener
	admin          *admin.Service
	link           *link.Meter
	// responsePacer limits the rate of large responses of the node and its gate; nil for no limit.
	responsePacer *exchange.Pacer
	// responseBuffer bounds the memory for large responses of the node and its gate.
	responseBuffer *exchange.ResponseBuffer
	stopping       atomic.Bool
	saveFailed     chan error
	// lastCallAt is when the last call of a caller arrived. callsEndBy is when all calls must have ended, zero unless the
	// node is stopping. Both are readings of clock.
	lastCallAt atomic.Int64
	callsEndBy atomic.Int64

	gate             *gate.Gate
	gateListener     net.Listener
	gateServer       *pipeline.Server
	backendRegistry  *registration.Registry
	platformListener net.Listener
	platformServer   *http.Server
	observer         *observer
	// quarantine is the list of suspect requests; suspects holds the crashes and responses that this
	// node saw and has not reported yet.
	quarantine quarantine.Filter
	suspects   quarantine.Outbox
	// quotas enforces the tenants' limits.
	quotas *quota.Limiter
	// table is the current routing table; only activate uses it.
	table *routing.Table
	// orders are the operators' orders in force: evacuations and rollouts.
	orders atomic.Pointer[orders.Table]
}

// New opens the node's listeners and loads its saved configuration. newPlatformHandler, if not nil,
// returns the handler served at config.InterfaceListen.
func New(config settings.Proxy, logger log.Logger, newPlatformHandler func(*Server) http.Handler) (*Server, error) {
	s := &Server{settings: config, logger: logger, clock: clock.New(), link: link.NewMeter(config.LinkMegabits * megabit), responseBuffer: exchange.NewResponseBuffer(maxBufferedResponseBytes), saveFailed: make(chan error, 1)}
	if config.LinkMegabits > 0 {
		s.responsePacer = exchange.NewResponsePacer(config.LinkMegabits*megabit, s.link.UnpacedRate, s.clock.Now)
	}
	s.quotas = quota.NewLimiter(quota.Config{Window: config.Quotas.Policy().Window, Life: rand.Uint64(), OnSurge: func() { s.controlClient.PingSoon() }})
	if err := s.openStore(); err != nil {
		return nil, err
	}
	var err error
	if s.callerListener, err = net.Listen("tcp", config.Listen); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	s.admin, err = admin.Listen(config.AdminListen, admin.Options{Status: s.status, Ready: s.ready, MetricsListen: config.MetricsListen})
	if err != nil {
		return nil, err
	}
	s.observer = newObserver(s.admin.Registry, logger)
	s.observer.registerLink(s.admin.Registry, s.link)
	s.observer.registerLargeBodies(s.admin.Registry, s.link, s.responseBuffer)
	s.observer.registerQuarantine(s.admin.Registry, &s.quarantine, &s.suspects)
	s.observer.registerQuotas(s.admin.Registry, s.quotas)
	if err := s.openGate(); err != nil {
		return nil, err
	}
	if err := s.openPlatformListener(newPlatformHandler); err != nil {
		return nil, err
	}
	s.forwarder = forward.New(s.forwardConfig())
	s.callerServer = s.newServer(http.HandlerFunc(s.serveCall), s.forwarder.MayRunConcurrently, forward.CloseNotice())
	return s, s.newClient()
}

// newServer returns a server whose calls a graceful stop waits for.
func (s *Server) newServer(handler http.Handler, concurrent func(*http.Request) bool, closeNotice http.Header) *pipeline.Server {
	return pipeline.New(pipeline.Config{
		Handler: handler, Concurrent: concurrent, MaxConcurrent: maxPipelined, CloseNotice: closeNotice,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
		OnPanic: func(value any) { s.logger.Log("event", "handler_panicked", "value", value) },
		OnUnsendable: func(r *http.Request, err error) {
			s.logger.Log("event", "response_unsendable", "request", r.Header.Get(s.settings.Headers.RequestID), "error", err)
		},
		OnIncomplete: func(r *http.Request, err error) {
			s.logger.Log("event", "response_incomplete", "request", r.Header.Get(s.settings.Headers.RequestID), "peer", r.RemoteAddr, "error", err)
		},
	})
}

func (s *Server) openStore() error {
	verifier, err := s.settings.Verifier()
	if err != nil {
		return err
	}
	var files storage.FileSystem
	if s.settings.Data != "" {
		if files, err = storage.OpenDir(s.settings.Data); err != nil {
			return err
		}
	}
	s.store, err = NewConfigStore(StoreConfig{
		Files: files, Group: s.settings.Group, Verifier: verifier, OnActivate: s.activate,
		OnFailure: func(err error) {
			select {
			case s.saveFailed <- err:
			default:
			}
		},
	})
	return err
}

func (s *Server) newClient() error {
	relayRole := &metrics.PeerRole{}
	relayRole.Set(metrics.LinkRelay)
	var err error
	s.controlClient, err = stream.NewClient(stream.ClientConfig{
		Hello: protocol.Hello{
			ClusterID: s.settings.Cluster, Role: protocol.RoleNode,
			Name: s.settings.Name, Zone: s.settings.Zone, Group: s.settings.Group,
		},
		Selector:       stream.SelectorConfigFor(time.Duration(s.settings.StaleLimit)),
		PingInterval:   time.Duration(s.settings.PingInterval),
		SilenceTimeout: time.Duration(s.settings.SilenceTimeout),
		DialInterval:   dialInterval,
		Wrap:           func(conn net.Conn) net.Conn { return s.link.Conn(link.Control, conn) },
		Observe:        metrics.NewTraffic(s.admin.Registry).Observe(relayRole),
		Logger:         s.logger,
		Now:            s.clock.Elapsed,
		OnConfirmed:    s.onConfirmed,
		Announce:       s.announce,
		OnEnded:        s.onEndedBackends,
		OnQuotas:       s.applyQuotaShares,
	}, s.store, serverCandidates(s.settings))
	return err
}

// SetSeeds replaces the control plane's addresses by those of reloaded settings.
func (s *Server) SetSeeds(config settings.Proxy) {
	s.controlClient.SetSeeds(serverCandidates(config))
}

// serverCandidates returns the relays and seeds of the settings, to which the node may connect.
func serverCandidates(config settings.Proxy) []stream.Candidate {
	all := stream.Candidates(config.Zone, config.Relays)
	for _, address := range config.SeedAddresses() {
		all = append(all, stream.Candidate{Address: address})
	}
	return all
}

func (s *Server) forwardConfig() forward.Config {
	config := forward.Config{
		Node: s.settings.Name, Zone: s.settings.Zone, Region: s.settings.Zones[s.settings.Zone], Now: s.clock.Elapsed,
		Retry: retry.DefaultConfig(), DeclinedRetries: retry.DeclinedRetriesConfig(), OnCall: s.observer.call,
		CallsEndBy: s.callsEndByTime,
		Link:       s.link,
		Headers:    s.settings.Headers, Service: s.settings.Service, OnAttempt: s.observer.attempt, OnInvalidResponse: s.observer.logInvalidResponse, OnCongestion: s.observer.congestion,
		Quarantine: &s.quarantine, OnCrash: s.onCrash, OnSuspectResponse: s.onWatchedResponse,
		Quotas: s.quotas, KeysStaleLimit: time.Duration(s.settings.KeysStaleLimit),
		ConfirmedAt: func() (time.Duration, bool) { return s.controlClient.ConfirmedAt() }, StaleLimit: time.Duration(s.settings.StaleLimit),
	}
	if s.settings.LinkMegabits > 0 {
		config.Pacer = exchange.NewPacer(s.settings.LinkMegabits*megabit, exchange.RequestShare, s.clock.Now)
	}
	config.ResponsePacer, config.ResponseBuffer = s.responsePacer, s.responseBuffer
	if s.gate != nil {
		config.BackendHost, config.RetryShare = s.backendHost(), s.gate.RetryShare
		config.GateAddress, config.Gate, config.SenderReport = s.settings.GateAdvertise, s.gate.Do, s.gate.SenderReport
		config.Retry = retry.Config{Ratio: s.settings.Retries.Ratio, Max: maxSavedRetries}
	}
	return config
}

// Run serves until ctx ends, then drains the calls in flight. It returns an error if the callers' listener fails,
// a configuration cannot be saved, or calls are still in flight after StopTimeout.
func (s *Server) Run(ctx context.Context) error {
	s.logger.Log("event", "started", "listen", s.callerListener.Addr(), "admin", s.admin.Address(), "group", s.settings.Group)
	s.store.Start()
	background, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { s.controlClient.Run(background) })
	wg.Go(func() {
		if err := s.admin.Serve(background); err != nil {
			s.logger.Log("event", "admin_ended", "error", err)
		}
	})
	served := make(chan error, 1)
	wg.Go(func() { served <- s.callerServer.Serve(s.link.Listener(link.Callers, s.callerListener)) })
	s.serveListeners(&wg)
	select {
	case <-ctx.Done():
		return s.stop()
	case err := <-s.saveFailed:
		return errors.Join(fmt.Errorf("configuration cannot be saved: %w", err), s.stop())
	case err := <-served:
		return errors.Join(fmt.Errorf("serve callers: %w", err), s.stop())
	}
}

// serveCall forwards a call.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.lastCallAt.Store(int64(s.clock.Elapsed()))
	s.forwarder.ServeHTTP(w, r)
}

// Status is the response of /status.
type Status struct {
	Name        string                       `json:"name"`
	Group       string                       `json:"group"`
	Zone        string                       `json:"zone"`
	Server      string                       `json:"server"`
	Serving     bool                         `json:"serving"`
	Stopping    bool                         `json:"stopping"`
	Version     uint64                       `json:"version"`
	Position    distribution.Position        `json:"position"`
	Confirmed   bool                         `json:"confirmed"`
	StaleMillis int64                        `json:"stale_millis"`
	Pools       map[string][]balancer.Status `json:"pools"`
	// Tenants are the tenants with a limit whose calls this node rejected most.
	Tenants []quota.TenantStats `json:"tenants,omitempty"`
}

func (s *Server) status() any {
	status := Status{
		Name: s.settings.Name, Group: s.settings.Group, Zone: s.settings.Zone,
		Server: s.controlClient.Server(), Serving: s.store.Serving(), Stopping: s.stopping.Load(),
		Version: s.forwarder.Version(), Position: s.store.Position(), Pools: s.forwarder.Pools(),
	}
	stats := s.quotas.Stats()
	status.Tenants = stats[:min(len(stats), maxStatusTenants)]
	if at, confirmed := s.controlClient.ConfirmedAt(); confirmed {
		status.Confirmed = true
		status.StaleMillis = (s.clock.Elapsed() - at).Milliseconds()
	}
	return status
}

func (s *Server) ready() error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	if !s.store.Serving() {
		return errors.New("no configuration is in force yet")
	}
	return nil
}

// activate applies a new state to routing, the gate, quotas and rollouts.
func (s *Server) activate(state *distribution.State) {
	s.applyWatchlist(state.Watchlist, state.Revision)
	table := routing.Update(s.table, state, s.settings.Zones)
	if s.table == nil || s.table.Version != table.Version {
		s.quotas.SetLimits(s.clock.Elapsed(), table.TenantLimits())
	}
	s.table = table
	if s.gate != nil {
		s.gate.SetRules(table.Rules)
		s.gate.SetRollouts(state.Orders.AllRollouts())
	}
	s.setColdBounds(table)
	if s.backendRegistry != nil {
		s.backendRegistry.ApplyState(state.Endpoints)
	}
	previousVersion := s.forwarder.Version()
	s.forwarder.SetTable(table)
	s.applyRollouts(state.Orders)
	if table.Version != previousVersion {
		s.logger.Log("event", "version_in_force", "version", table.Version, "revision", table.Revision)
	}
}
