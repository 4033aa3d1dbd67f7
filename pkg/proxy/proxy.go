package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bramblelift/pkg/admin"
	"bramblelift/pkg/balancer"
	"bramblelift/pkg/bundle"
	"bramblelift/pkg/clock"
	"bramblelift/pkg/distribution"
	"bramblelift/pkg/forward"
	"bramblelift/pkg/metrics"
	"bramblelift/pkg/protocol"
	"bramblelift/pkg/retry"
	"bramblelift/pkg/routing"
	"bramblelift/pkg/settings"
	"bramblelift/pkg/storage"
	"bramblelift/pkg/stream"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Bounds of the daemon.
const (
	dialTimeout    = time.Second
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// lameDuck is how long a stopping node still serves while it tells callers to
	// close their connections; then it takes no new ones.
	lameDuck = 700 * time.Millisecond
	// drainTimeout bounds how long a stop waits for calls under way.
	drainTimeout = 30 * time.Second
)

// Server is one node.
type Server struct {
	settings settings.Proxy
	logger   log.Logger
	clock    *clock.Monotonic
	keeper   *Keeper
	client   *stream.Client
	handler  *forward.Handler
	http     *http.Server
	listener net.Listener
	admin    *admin.Service
	stopping atomic.Bool
	failure  chan error
}

// New opens the node's sockets and reads its last configuration.
func New(config settings.Proxy, logger log.Logger) (*Server, error) {
	s := &Server{settings: config, logger: logger, clock: clock.NewMonotonic(), failure: make(chan error, 1)}
	if err := s.openKeeper(); err != nil {
		return nil, err
	}
	var err error
	if s.listener, err = net.Listen("tcp", config.Listen); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	s.admin, err = admin.Listen(config.AdminListen, admin.Options{Status: s.status, Ready: s.ready})
	if err != nil {
		return nil, err
	}
	s.handler = forward.New(forward.Config{
		Node: config.Name, Zone: config.Zone, Now: s.clock.Now,
		Retry: retry.DefaultConfig(), Declines: retry.DeclineConfig(), OnCall: callCounter(s.admin.Registry),
	})
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serveCall), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s, s.newClient()
}

func (s *Server) openKeeper() error {
	verifier, err := bundle.NewVerifier(s.settings.Cluster, s.settings.ApprovalKeys)
	if err != nil {
		return err
	}
	var files storage.FileSystem
	if s.settings.Data != "" {
		if files, err = storage.OpenFolder(s.settings.Data); err != nil {
			return err
		}
	}
	s.keeper, err = NewKeeper(KeeperConfig{
		Files: files, Group: s.settings.Group, Verifier: verifier, InForce: s.putInForce,
		OnFailure: func(err error) {
			select {
			case s.failure <- err:
			default:
			}
		},
	})
	return err
}

func (s *Server) newClient() error {
	link := &metrics.Link{}
	link.Set(metrics.LinkRelay)
	var err error
	s.client, err = stream.NewClient(stream.ClientConfig{
		Hello: protocol.Hello{
			ClusterID: s.settings.Cluster, Role: protocol.RoleNode,
			Name: s.settings.Name, Zone: s.settings.Zone, Group: s.settings.Group,
		},
		Selector:       stream.DefaultSelectorConfig(),
		PingInterval:   time.Duration(s.settings.PingInterval),
		SilenceTimeout: time.Duration(s.settings.SilenceTimeout),
		DialTimeout:    dialTimeout,
		Observe:        metrics.NewTraffic(s.admin.Registry).Observe(link),
		Logger:         s.logger,
		Now:            s.clock.Now,
		OnConfirmed:    s.keeper.Confirmed,
	}, s.keeper, stream.Candidates(s.settings.Zone, s.settings.Relays))
	return err
}

// Run serves until the context ends, then finishes the calls under way.
func (s *Server) Run(ctx context.Context) error {
	s.logger.Log("event", "started", "listen", s.listener.Addr(), "admin", s.admin.Address(), "group", s.settings.Group)
	s.keeper.Start()
	background, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { s.client.Run(background) })
	group.Go(func() {
		if err := s.admin.Serve(background); err != nil {
			s.logger.Log("event", "admin_ended", "error", err)
		}
	})
	served := make(chan error, 1)
	group.Go(func() { served <- s.http.Serve(s.listener) })
	select {
	case <-ctx.Done():
		return s.stop()
	case err := <-s.failure:
		return errors.Join(fmt.Errorf("configuration can no longer be made durable: %w", err), s.stop())
	case err := <-served:
		return fmt.Errorf("serve callers: %w", err)
	}
}

// stop lets callers move away, then waits for the calls under way.
func (s *Server) stop() error {
	s.logger.Log("event", "stopping")
	s.stopping.Store(true)
	time.Sleep(lameDuck)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	s.logger.Log("event", "stopped", "error", err)
	if err != nil {
		return fmt.Errorf("calls under way did not end in %s: %w", drainTimeout, err)
	}
	return nil
}

// serveCall forwards a call; a stopping node asks the caller to reconnect elsewhere.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// Status is what /status shows.
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
}

func (s *Server) status() any {
	status := Status{
		Name: s.settings.Name, Group: s.settings.Group, Zone: s.settings.Zone,
		Server: s.client.Server(), Serving: s.keeper.Serving(), Stopping: s.stopping.Load(),
		Version: s.handler.Version(), Position: s.keeper.Position(), Pools: s.handler.Pools(),
	}
	if at, confirmed := s.client.ConfirmedAt(); confirmed {
		status.Confirmed = true
		status.StaleMillis = (s.clock.Now() - at).Milliseconds()
	}
	return status
}

func (s *Server) ready() error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	if !s.keeper.Serving() {
		return errors.New("no configuration is in force yet")
	}
	return nil
}

// callCounter counts calls and times them.
func callCounter(registry prometheus.Registerer) func(forward.Call) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramblelift_calls_total", Help: "Calls by route and how they ended.",
	}, []string{"route", "end"})
	attempts := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "bramblelift_attempts_total", Help: "Attempts at back ends; above calls by the retries.",
	})
	durations := prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "bramblelift_call_seconds", Help: "Time from a call's head to the end of its answer.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
	})
	registry.MustRegister(calls, attempts, durations)
	return func(call forward.Call) {
		end := "answered"
		if call.Refused {
			end = string(call.Outcome)
		}
		calls.WithLabelValues(call.Route, end).Inc()
		attempts.Add(float64(call.Attempts))
		durations.Observe(call.Duration.Seconds())
	}
}

// putInForce swaps the table that calls are answered by.
func (s *Server) putInForce(state *distribution.State) {
	table := routing.New(state)
	before := s.handler.Version()
	s.handler.SetTable(table)
	if table.Version != before {
		s.logger.Log("event", "version_in_force", "version", table.Version, "revision", table.Revision)
	}
}
